/**
 * Runs one request: chooses a target, streams its answer, and goes on with
 * another attempt where the retry table allows it.
 */
import type {TargetLinks} from './links.ts';
import {decideRetry} from './retry.ts';
import {StreamSplicer} from './splice.ts';
import type {Clock} from '#clock';
import {
	makeRefusal, type AnswerEvent, type AttemptOutcome, type Random, type Refusal, type RefusalReason, type RoutedRequest,
	type RunState, type TargetCall, type TargetFrame,
} from '#core';
import {
	makeChain, type HeadVerdict, type Placement, type Placer, type PromptChain,
} from '#placement';
import type {Telemetry} from '#telemetry';

/** What a dispatcher works with. */
export type DispatcherDeps = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	placer: Placer;
	links: TargetLinks;
}>;

type HeadFrame = Extract<TargetFrame, {kind: 'head'}>;
type AttemptEnd = Readonly<{outcome: AttemptOutcome; detail: string; retryAfterMs?: number}>;

/** State of one request over its attempts. */
type Progress = {
	readonly request: RoutedRequest;
	readonly chain: PromptChain | undefined;
	readonly splicer: StreamSplicer;
	readonly excluded: Set<string>;
	headSent: boolean;
	ran: RunState;
	reason: RefusalReason;
};

const maxAttempts = 4;

/** Runs requests on the targets of their pools. */
export class Dispatcher {
	readonly #deps: DispatcherDeps;

	constructor(deps: DispatcherDeps) {
		this.#deps = deps;
	}

	/**
	 * Runs a request.
	 *
	 * @returns the answer's events; `end` closes a complete answer, `refused` any other
	 */
	async * run(request: RoutedRequest, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
		const progress: Progress = {
			request,
			chain: this.#makeChain(request),
			splicer: new StreamSplicer(), excluded: new Set(), headSent: false, ran: 'not_run', reason: 'no_target',
		};
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			const placement = this.#deps.placer.place({pool: request.pool, chain: progress.chain, excluded: progress.excluded});
			if (!placement) {
				break;
			}

			const end = yield * this.#runAttempt(placement, progress, signal);
			this.#deps.telemetry.count('attempts_total', {pool: request.pool.name, outcome: end.outcome});
			if (end.outcome === 'answered' || signal.aborted) {
				return;
			}

			const decision = decideRetry(end.outcome, request.repeatable);
			progress.ran = joinRunStates(progress.ran, decision.ran);
			progress.reason = decision.reason;
			progress.excluded.add(placement.target.name);
			if (!decision.retry) {
				break;
			}

			this.#deps.telemetry.count('retries_total', {reason: end.outcome});
		}

		yield {kind: 'refused', refusal: this.#refuse(progress)};
	}

	#makeChain(request: RoutedRequest): PromptChain | undefined {
		const {work, pool, customer} = request;
		if (work.kind !== 'chat') {
			return undefined;
		}

		const seed = {customer: customer.name, model: pool.model ?? '', weights: pool.weights ?? ''};
		return makeChain(seed, work.messages, pool.pieceTokens);
	}

	async * #runAttempt(placement: Placement, progress: Progress, signal: AbortSignal): AsyncGenerator<AnswerEvent, AttemptEnd> {
		const {placer, links} = this.#deps;
		const {request} = progress;
		const call = this.#makeCall(placement, progress);
		const controller = new AbortController();
		const limited = AbortSignal.any([signal, controller.signal]);
		const finish = placer.begin(placement);
		try {
			for await (const frame of links.get(request.pool, placement.target).run(call, limited)) {
				if (frame.kind === 'fault') {
					return {outcome: frame.outcome, detail: frame.detail, retryAfterMs: frame.retryAfterMs};
				}

				if (frame.attemptId !== call.attemptId) {
					return {outcome: 'unknown', detail: 'the answer belongs to another attempt'};
				}

				if (frame.kind === 'end') {
					yield {kind: 'end', finish: frame.finish};
					return {outcome: 'answered', detail: ''};
				}

				if (frame.kind === 'head' && this.#judgeHead(frame, placement, progress) === 'placeAgain') {
					return {outcome: 'failed', detail: 'the answer comes from other weights'};
				}

				const event = this.#takeFrame(frame, placement, progress);
				if (event === 'gap') {
					return {outcome: 'unknown', detail: 'the answer has a gap'};
				}

				if (event) {
					yield event;
				}
			}

			return {outcome: 'unknown', detail: 'the stream closed without its end'};
		} finally {
			controller.abort();
			finish();
		}
	}

	#makeCall(placement: Placement, progress: Progress): TargetCall {
		const {request, chain} = progress;
		const {clock, random} = this.#deps;
		return {
			attemptId: random.id(), requestId: request.id, customer: request.customer.name, work: request.work,
			model: request.pool.model, weights: request.pool.weights, incarnation: placement.incarnation,
			chain: chain?.keys ?? [], pieceTokens: chain?.tokens ?? [], priority: request.customer.priority,
			remainingMs: request.deadlineMs - clock.now(), resumeOffset: progress.splicer.offset,
			deliveredText: progress.splicer.readText(), freshConnection: !request.repeatable, importKeys: placement.importKeys,
		};
	}

	#takeFrame(frame: Exclude<TargetFrame, {kind: 'fault' | 'end'}>, placement: Placement, progress: Progress): AnswerEvent | 'gap' | undefined {
		switch (frame.kind) {
			case 'head': {
				return this.#takeHead(frame, placement, progress);
			}

			case 'data': {
				const bytes = progress.splicer.takeData(frame);
				if (!bytes) {
					return 'gap';
				}

				return bytes.length > 0 ? {kind: 'data', bytes} : undefined;
			}

			case 'tool': {
				return progress.splicer.takeTool(frame.call) ? {kind: 'tool', call: frame.call} : undefined;
			}

			case 'usage': {
				return {kind: 'usage', usage: frame.usage};
			}
		}
	}

	#judgeHead(frame: HeadFrame, placement: Placement, {request, splicer}: Progress): HeadVerdict {
		return this.#deps.placer.takeHead(placement, frame, {mayRepeat: request.repeatable && splicer.offset === 0});
	}

	#takeHead(frame: HeadFrame, {target}: Placement, progress: Progress): AnswerEvent | undefined {
		const {telemetry} = this.#deps;
		const {pool} = progress.request;
		if (progress.chain) {
			telemetry.count('prompt_tokens_total', {pool: pool.name, cached: 'yes'}, frame.cachedTokens);
			telemetry.count('prompt_tokens_total', {pool: pool.name, cached: 'no'}, frame.promptTokens - frame.cachedTokens);
		}

		if (progress.headSent) {
			return undefined;
		}

		progress.headSent = true;
		return {
			kind: 'head', target: target.name, status: frame.status, contentType: frame.contentType, cachedTokens: frame.cachedTokens, replayed: false,
		};
	}

	#refuse(progress: Progress): Refusal {
		return makeRefusal(progress.reason, {ran: progress.ran, retryAfterMs: 1000});
	}
}

/** Joins what two attempts say: "not run" needs both, and a sure run outweighs an unknown one. */
function joinRunStates(a: RunState, b: RunState): RunState {
	if (a === 'ran' || b === 'ran') {
		return 'ran';
	}

	return a === 'unknown' || b === 'unknown' ? 'unknown' : 'not_run';
}
