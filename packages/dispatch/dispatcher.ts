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
	type RunState, type Target, type TargetCall, type TargetFrame,
} from '#core';
import {
	chooseTarget, makeChain, type PromptChain, type TargetViews,
} from '#placement';
import type {Telemetry} from '#telemetry';

/** What a dispatcher works with. */
export type DispatcherDeps = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	views: TargetViews;
	links: TargetLinks;
	/** This instance's availability zone. */
	zone: string;
}>;

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
			const target = this.#choose(progress);
			if (!target) {
				break;
			}

			const end = yield * this.#runAttempt(target, progress, signal);
			this.#deps.telemetry.count('attempts_total', {pool: request.pool.name, outcome: end.outcome});
			if (end.outcome === 'answered' || signal.aborted) {
				return;
			}

			const decision = decideRetry(end.outcome, request.repeatable);
			progress.ran = joinRunStates(progress.ran, decision.ran);
			progress.reason = decision.reason;
			progress.excluded.add(target.name);
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

	#choose({request, chain, excluded}: Progress): Target | undefined {
		const {views, zone} = this.#deps;
		const {pool} = request;
		const ranked = chooseTarget({
			targets: pool.targets, getView: name => views.get(name), chain, excluded, zone, slots: pool.slots,
		});
		return ranked[0]?.target;
	}

	async * #runAttempt(target: Target, progress: Progress, signal: AbortSignal): AsyncGenerator<AnswerEvent, AttemptEnd> {
		const {views, links} = this.#deps;
		const {request} = progress;
		const call = this.#makeCall(target, progress);
		const controller = new AbortController();
		const limited = AbortSignal.any([signal, controller.signal]);
		views.addInFlight(target.name, 1);
		try {
			for await (const frame of links.get(request.pool, target).run(call, limited)) {
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

				const event = this.#takeFrame(frame, target, progress);
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
			views.addInFlight(target.name, -1);
		}
	}

	#makeCall(target: Target, progress: Progress): TargetCall {
		const {request, chain} = progress;
		const {clock, random, views} = this.#deps;
		return {
			attemptId: random.id(), requestId: request.id, customer: request.customer.name, work: request.work,
			model: request.pool.model, weights: request.pool.weights, incarnation: views.get(target.name).incarnation,
			chain: chain?.keys ?? [], pieceTokens: chain?.tokens ?? [], priority: request.customer.priority,
			remainingMs: request.deadlineMs - clock.now(), resumeOffset: progress.splicer.offset,
			deliveredText: progress.splicer.readText(), freshConnection: !request.repeatable, importKeys: [],
		};
	}

	#takeFrame(frame: Exclude<TargetFrame, {kind: 'fault' | 'end'}>, target: Target, progress: Progress): AnswerEvent | 'gap' | undefined {
		switch (frame.kind) {
			case 'head': {
				return this.#takeHead(frame, target, progress);
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

	#takeHead(frame: Extract<TargetFrame, {kind: 'head'}>, target: Target, progress: Progress): AnswerEvent | undefined {
		const {views, telemetry} = this.#deps;
		const {chain} = progress;
		const {pool} = progress.request;
		if (chain) {
			views.applyPrefill(target.name, frame.incarnation, chain.keys);
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
