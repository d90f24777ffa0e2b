/**
 * A stand-in for a model engine: continuous batching with priorities, a bounded
 * prefix cache, resume and cancel, late cache events with gaps, lagged load
 * reports, and orders with or without fencing.
 */
import {EngineOrders} from './_engine-orders.ts';
import {resolveOptions, type EngineOptions, type EngineSettings} from './_engine-options.ts';
import {EngineWorker} from './_engine-worker.ts';
import {
	createRandom, fail, succeed, type CacheEventBatch, type EngineOrder, type LoadReport, type OrderReceipt, type Random,
	type Result, type TargetCall, type TargetFailure, type TargetFrame, type TargetLink,
} from '#core';
import type {Clock} from '#clock';

export type {EngineOptions} from './_engine-options.ts';

const refusedConnection: TargetFailure = {outcome: 'notSent', detail: 'ECONNREFUSED'};

/** A model engine with faults that a test switches on. */
export class EngineStandin implements TargetLink {
	/** Attempts that reached the engine, by request id, in order. */
	readonly runs: string[] = [];
	/** Prompt tokens that were computed, taken from the cache, and imported from the kept store. */
	prefilledTokens = 0;
	cachedTokens = 0;
	importedTokens = 0;
	/** Times that the engine crashed. */
	crashes = 0;

	readonly #clock: Clock;
	readonly #settings: EngineSettings;
	readonly #random: Random;
	readonly #orders: EngineOrders;
	#worker: EngineWorker;
	#incarnation: string;
	#report: LoadReport | undefined;
	#reportMs = 0;
	#down = false;
	#leaving = false;
	#slowFactor = 1;
	#eventLoss = 0;
	#orderAnswersToLose = 0;
	#answersEmpty = false;

	constructor(clock: Clock, options: EngineOptions = {}) {
		this.#clock = clock;
		this.#settings = resolveOptions(options);
		this.#random = createRandom(this.#settings.seed);
		this.#incarnation = this.#random.id();
		this.#worker = this.#startWorker();
		this.#orders = new EngineOrders(this.#settings, {
			clearCache: () => {
				this.#worker.cache.clear(this.#clock.now());
			},
			leave: () => {
				this.leave();
			},
		});
	}

	get incarnation(): string {
		return this.#incarnation;
	}

	get weights(): string | undefined {
		return this.#orders.weights;
	}

	get down(): boolean {
		return this.#down;
	}

	/** Orders that took effect, oldest first. */
	get orders(): readonly EngineOrder[] {
		return this.#orders.taken;
	}

	/** Whether a piece key is cached right now; for oracles. */
	hasCached(key: string): boolean {
		return this.#worker.cache.has(key);
	}

	/** The load right now, without the report's lag; for oracles. */
	measureLoad(): LoadReport {
		return {
			incarnation: this.#incarnation, weights: this.#orders.weights, model: this.#orders.model,
			running: this.#worker.running, queued: this.#worker.queued, queuedTokens: this.#worker.countQueuedTokens(),
			prefillTokensPerMs: this.#settings.prefillTokensPerMs / this.#slowFactor, tokenGapMs: this.#worker.getTokenGapMs(),
			ageMs: 0, leaving: this.#leaving, cacheSequence: this.#worker.cache.sequence, loading: this.#orders.loading,
		};
	}

	// Faults.

	/** Kills the process: running requests are lost, the cache is empty, connects fail. */
	crash(): void {
		this.crashes++;
		this.#down = true;
		this.#worker.end();
		this.#report = undefined;
	}

	/** Starts again after a crash, with a new incarnation and an empty cache. */
	restart(): void {
		this.#worker.end();
		this.#down = false;
		this.#leaving = false;
		this.#orders.loading = false;
		this.#report = undefined;
		this.#incarnation = this.#random.id();
		this.#worker = this.#startWorker();
	}

	/** Breaks every open connection; generations go on for a while. */
	breakConnections(): void {
		for (const generation of this.#worker.generations) {
			generation.cut();
			generation.expire(this.#clock, this.#settings.resumeHoldMs);
		}
	}

	/** Makes every open connection silent for good; new ones work. */
	silenceConnections(): void {
		for (const generation of this.#worker.generations) {
			generation.silence();
		}
	}

	/** Announces that the engine leaves. */
	leave(): void {
		this.#leaving = true;
	}

	/** Multiplies all times. */
	slowDown(factor: number): void {
		this.#slowFactor = factor;
	}

	/** Drops this share of cache events. */
	loseEvents(share: number): void {
		this.#eventLoss = share;
	}

	/** Loses the answers to the next orders, after they took effect. */
	loseOrderAnswers(count: number): void {
		this.#orderAnswersToLose = count;
	}

	/** Makes answers come back empty, as from an engine that restarted without its model. */
	answerEmpty(empty: boolean): void {
		this.#answersEmpty = empty;
	}

	// The interface to the router.

	async * run(call: TargetCall, signal: AbortSignal): AsyncGenerator<TargetFrame> {
		if (this.#down) {
			yield {kind: 'fault', ...refusedConnection};
			return;
		}

		if (this.weights === undefined && this.#settings.model !== undefined) {
			yield {kind: 'fault', outcome: 'refused', detail: 'no weights loaded'};
			return;
		}

		this.runs.push(call.requestId);
		const generation = this.#worker.open(call);
		const sink = generation.connect(call);
		const abort = () => {
			generation.closeReader(sink);
		};

		signal.addEventListener('abort', abort, {once: true});
		if (signal.aborted) {
			abort();
		}

		yield * sink;
		signal.removeEventListener('abort', abort);
	}

	async readReport(): Promise<Result<LoadReport, TargetFailure>> {
		if (this.#down) {
			return fail(refusedConnection);
		}

		const now = this.#clock.now();
		if (!this.#report || now - this.#reportMs >= this.#settings.reportEveryMs) {
			this.#report = this.measureLoad();
			this.#reportMs = now;
		}

		return succeed({...this.#report, ageMs: now - this.#reportMs, leaving: this.#leaving});
	}

	async readCacheEvents(after: number): Promise<Result<CacheEventBatch, TargetFailure>> {
		if (this.#down) {
			return fail(refusedConnection);
		}

		const visible = this.#worker.cache.read(after, this.#clock.now());
		const events = this.#eventLoss === 0 ? visible : visible.filter(() => this.#random.next() >= this.#eventLoss);
		return succeed({incarnation: this.#incarnation, events, sequence: visible.at(-1)?.sequence ?? after});
	}

	async sendOrder(order: EngineOrder): Promise<Result<OrderReceipt, TargetFailure>> {
		if (this.#down) {
			return fail(refusedConnection);
		}

		const receipt = this.#orders.take(order);
		if (this.#orderAnswersToLose > 0) {
			this.#orderAnswersToLose--;
			return fail({outcome: 'unknown', detail: 'the answer was lost'});
		}

		return succeed(receipt);
	}

	async close(): Promise<void> {
		// The stand-in holds no connection.
	}

	#startWorker(): EngineWorker {
		return new EngineWorker({
			clock: this.#clock, settings: this.#settings, incarnation: this.#incarnation,
			getWeights: () => this.#orders.weights,
			getSlowFactor: () => this.#slowFactor,
			answersEmpty: () => this.#answersEmpty,
			crash: () => {
				this.crash();
			},
			countPrefill: ({cached, imported, computed}) => {
				this.cachedTokens += cached;
				this.importedTokens += imported;
				this.prefilledTokens += computed;
			},
		});
	}
}
