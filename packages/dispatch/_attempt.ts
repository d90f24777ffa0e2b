/** Runs one attempt on one target: sends the call, checks each frame, and tells how it ended. */
import {FrameReader, type FrameRead} from './_frame-reader.ts';
import type {AnswerFrame} from './_answer.ts';
import type {AttemptEnd, Progress} from './_progress.ts';
import {causeRules, type AttemptCause} from './retry.ts';
import {computeSilenceMs} from './silence.ts';
import type {Clock} from '#clock';
import type {
	AnswerEvent, Random, TargetCall, TargetFrame, TargetLink,
} from '#core';
import type {Placement, Placer, TargetViews} from '#placement';
import type {Telemetry} from '#telemetry';

/** What an attempt works with. */
export type AttemptDeps = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	views: TargetViews;
	placer: Placer;
}>;

/** Where an attempt runs. */
export type AttemptPlace = Readonly<{
	placement: Placement;
	link: TargetLink;
	/** Takes the attempt back while nothing of it was delivered. */
	recall: AbortSignal;
}>;

type Fault = Extract<TargetFrame, {kind: 'fault'}>;

const faultCauses: Readonly<Record<Fault['outcome'], AttemptCause>> = {
	notSent: 'not_sent',
	refused: 'refused',
	failed: 'failed',
	unknown: 'lost',
};

/** Runs an attempt; ends with nothing when the answer is complete or the caller has left. */
export async function * runAttempt(deps: AttemptDeps, place: AttemptPlace, progress: Progress, signal: AbortSignal): AsyncGenerator<AnswerEvent, AttemptEnd | undefined> {
	const {views, placer, clock} = deps;
	const {placement, link, recall} = place;
	const {target} = placement;
	const call = makeCall(deps, placement, progress);
	const controller = new AbortController();
	const limited = AbortSignal.any([signal, recall, controller.signal]);
	const reader = new FrameReader(link.run(call, limited), clock, limited);
	let answered = false;
	let incarnation = call.incarnation ?? '';
	const makeEnd = (cause: AttemptCause, retryAfterMs?: number): AttemptEnd => ({
		cause, answered, incarnation, retryAfterMs,
	});
	const getLimitMs = () => computeSilenceMs(views.get(target.name), {
		request: progress.request, promptTokens: placement.chain?.totalTokens ?? 0, begun: answered,
	});
	const finish = placer.begin(placement);
	progress.answer.beginAttempt(target.name);
	try {
		for (;;) {
			const read = await reader.read(getLimitMs);
			const frame = checkRead(read, call);
			if (typeof frame === 'string') {
				return makeEnd(frame === 'deadline' && !signal.aborted ? 'struck' : frame);
			}

			if (frame.kind === 'fault') {
				return makeEnd(classifyFault(frame, answered), frame.retryAfterMs);
			}

			answered = true;
			if (frame.kind === 'head') {
				({incarnation} = frame);
				if (!takeHead(deps, placement, progress, frame)) {
					return makeEnd('stale_weights');
				}
			}

			const result = progress.answer.takeFrame(frame);
			if ('cause' in result) {
				return makeEnd(result.cause);
			}

			yield * result.events;
			if (frame.kind === 'end') {
				return undefined;
			}
		}
	} finally {
		controller.abort();
		reader.stop();
		finish();
	}
}

function makeCall({clock, random}: AttemptDeps, placement: Placement, progress: Progress): TargetCall {
	const {request, answer} = progress;
	const {chain} = placement;
	return {
		attemptId: random.id(), requestId: request.id, customer: request.customer.name, work: request.work,
		model: request.pool.model, weights: placement.weights, incarnation: placement.incarnation,
		chain: chain?.keys ?? [], pieceTokens: chain?.tokens ?? [], priority: request.customer.priority,
		remainingMs: request.deadlineMs - clock.now(), resumeOffset: answer.readOffset(),
		deliveredText: answer.readText(), freshConnection: progress.needsFresh, importKeys: placement.importKeys,
	};
}

const readCauses: Readonly<Record<Extract<FrameRead, string>, AttemptCause>> = {
	silent: 'silent',
	aborted: 'deadline',
	closed: 'lost',
};

/** Lets a frame of this attempt pass, and names what is wrong with any other read. */
function checkRead(read: FrameRead, call: TargetCall): TargetFrame | AttemptCause {
	if (typeof read === 'string') {
		return readCauses[read];
	}

	return read.kind !== 'fault' && read.attemptId !== call.attemptId ? 'crossed' : read;
}

/** A target that has begun to answer can no longer say that it did not run the request. */
function classifyFault({outcome}: Fault, answered: boolean): AttemptCause {
	const cause = faultCauses[outcome];
	const claimsNotRun = causeRules[cause].outcome === 'notSent' || causeRules[cause].outcome === 'refused';
	return answered && claimsNotRun ? 'failed' : cause;
}

/**
 * Records what the target has prefilled.
 *
 * @returns `false` when the answer must not be delivered
 */
function takeHead({placer, telemetry}: AttemptDeps, placement: Placement, {request, answer}: Progress, frame: Extract<AnswerFrame, {kind: 'head'}>): boolean {
	const verdict = placer.takeHead(placement, frame, {mayRepeat: request.repeatable && !answer.hasBegun()});
	if (verdict === 'placeAgain') {
		return false;
	}

	if (placement.chain) {
		const pool = request.pool.name;
		telemetry.count('prompt_tokens_total', {pool, cached: 'yes'}, frame.cachedTokens);
		telemetry.count('prompt_tokens_total', {pool, cached: 'no'}, frame.promptTokens - frame.cachedTokens);
	}

	return true;
}
