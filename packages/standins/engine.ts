/**
 * A stand-in for a model engine: continuous batching with priorities, a bounded
 * prefix cache, resume and cancel, late cache events with gaps, lagged load
 * reports, and orders with or without fencing.
 */
import {writeAnswerText} from './answer-text.ts';
import {Gate} from './_gate.ts';
import {PrefixCache} from './_prefix-cache.ts';
import type {WeightStoreStandin} from './weight-store.ts';
import {
	Channel, createRandom, fail, succeed, type CacheEventBatch, type Work, type EngineOrder, type LoadReport,
	type OrderReceipt, type Random, type Result, type TargetCall, type TargetFailure, type TargetFrame, type TargetLink,
} from '#core';
import type {Clock} from '#clock';

/** Options of {@link EngineStandin}. */
export type EngineOptions = Readonly<{
	/** Requests that run at once. Default: 8. */
	slots?: number;
	/** Prefill speed, in tokens per millisecond. Default: 8. */
	prefillTokensPerMs?: number;
	/** Speed of an import from the kept store, in tokens per millisecond. Default: 40. */
	importTokensPerMs?: number;
	/** Time between tokens when one request runs, in milliseconds. Default: 12. */
	tokenGapMs?: number;
	/** Growth of the time between tokens for each further running request. Default: 0.03. */
	gapGrowth?: number;
	/** Size of the prefix cache, in tokens. Default: 200 000. */
	cacheTokens?: number;
	/** Delay of cache events, in milliseconds. Default: 300. */
	eventDelayMs?: number;
	/** Time between load reports, in milliseconds. Default: 500. */
	reportEveryMs?: number;
	/** Whether orders with an old fencing number are refused. Default: `true`. */
	checksFencing?: boolean;
	/** Model and weights loaded at the start. Default: none. */
	model?: string;
	weights?: string;
	/** Shared weight store. Default: loads take no time. */
	weightStore?: WeightStoreStandin;
	/** Text in a prompt that crashes the engine. Default: `!!crash!!`. */
	poison?: string;
	/** Time for which a generation outlives a lost connection, in milliseconds. Default: 5000. */
	resumeHoldMs?: number;
	/** Keys of the store of kept KV cache, shared by the pool's engines. Default: none. */
	keptStore?: Set<string>;
	/** Seed of the engine's random choices. Default: 1. */
	seed?: number;
}>;

type Generation = {
	readonly call: TargetCall;
	sink: Channel<TargetFrame> | undefined;
	attemptId: string;
	/** Frames produced so far, for resumption. */
	readonly produced: TargetFrame[];
	cancelled: boolean;
};

/** A model engine with faults that a test switches on. */
export class EngineStandin implements TargetLink {
	/** Attempts that reached the engine, by request id, in order. */
	readonly runs: string[] = [];
	/** Prompt tokens that were prefilled, and those taken from the cache. */
	prefilledTokens = 0;
	cachedTokens = 0;
	/** Orders that took effect, oldest first. */
	readonly orders: EngineOrder[] = [];
	/** Times that the engine crashed. */
	crashes = 0;

	readonly #clock: Clock;
	readonly #options: EngineOptions;
	readonly #random: Random;
	readonly #slots: Gate;
	readonly #prefill = new Gate(1);
	readonly #generations = new Map<string, Generation>();
	#cache: PrefixCache;
	#incarnation: string;
	#model: string | undefined;
	#weights: string | undefined;
	#report: LoadReport | undefined;
	#reportMs = 0;
	#queuedTokens = 0;
	#fencing = 0;
	#lastOrderId = '';
	#loading = false;
	#down = false;
	#leaving = false;
	#slowFactor = 1;
	#eventLoss = 0;
	#orderAnswersToLose = 0;
	#returnEmpty = false;

	constructor(clock: Clock, options: EngineOptions = {}) {
		this.#clock = clock;
		this.#options = options;
		this.#random = createRandom(options.seed ?? 1);
		this.#slots = new Gate(options.slots ?? 8);
		this.#cache = this.#makeCache();
		this.#incarnation = this.#random.id();
		this.#model = options.model;
		this.#weights = options.weights;
	}

	get incarnation(): string {
		return this.#incarnation;
	}

	get weights(): string | undefined {
		return this.#weights;
	}

	get down(): boolean {
		return this.#down;
	}

	/** Whether a piece key is cached right now; for oracles. */
	hasCached(key: string): boolean {
		return this.#cache.has(key);
	}

	// Faults.

	/** Kills the process: running requests are lost, the cache is empty, connects fail. */
	crash(): void {
		this.crashes++;
		this.#down = true;
		this.breakConnections();
		for (const generation of this.#generations.values()) {
			generation.cancelled = true;
		}

		this.#generations.clear();
		this.#slots.reset();
		this.#prefill.reset();
		this.#queuedTokens = 0;
		this.#cache = this.#makeCache();
		this.#report = undefined;
	}

	/** Starts again after a crash, with a new incarnation and an empty cache. */
	restart(): void {
		this.#down = false;
		this.#leaving = false;
		this.#loading = false;
		this.#incarnation = this.#random.id();
	}

	/** Breaks every open connection; generations go on for a while. */
	breakConnections(): void {
		for (const generation of this.#generations.values()) {
			generation.sink?.push({kind: 'fault', outcome: 'unknown', detail: 'ECONNRESET'});
			generation.sink?.close();
			generation.sink = undefined;
		}
	}

	/** Makes every open connection silent for good; new ones work. */
	silenceConnections(): void {
		for (const generation of this.#generations.values()) {
			generation.sink = undefined;
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
		this.#returnEmpty = empty;
	}

	// The interface to the router.

	async * run(call: TargetCall, signal: AbortSignal): AsyncGenerator<TargetFrame> {
		if (this.#down) {
			yield {kind: 'fault', outcome: 'notSent', detail: 'ECONNREFUSED'};
			return;
		}

		if (this.#weights === undefined && this.#options.model !== undefined) {
			yield {kind: 'fault', outcome: 'refused', detail: 'no weights loaded'};
			return;
		}

		this.runs.push(call.requestId);
		const generation = this.#attach(call);
		const sink = generation.sink!;
		const abort = () => {
			if (generation.sink === sink) {
				generation.cancelled = true;
				generation.sink = undefined;
			}

			sink.close();
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
			return fail({outcome: 'notSent', detail: 'ECONNREFUSED'});
		}

		const now = this.#clock.now();
		if (!this.#report || now - this.#reportMs >= (this.#options.reportEveryMs ?? 500)) {
			this.#report = this.#measure();
			this.#reportMs = now;
		}

		return succeed({...this.#report, ageMs: now - this.#reportMs, leaving: this.#leaving});
	}

	async readCacheEvents(after: number): Promise<Result<CacheEventBatch, TargetFailure>> {
		if (this.#down) {
			return fail({outcome: 'notSent', detail: 'ECONNREFUSED'});
		}

		const visible = this.#cache.read(after, this.#clock.now());
		const events = this.#eventLoss === 0 ? visible : visible.filter(() => this.#random.next() >= this.#eventLoss);
		return succeed({incarnation: this.#incarnation, events, sequence: visible.at(-1)?.sequence ?? after});
	}

	async sendOrder(order: EngineOrder): Promise<Result<OrderReceipt, TargetFailure>> {
		if (this.#down) {
			return fail({outcome: 'notSent', detail: 'ECONNREFUSED'});
		}

		const checks = this.#options.checksFencing ?? true;
		const accepted = !checks || order.fencing >= this.#fencing;
		if (accepted) {
			this.#fencing = Math.max(this.#fencing, order.fencing);
			this.#lastOrderId = order.orderId;
			this.orders.push(order);
			void this.#obey(order);
		}

		if (this.#orderAnswersToLose > 0) {
			this.#orderAnswersToLose--;
			return fail({outcome: 'unknown', detail: 'the answer was lost'});
		}

		return succeed({accepted, fencing: checks ? this.#fencing : 0, lastOrderId: this.#lastOrderId});
	}

	async close(): Promise<void> {
		// The stand-in holds no connection.
	}

	// Internals.

	#makeCache(): PrefixCache {
		return new PrefixCache(this.#options.cacheTokens ?? 200_000);
	}

	/** Joins a running generation of the same request, or starts a new one. */
	#attach(call: TargetCall): Generation {
		const running = this.#generations.get(call.requestId);
		if (running && call.resumeOffset > 0 && !running.cancelled) {
			const sink = new Channel<TargetFrame>();
			running.sink = sink;
			running.attemptId = call.attemptId;
			for (const frame of running.produced) {
				if (frame.kind !== 'data' || frame.offset + frame.bytes.length > call.resumeOffset) {
					this.#deliver(running, frame);
				}
			}

			return running;
		}

		const generation: Generation = {
			call, sink: new Channel<TargetFrame>(), attemptId: call.attemptId, produced: [], cancelled: false,
		};
		this.#generations.set(call.requestId, generation);
		void this.#generate(generation);
		return generation;
	}

	async #generate(generation: Generation): Promise<void> {
		const {call} = generation;
		const incarnation = this.#incarnation;
		const total = call.pieceTokens.reduce((sum, count) => sum + count, 0);
		this.#queuedTokens += total;
		const admitted = await this.#slots.enter(call.priority);
		if (!admitted) {
			return;
		}

		const prefilled = await this.#runPrefill(generation, total);
		if (!prefilled) {
			return;
		}

		await this.#decode(generation);
		if (this.#generations.get(call.requestId) === generation) {
			this.#generations.delete(call.requestId);
		}

		if (!this.#down && incarnation === this.#incarnation) {
			this.#slots.leave();
		}
	}

	async #runPrefill(generation: Generation, total: number): Promise<boolean> {
		const {call} = generation;
		const admitted = await this.#prefill.enter(call.priority);
		if (!admitted) {
			return false;
		}

		this.#queuedTokens = Math.max(0, this.#queuedTokens - total);
		const incarnation = this.#incarnation;
		const cached = this.#cache.match(call.chain);
		const imported = this.#countImported(call, cached);
		const computed = total - cached - imported;
		const importMs = imported / (this.#options.importTokensPerMs ?? 40);
		const computeMs = computed / (this.#options.prefillTokensPerMs ?? 8);
		if (!generation.cancelled) {
			await this.#clock.sleep((importMs + computeMs) * this.#slowFactor);
		}

		if (this.#down || incarnation !== this.#incarnation) {
			return false;
		}

		this.#prefill.leave();
		this.cachedTokens += cached;
		this.prefilledTokens += computed;
		if (this.#isPoison(call.work)) {
			this.crash();
			return false;
		}

		this.#cache.store(call.chain, call.pieceTokens, this.#clock.now() + (this.#options.eventDelayMs ?? 300));
		for (const key of call.chain) {
			this.#options.keptStore?.add(key);
		}

		this.#produce(generation, {
			kind: 'head', attemptId: '', status: 200, incarnation: this.#incarnation, weights: this.#weights,
			promptTokens: total, cachedTokens: cached + imported,
		});
		return true;
	}

	#isPoison(work: Work): boolean {
		const mark = this.#options.poison ?? '!!crash!!';
		return work.kind === 'chat' && work.messages.some(message => message.content.includes(mark));
	}

	#countImported(call: TargetCall, cached: number): number {
		let position = 0;
		let imported = 0;
		for (const [index, key] of call.chain.entries()) {
			const tokens = call.pieceTokens[index]!;
			if (position >= cached) {
				if (!call.importKeys.includes(key) || !this.#options.keptStore?.has(key)) {
					break;
				}

				imported += tokens;
			}

			position += tokens;
		}

		return imported;
	}

	async #decode(generation: Generation): Promise<void> {
		const {call} = generation;
		const slices = this.#returnEmpty ? [] : writeAnswerText(call.work);
		let offset = 0;
		let tokens = 0;
		for (const bytes of slices) {
			if (offset + bytes.length > call.resumeOffset) {
				await this.#clock.sleep(this.#getTokenGapMs());
				if (generation.cancelled) {
					return;
				}

				tokens++;
				this.#produce(generation, {
					kind: 'data', attemptId: '', offset, bytes,
				});
			}

			offset += bytes.length;
		}

		if (this.#returnEmpty) {
			this.#produce(generation, {kind: 'fault', outcome: 'failed', detail: 'the engine has no model'});
			return;
		}

		const promptTokens = call.pieceTokens.reduce((sum, count) => sum + count, 0);
		this.#produce(generation, {kind: 'usage', attemptId: '', usage: {promptTokens, completionTokens: tokens, cachedTokens: 0}});
		this.#produce(generation, {kind: 'end', attemptId: '', finish: 'stop'});
	}

	#produce(generation: Generation, frame: TargetFrame): void {
		generation.produced.push(frame);
		this.#deliver(generation, frame);
	}

	#deliver(generation: Generation, frame: TargetFrame): void {
		const stamped = frame.kind === 'fault' ? frame : {...frame, attemptId: generation.attemptId};
		generation.sink?.push(stamped);
		if (frame.kind === 'end' || frame.kind === 'fault') {
			generation.sink?.close();
		}
	}

	#getTokenGapMs(): number {
		const growth = (this.#options.gapGrowth ?? 0.03) * Math.max(0, this.#slots.held - 1);
		return (this.#options.tokenGapMs ?? 12) * (1 + growth) * this.#slowFactor;
	}

	#measure(): LoadReport {
		return {
			incarnation: this.#incarnation, weights: this.#weights, model: this.#model, running: this.#slots.held,
			queued: this.#slots.waiting, queuedTokens: this.#queuedTokens,
			prefillTokensPerMs: (this.#options.prefillTokensPerMs ?? 8) / this.#slowFactor, tokenGapMs: this.#getTokenGapMs(),
			ageMs: 0, leaving: this.#leaving, cacheSequence: this.#cache.sequence, loading: this.#loading,
		};
	}

	async #obey(order: EngineOrder): Promise<void> {
		const handlers: Readonly<Record<EngineOrder['kind'], () => void | Promise<void>>> = {
			load: async () => this.#loadWeights(order),
			unload: () => {
				this.#weights = undefined;
				this.#cache.clear(this.#clock.now());
			},
			drain: () => {
				this.#leaving = true;
			},
			role: () => undefined,
			adapter: () => undefined,
		};
		await handlers[order.kind]();
	}

	async #loadWeights(order: EngineOrder): Promise<void> {
		this.#loading = true;
		await this.#options.weightStore?.load();
		this.#loading = false;
		this.#model = order.model;
		if (this.#weights !== order.value) {
			this.#weights = order.value;
			this.#cache.clear(this.#clock.now());
		}
	}
}
