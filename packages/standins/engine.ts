/**
 * A stand-in for a model engine, with continuous batching by priority, a bounded
 * prefix cache, resumption and cancellation of requests, delayed and lost cache
 * events, periodic load reports, and orders with or without fencing.
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
	/** Request id of each attempt that reached the engine, in order. */
	readonly attemptedRequestIds: string[] = [];
	/** Number of prompt tokens that were computed. */
	prefilledTokens = 0;
	/** Number of prompt tokens that were found in the prefix cache. */
	cachedTokens = 0;
	/** Number of prompt tokens that were imported from the shared KV cache store. */
	importedTokens = 0;
	/** Number of crashes. */
	crashes = 0;

	readonly #clock: Clock;
	readonly #settings: EngineSettings;
	readonly #random: Random;
	readonly #orders: EngineOrders;
	#worker: EngineWorker;
	#incarnation: string;
	#lastReport: LoadReport | undefined;
	#lastReportMs = 0;
	#isDown = false;
	#isDraining = false;
	#timeFactor = 1;
	#eventLossRatio = 0;
	#orderResponsesToLose = 0;
	#shouldAnswerEmpty = false;

	constructor(clock: Clock, options: EngineOptions = {}) {
		this.#clock = clock;
		this.#settings = resolveOptions(options);
		this.#random = createRandom(this.#settings.seed);
		this.#incarnation = this.#random.createId();
		this.#worker = this.#startWorker();
		this.#orders = new EngineOrders(this.#settings, {
			clearCache: () => {
				this.#worker.cache.clear(this.#clock.now());
			},
			startDraining: () => {
				this.startDraining();
			},
		});
	}

	get incarnation(): string {
		return this.#incarnation;
	}

	get weights(): string | undefined {
		return this.#orders.weights;
	}

	get isDown(): boolean {
		return this.#isDown;
	}

	/** Accepted orders, oldest first. */
	get acceptedOrders(): readonly EngineOrder[] {
		return this.#orders.accepted;
	}

	/** Returns whether a piece is cached now, without the delay of cache events; for test oracles. */
	isCached(key: string): boolean {
		return this.#worker.cache.has(key);
	}

	/** Measures the current load, without the delay of the load report; for test oracles. */
	measureLoad(): LoadReport {
		return {
			incarnation: this.#incarnation, weights: this.#orders.weights, model: this.#orders.model,
			running: this.#worker.runningCount, queued: this.#worker.queuedCount, queuedTokens: this.#worker.countQueuedTokens(),
			prefillTokensPerMs: this.#settings.prefillTokensPerMs / this.#timeFactor, tokenGapMs: this.#worker.getTokenGapMs(),
			ageMs: 0, leaving: this.#isDraining, cacheSequence: this.#worker.cache.sequence, loading: this.#orders.isLoading,
		};
	}

	// Faults.

	/** Crashes the process: running requests and the cache are lost, and connections are refused. */
	crash(): void {
		this.crashes++;
		this.#isDown = true;
		this.#worker.stop();
		this.#lastReport = undefined;
	}

	/** Restarts the process, with a new incarnation and an empty cache. */
	restart(): void {
		this.#worker.stop();
		this.#isDown = false;
		this.#isDraining = false;
		this.#orders.isLoading = false;
		this.#lastReport = undefined;
		this.#incarnation = this.#random.createId();
		this.#worker = this.#startWorker();
	}

	/** Resets every open connection. Generations continue, and are aborted if not resumed within `resumeHoldMs`. */
	breakConnections(): void {
		for (const generation of this.#worker.generations) {
			generation.resetConnection();
			generation.abortUnlessResumed(this.#clock, this.#settings.resumeHoldMs);
		}
	}

	/** Sends nothing more on any open connection, which stays open. New connections work. */
	silenceConnections(): void {
		for (const generation of this.#worker.generations) {
			generation.silenceConnection();
		}
	}

	/** Starts draining; load reports then announce that the engine leaves. */
	startDraining(): void {
		this.#isDraining = true;
	}

	/** Multiplies prefill and token times by a factor. */
	setTimeFactor(factor: number): void {
		this.#timeFactor = factor;
	}

	/** Drops cache events at random with this probability, from 0 to 1. */
	setEventLossRatio(ratio: number): void {
		this.#eventLossRatio = ratio;
	}

	/** Loses the responses to the next `count` orders, after the engine handled them. */
	loseOrderResponses(count: number): void {
		this.#orderResponsesToLose = count;
	}

	/** Makes requests fail after prefill without any text, as on an engine that restarted without its model. */
	setEmptyAnswers(isEnabled: boolean): void {
		this.#shouldAnswerEmpty = isEnabled;
	}

	// The interface to the router.

	async * run(call: TargetCall, signal: AbortSignal): AsyncGenerator<TargetFrame> {
		if (this.#isDown) {
			yield {kind: 'fault', ...refusedConnection};
			return;
		}

		// An engine that is set up without a model answers without weights.
		if (this.weights === undefined && this.#settings.model !== undefined) {
			yield {kind: 'fault', outcome: 'refused', detail: 'no weights loaded'};
			return;
		}

		this.attemptedRequestIds.push(call.requestId);
		const generation = this.#worker.resumeOrStart(call);
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
		if (this.#isDown) {
			return fail(refusedConnection);
		}

		const now = this.#clock.now();
		if (!this.#lastReport || now - this.#lastReportMs >= this.#settings.reportIntervalMs) {
			this.#lastReport = this.measureLoad();
			this.#lastReportMs = now;
		}

		// A report shows at once that the engine drains; its other values are as old as `ageMs`.
		return succeed({...this.#lastReport, ageMs: now - this.#lastReportMs, leaving: this.#isDraining});
	}

	async readCacheEvents(after: number): Promise<Result<CacheEventBatch, TargetFailure>> {
		if (this.#isDown) {
			return fail(refusedConnection);
		}

		const visible = this.#worker.cache.listEvents(after, this.#clock.now());
		const events = this.#eventLossRatio === 0 ? visible : visible.filter(() => this.#random.next() >= this.#eventLossRatio);
		// The sequence number covers dropped events, too, so that they are not read again.
		return succeed({incarnation: this.#incarnation, events, sequence: visible.at(-1)?.sequence ?? after});
	}

	async sendOrder(order: EngineOrder): Promise<Result<OrderReceipt, TargetFailure>> {
		if (this.#isDown) {
			return fail(refusedConnection);
		}

		const receipt = this.#orders.handle(order);
		if (this.#orderResponsesToLose > 0) {
			this.#orderResponsesToLose--;
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
			getTimeFactor: () => this.#timeFactor,
			shouldAnswerEmpty: () => this.#shouldAnswerEmpty,
			crash: () => {
				this.crash();
			},
			recordPrefill: ({cachedTokens, importedTokens, computedTokens}) => {
				this.cachedTokens += cachedTokens;
				this.importedTokens += importedTokens;
				this.prefilledTokens += computedTokens;
			},
		});
	}
}
