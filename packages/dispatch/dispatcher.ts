/**
 * Runs one request: chooses a target, streams its answer, and retries within
 * the limits of the retry table, the retry budget and the request's deadline.
 */
import {runAttempt, type AttemptDependencies} from './_attempt.ts';
import {CallAnswer} from './_call-answer.ts';
import {ChatAnswer} from './_chat-answer.ts';
import {CrashGuard, type Admission, type CrashGuardDependencies} from './_crash-guard.ts';
import type {TargetLinks} from './target-links.ts';
import {Progress, type AttemptFailure} from './_progress.ts';
import {RetryBudget} from './retry-budget.ts';
import {causeRules, decideRetry} from './retry.ts';
import {
	createRefusal, type AnswerEvent, type Refusal, type RoutedRequest,
} from '#core';
import {createChainFactory, type ChainFactory, type Placement} from '#placement';

/** Dependencies of {@link Dispatcher}. */
export type DispatcherDependencies = AttemptDependencies & CrashGuardDependencies & Readonly<{
	links: TargetLinks;
}>;

/** Options of {@link Dispatcher}. */
export type DispatcherOptions = Readonly<{
	/** Maximum length of an answer, in bytes; the answer of a plain service is buffered whole. Default: 8 388 608. */
	maxAnswerBytes?: number;
	/** Retry budget of the target pools. Default: a new budget with default options. */
	budget?: RetryBudget;
}>;

/** Reason why a request was not retried; a label value of `retries_refused_total`. */
type RetryRefusal = 'table' | 'deadline' | 'attempts' | 'budget' | 'no_target';

/** Retry-after time of a refusal when the target did not state one. */
const defaultRetryAfterMs = 1000;
const baseRetryDelayMs = 50;
const maxImmediateRetries = 2;

/** Runs requests on the targets of their pools. */
export class Dispatcher {
	readonly #dependencies: DispatcherDependencies;
	readonly #maxAnswerBytes: number;
	readonly #budget: RetryBudget;
	readonly #guard: CrashGuard;
	readonly #running = new Set<AbortController>();
	#isStopping = false;

	constructor(dependencies: DispatcherDependencies, options: DispatcherOptions = {}) {
		this.#dependencies = dependencies;
		this.#maxAnswerBytes = options.maxAnswerBytes ?? 8_388_608;
		this.#budget = options.budget ?? new RetryBudget(dependencies.clock);
		this.#guard = new CrashGuard(dependencies);
	}

	/** Aborts the running requests. Each ends with the refusal `stopping` if it has not run, else with `stopped`. */
	abortRunning(): void {
		this.#isStopping = true;
		for (const controller of this.#running) {
			controller.abort();
		}
	}

	/**
	 * Runs a request.
	 *
	 * @returns the answer's events; a complete answer ends with `end`, any other with `refused`
	 */
	async * run(request: RoutedRequest, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
		const {clock} = this.#dependencies;
		const remainingMs = request.deadlineMs - clock.now();
		if (remainingMs <= 0) {
			yield {kind: 'refused', refusal: createRefusal('deadline_exceeded', {ran: 'not_run', retryAfterMs: defaultRetryAfterMs})};
			return;
		}

		const deadline = new AbortController();
		this.#running.add(deadline);
		const cancel = clock.setTimer(remainingMs, () => {
			deadline.abort();
		});
		try {
			const refusal = yield * this.#runAttempts(this.#createProgress(request), AbortSignal.any([signal, deadline.signal]));
			if (refusal && !signal.aborted) {
				yield {kind: 'refused', refusal};
			}
		} finally {
			this.#running.delete(deadline);
			cancel();
		}
	}

	#createProgress(request: RoutedRequest): Progress {
		const limits = {maxBytes: this.#maxAnswerBytes};
		const answer = request.work.kind === 'chat' ? new ChatAnswer(limits) : new CallAnswer(limits);
		return new Progress(request, createRequestChainFactory(request), answer);
	}

	async * #runAttempts(progress: Progress, signal: AbortSignal): AsyncGenerator<AnswerEvent, Refusal | undefined> {
		this.#budget.recordFirstAttempt(progress.request.pool.name);
		let preferred = this.#choosePlacement(progress);
		while (preferred && this.#guard.getRefusalMs(progress) === 0) {
			const admission = await this.#guard.admit(preferred, progress, signal);
			if (!admission) {
				break;
			}

			const failure = yield * this.#runAdmitted(admission, progress, signal);
			if (!failure) {
				return undefined;
			}

			preferred = await this.#prepareRetry(admission.placement, failure, progress, signal);
		}

		// There is no further attempt. An empty answer that no second attempt has confirmed is delivered instead of a refusal.
		const emptyAnswer = progress.answer.getEmptyAnswer();
		if (emptyAnswer.length > 0 && !signal.aborted) {
			yield * emptyAnswer;
			return undefined;
		}

		return this.#createRefusal(progress, signal);
	}

	async * #runAdmitted({placement, strikeSignal, release}: Admission, progress: Progress, signal: AbortSignal): AsyncGenerator<AnswerEvent, AttemptFailure | undefined> {
		const {links, telemetry} = this.#dependencies;
		const {pool} = progress.request;
		const context = {placement, link: links.get(pool, placement.target), strikeSignal};
		try {
			const failure = yield * runAttempt(this.#dependencies, context, progress, signal);
			telemetry.count('attempts_total', {pool: pool.name, outcome: failure ? causeRules[failure.cause].outcome : 'answered'});
			if (!failure) {
				this.#guard.recordCompletion(progress);
				return undefined;
			}

			const classifiedFailure = await this.#guard.classifyFailure(failure, context, progress, signal);
			progress.recordFailure(classifiedFailure);
			return classifiedFailure;
		} finally {
			release();
		}
	}

	/** A refusal of a quarantined request never reports `not_run`, because an earlier submission of the same request has run. */
	#createRefusal(progress: Progress, signal: AbortSignal): Refusal {
		const quarantineMs = this.#guard.getRefusalMs(progress);
		if (quarantineMs > 0) {
			return createRefusal('quarantined', {ran: progress.ran === 'not_run' ? 'unknown' : progress.ran, retryAfterMs: quarantineMs});
		}

		if (progress.partRetryAfterMs !== undefined) {
			return createRefusal(progress.ran === 'not_run' ? 'crashes_targets' : 'quarantined', {ran: progress.ran, retryAfterMs: progress.partRetryAfterMs});
		}

		// The status of `stopping` promises that the request has not run.
		const stopReason = progress.ran === 'not_run' ? 'stopping' : 'stopped';
		const abortReason = this.#isStopping ? stopReason : 'deadline_exceeded';
		return createRefusal(signal.aborted ? abortReason : progress.reason, {ran: progress.ran, retryAfterMs: progress.retryAfterMs ?? defaultRetryAfterMs});
	}

	#choosePlacement({request, createChain, excluded}: Progress): Placement | undefined {
		return this.#dependencies.placer.place({pool: request.pool, createChain, excluded});
	}

	/** Chooses the placement of a retry and waits for its delay; counts the retry or the reason why there is none. */
	async #prepareRetry(last: Placement, failure: AttemptFailure, progress: Progress, signal: AbortSignal): Promise<Placement | undefined> {
		const {telemetry} = this.#dependencies;
		const retry = this.#chooseRetry(last, failure, progress);
		if (typeof retry === 'string') {
			telemetry.count('retries_refused_total', {reason: retry});
			return undefined;
		}

		await this.#delayRetry(progress, signal);
		if (signal.aborted) {
			progress.reason = 'deadline_exceeded';
			telemetry.count('retries_refused_total', {reason: 'deadline'});
			return undefined;
		}

		telemetry.count('retries_total', {reason: failure.cause});
		return retry;
	}

	#chooseRetry(last: Placement, {cause}: AttemptFailure, progress: Progress): Placement | RetryRefusal {
		const {pool, isRepeatable} = progress.request;
		const place = decideRetry(cause, isRepeatable);
		if (place === 'never') {
			return cause === 'deadline' ? 'deadline' : 'table';
		}

		if (progress.isExhausted) {
			return 'attempts';
		}

		const placement = this.#chooseRetryPlacement(last, place === 'same', progress);
		if (!placement) {
			return 'no_target';
		}

		if (causeRules[cause].isBudgeted && !this.#budget.acquire(pool.name, progress.answer.hasBegun())) {
			progress.reason = 'retry_budget_spent';
			return 'budget';
		}

		return placement;
	}

	/** Applies exponential backoff with full jitter; the first retries without progress are immediate. */
	async #delayRetry({attemptsWithoutProgress}: Progress, signal: AbortSignal): Promise<void> {
		const {clock, random} = this.#dependencies;
		const doublings = attemptsWithoutProgress - maxImmediateRetries;
		if (doublings > 0) {
			await clock.sleep(random.next() * baseRetryDelayMs * (2 ** doublings), signal);
		}
	}

	/**
	 * Prefers the last target if its generation may still be running and can be
	 * resumed. When no target is left, a stream that has already begun starts a
	 * new round over all targets, so that the stream is not ended by a refusal.
	 */
	#chooseRetryPlacement(last: Placement, shouldResume: boolean, progress: Progress): Placement | undefined {
		const isChat = progress.request.work.kind === 'chat';
		if (shouldResume && isChat && progress.acquireResume()) {
			return last;
		}

		progress.excluded.add(last.target.name);
		const placement = this.#choosePlacement(progress);
		const isNewRound = !placement && progress.answer.hasBegun() && progress.startRound();
		return isNewRound ? this.#choosePlacement(progress) : placement;
	}
}

function createRequestChainFactory({work, pool, customer}: RoutedRequest): ChainFactory | undefined {
	if (work.kind !== 'chat') {
		return undefined;
	}

	return createChainFactory({customer: customer.name, model: pool.model ?? ''}, work.messages, pool.pieceTokens);
}
