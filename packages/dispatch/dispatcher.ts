/**
 * Runs one request: chooses a target, streams its answer, and goes on with
 * further attempts as the retry table, the retry budget and the remaining time
 * allow.
 */
import {runAttempt, type AttemptDeps} from './_attempt.ts';
import {CallAnswer} from './_call-answer.ts';
import {ChatAnswer} from './_chat-answer.ts';
import {CrashGuard, type Admission, type GuardDeps} from './_crash-guard.ts';
import type {TargetLinks} from './links.ts';
import {Progress, type AttemptEnd} from './_progress.ts';
import {RetryBudget} from './retry-budget.ts';
import {causeRules, decideRetry} from './retry.ts';
import {
	makeRefusal, type AnswerEvent, type Refusal, type RoutedRequest,
} from '#core';
import {createChainMaker, type ChainMaker, type Placement} from '#placement';

/** What a dispatcher works with. */
export type DispatcherDeps = AttemptDeps & GuardDeps & Readonly<{
	links: TargetLinks;
}>;

/** Options of {@link Dispatcher}. */
export type DispatcherOptions = Readonly<{
	/** Longest answer, in bytes; the answer of a plain service is collected up to this size. Default: 8 388 608. */
	maxAnswerBytes?: number;
	/** Retry budgets. Default: a new one with its defaults. */
	budget?: RetryBudget;
}>;

/** Why no further attempt was made; the label of its counter. */
type RetryRefusal = 'table' | 'deadline' | 'attempts' | 'budget' | 'no_target';

const refusalRetryMs = 1000;
const firstDelayMs = 50;
const undelayedRetries = 2;

/** Runs requests on the targets of their pools. */
export class Dispatcher {
	readonly #deps: DispatcherDeps;
	readonly #maxBytes: number;
	readonly #budget: RetryBudget;
	readonly #guard: CrashGuard;

	constructor(deps: DispatcherDeps, options: DispatcherOptions = {}) {
		this.#deps = deps;
		this.#maxBytes = options.maxAnswerBytes ?? 8_388_608;
		this.#budget = options.budget ?? new RetryBudget(deps.clock);
		this.#guard = new CrashGuard(deps);
	}

	/**
	 * Runs a request.
	 *
	 * @returns the answer's events; `end` closes a complete answer, `refused` any other
	 */
	async * run(request: RoutedRequest, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
		const {clock} = this.#deps;
		const remainingMs = request.deadlineMs - clock.now();
		if (remainingMs <= 0) {
			yield {kind: 'refused', refusal: makeRefusal('deadline_exceeded', {ran: 'not_run', retryAfterMs: refusalRetryMs})};
			return;
		}

		const deadline = new AbortController();
		const cancel = clock.after(remainingMs, () => {
			deadline.abort();
		});
		try {
			const refusal = yield * this.#runAttempts(this.#makeProgress(request), AbortSignal.any([signal, deadline.signal]));
			if (refusal && !signal.aborted) {
				yield {kind: 'refused', refusal};
			}
		} finally {
			cancel();
		}
	}

	#makeProgress(request: RoutedRequest): Progress {
		const limits = {maxBytes: this.#maxBytes};
		const answer = request.work.kind === 'chat' ? new ChatAnswer(limits) : new CallAnswer(limits);
		return new Progress(request, prepareChain(request), answer);
	}

	async * #runAttempts(progress: Progress, signal: AbortSignal): AsyncGenerator<AnswerEvent, Refusal | undefined> {
		this.#budget.recordAttempt(progress.request.pool.name);
		let wanted = this.#choose(progress);
		while (wanted && this.#guard.readRefusalMs(progress) === 0) {
			const admission = await this.#guard.enter(wanted, progress, signal);
			if (!admission) {
				break;
			}

			const end = yield * this.#runAdmitted(admission, progress, signal);
			if (!end) {
				return undefined;
			}

			wanted = await this.#chooseNext(admission.placement, end, progress, signal);
		}

		const empty = progress.answer.takeEmpty();
		if (empty.length > 0 && !signal.aborted) {
			yield * empty;
			return undefined;
		}

		return this.#refuse(progress, signal);
	}

	async * #runAdmitted({placement, recall, leave}: Admission, progress: Progress, signal: AbortSignal): AsyncGenerator<AnswerEvent, AttemptEnd | undefined> {
		const {links, telemetry} = this.#deps;
		const {pool} = progress.request;
		const place = {placement, link: links.get(pool, placement.target), recall};
		try {
			const end = yield * runAttempt(this.#deps, place, progress, signal);
			telemetry.count('attempts_total', {pool: pool.name, outcome: end ? causeRules[end.cause].outcome : 'answered'});
			if (!end) {
				this.#guard.recordCompletion(progress);
				return undefined;
			}

			const classified = await this.#guard.classifyEnd(end, place, progress, signal);
			progress.recordEnd(classified);
			return classified;
		} finally {
			leave();
		}
	}

	/** A quarantined request is never said not to have run: an earlier sending of it has. */
	#refuse(progress: Progress, signal: AbortSignal): Refusal {
		const quarantineMs = this.#guard.readRefusalMs(progress);
		if (quarantineMs > 0) {
			return makeRefusal('quarantined', {ran: progress.ran === 'not_run' ? 'unknown' : progress.ran, retryAfterMs: quarantineMs});
		}

		const reason = signal.aborted ? 'deadline_exceeded' : progress.reason;
		return makeRefusal(reason, {ran: progress.ran, retryAfterMs: progress.retryAfterMs ?? refusalRetryMs});
	}

	#choose({request, makeChain, excluded}: Progress): Placement | undefined {
		return this.#deps.placer.place({pool: request.pool, makeChain, excluded});
	}

	/** Decides whether and where a further attempt runs, waits until it is due, and counts what was decided. */
	async #chooseNext(last: Placement, end: AttemptEnd, progress: Progress, signal: AbortSignal): Promise<Placement | undefined> {
		const {telemetry} = this.#deps;
		const next = this.#pickNext(last, end, progress);
		if (typeof next === 'string') {
			telemetry.count('retries_refused_total', {reason: next});
			return undefined;
		}

		await this.#delayRetry(progress, signal);
		if (signal.aborted) {
			progress.reason = 'deadline_exceeded';
			telemetry.count('retries_refused_total', {reason: 'deadline'});
			return undefined;
		}

		telemetry.count('retries_total', {reason: end.cause});
		return next;
	}

	#pickNext(last: Placement, {cause}: AttemptEnd, progress: Progress): Placement | RetryRefusal {
		const {pool, repeatable} = progress.request;
		const place = decideRetry(cause, repeatable);
		if (place === 'never') {
			return cause === 'deadline' ? 'deadline' : 'table';
		}

		if (progress.isSpent) {
			return 'attempts';
		}

		const placement = this.#place(last, place === 'same', progress);
		if (!placement) {
			return 'no_target';
		}

		if (causeRules[cause].budgeted && !this.#budget.take(pool.name, progress.answer.hasBegun())) {
			progress.reason = 'retry_budget_spent';
			return 'budget';
		}

		return placement;
	}

	/** Delays later retries by a random part of an interval that doubles; the first ones are immediate. */
	async #delayRetry({idleAttempts}: Progress, signal: AbortSignal): Promise<void> {
		const {clock, random} = this.#deps;
		const doublings = idleAttempts - undelayedRetries;
		if (doublings > 0) {
			await clock.sleep(random.next() * firstDelayMs * (2 ** doublings), signal);
		}
	}

	/** Prefers the same target where a generation may still be running there; begins another round where a stream would be cut. */
	#place(last: Placement, same: boolean, progress: Progress): Placement | undefined {
		const isChat = progress.request.work.kind === 'chat';
		if (same && isChat && progress.takeResume()) {
			return last;
		}

		progress.excluded.add(last.target.name);
		const placement = this.#choose(progress);
		const mayBeginRound = !placement && progress.answer.hasBegun() && progress.beginRound();
		return mayBeginRound ? this.#choose(progress) : placement;
	}
}

function prepareChain({work, pool, customer}: RoutedRequest): ChainMaker | undefined {
	if (work.kind !== 'chat') {
		return undefined;
	}

	return createChainMaker({customer: customer.name, model: pool.model ?? ''}, work.messages, pool.pieceTokens);
}
