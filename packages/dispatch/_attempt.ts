/** Runs one attempt on one target: sends the call, checks each frame, and returns why the attempt failed, if it did. */
import {FrameReader, type ReadResult} from './_frame-reader.ts';
import type {AnswerFrame} from './_answer.ts';
import type {AttemptFailure, Progress} from './_progress.ts';
import {causeRules, type AttemptCause} from './retry.ts';
import {computeSilenceTimeoutMs} from './silence-timeout.ts';
import type {Clock} from '#clock';
import type {
	AnswerEvent, Random, TargetCall, TargetFrame, TargetLink,
} from '#core';
import type {Placement, Placer, TargetViews} from '#placement';
import type {Telemetry} from '#telemetry';

/** Dependencies of {@link runAttempt}. */
export type AttemptDependencies = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	views: TargetViews;
	placer: Placer;
}>;

/** Where an attempt runs, and the signal that may abort it. */
export type AttemptContext = Readonly<{
	placement: Placement;
	link: TargetLink;
	/** Aborts the attempt when the same request has crashed a target elsewhere; never after a part of the answer was delivered. */
	strikeSignal: AbortSignal;
}>;

type Fault = Extract<TargetFrame, {kind: 'fault'}>;

const faultCauses: Readonly<Record<Fault['outcome'], AttemptCause>> = {
	notSent: 'not_sent',
	refused: 'refused',
	failed: 'failed',
	unknown: 'lost',
};

/**
 * Runs an attempt.
 *
 * @returns the failure; `undefined` when the answer is complete
 */
export async function * runAttempt(dependencies: AttemptDependencies, context: AttemptContext, progress: Progress, signal: AbortSignal): AsyncGenerator<AnswerEvent, AttemptFailure | undefined> {
	const {views, placer, clock} = dependencies;
	const {placement, link, strikeSignal} = context;
	const {target} = placement;
	const call = createCall(dependencies, placement, progress);
	const controller = new AbortController();
	const attemptSignal = AbortSignal.any([signal, strikeSignal, controller.signal]);
	const reader = new FrameReader(link.run(call, attemptSignal), clock, attemptSignal);
	let hasAnswered = false;
	let incarnation = call.incarnation ?? '';
	const createFailure = (cause: AttemptCause, retryAfterMs?: number): AttemptFailure => ({
		cause, hasAnswered, incarnation, retryAfterMs,
	});
	const computeTimeoutMs = () => computeSilenceTimeoutMs(views.get(target.name), {
		request: progress.request, promptTokens: placement.chain?.totalTokens ?? 0, hasAnswered,
	});
	const finishAttempt = placer.startAttempt(placement);
	progress.answer.startAttempt(target.name);
	try {
		for (;;) {
			const read = await reader.read(computeTimeoutMs);
			const frame = checkRead(read, call);
			if (typeof frame === 'string') {
				// Either signal aborts the read. If it was not `signal`, it was the strike signal.
				return createFailure(frame === 'deadline' && !signal.aborted ? 'struck' : frame);
			}

			if (frame.kind === 'fault') {
				return createFailure(classifyFault(frame, hasAnswered), frame.retryAfterMs);
			}

			hasAnswered = true;
			if (frame.kind === 'head') {
				({incarnation} = frame);
				if (!handleHead(dependencies, placement, progress, frame)) {
					return createFailure('stale_weights');
				}
			}

			const result = progress.answer.handleFrame(frame);
			if ('cause' in result) {
				return createFailure(result.cause);
			}

			yield * result.events;
			if (frame.kind === 'end') {
				return undefined;
			}
		}
	} finally {
		controller.abort();
		reader.stop();
		finishAttempt();
	}
}

function createCall({clock, random}: AttemptDependencies, placement: Placement, progress: Progress): TargetCall {
	const {request, answer} = progress;
	const {chain} = placement;
	return {
		attemptId: random.createId(), requestId: request.id, customer: request.customer.name, work: request.work,
		model: request.pool.model, weights: placement.weights, incarnation: placement.incarnation,
		chain: chain?.keys ?? [], pieceTokens: chain?.tokens ?? [], priority: request.customer.priority,
		remainingMs: request.deadlineMs - clock.now(), resumeOffset: answer.getOffset(),
		deliveredText: answer.getText(), shouldUseNewConnection: progress.shouldUseNewConnection, importKeys: placement.importKeys,
	};
}

const readCauses: Readonly<Record<Extract<ReadResult, string>, AttemptCause>> = {
	silent: 'silent',
	// At the deadline, or when the caller has left and receives no refusal.
	aborted: 'deadline',
	closed: 'lost',
};

/** Returns the frame if it belongs to this attempt, otherwise the cause of the failure. */
function checkRead(read: ReadResult, call: TargetCall): TargetFrame | AttemptCause {
	if (typeof read === 'string') {
		return readCauses[read];
	}

	return read.kind !== 'fault' && read.attemptId !== call.attemptId ? 'crossed' : read;
}

/** Once a target has answered, its claim that it did not run the request is not trusted and counts as a failure. */
function classifyFault({outcome}: Fault, hasAnswered: boolean): AttemptCause {
	const cause = faultCauses[outcome];
	const isClaimedNotRun = causeRules[cause].outcome === 'notSent' || causeRules[cause].outcome === 'refused';
	return hasAnswered && isClaimedNotRun ? 'failed' : cause;
}

/**
 * Passes the head to the placer, which records the target's prefilled prompt, and counts cached and uncached prompt tokens.
 *
 * @returns `false` when the answer must not be delivered because the target serves other weights
 */
function handleHead({placer, telemetry}: AttemptDependencies, placement: Placement, {request, answer}: Progress, frame: Extract<AnswerFrame, {kind: 'head'}>): boolean {
	const verdict = placer.handleHead(placement, frame, {canRepeat: request.isRepeatable && !answer.hasBegun()});
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
