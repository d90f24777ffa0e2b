/**
 * The running part of a stand-in engine, from one start of its process to the
 * next: batch slots, one prefill lane, the prefix cache, and generations.
 */
import {writeAnswerText} from './answer-text.ts';
import type {EngineSettings} from './_engine-options.ts';
import {Gate} from './_gate.ts';
import {Generation} from './_generation.ts';
import {PrefixCache} from './_prefix-cache.ts';
import type {TargetCall, Work} from '#core';
import type {Clock} from '#clock';

/** What a worker shares with its engine. */
export type WorkerHost = Readonly<{
	clock: Clock;
	settings: EngineSettings;
	incarnation: string;
	/** Weights loaded at present. */
	getWeights: () => string | undefined;
	/** Multiplies all times. */
	getSlowFactor: () => number;
	/** Whether answers come back empty. */
	answersEmpty: () => boolean;
	crash: () => void;
	countPrefill: (counts: Readonly<{cached: number; imported: number; computed: number}>) => void;
}>;

/** Runs generations until the process ends. */
export class EngineWorker {
	readonly cache: PrefixCache;
	readonly #host: WorkerHost;
	readonly #slots: Gate;
	readonly #prefill = new Gate(1);
	readonly #generations = new Map<string, Generation>();
	#ended = false;

	constructor(host: WorkerHost) {
		this.#host = host;
		this.cache = new PrefixCache(host.settings.cacheTokens);
		this.#slots = new Gate(host.settings.slots);
	}

	get running(): number {
		return this.#slots.held;
	}

	get queued(): number {
		return this.#slots.waiting;
	}

	get generations(): Iterable<Generation> {
		return this.#generations.values();
	}

	/** Uncached tokens of prompts whose prefill has not begun. */
	countQueuedTokens(): number {
		let sum = 0;
		for (const {stage, cancelled, call, totalTokens} of this.#generations.values()) {
			if (stage === 'queued' && !cancelled) {
				sum += totalTokens - this.cache.measure(call.chain);
			}
		}

		return sum;
	}

	/** Joins a generation of the same request, or starts a new one. */
	open(call: TargetCall): Generation {
		const running = this.#generations.get(call.requestId);
		if (running && call.resumeOffset > 0 && !running.cancelled) {
			return running;
		}

		const generation = new Generation(call);
		this.#generations.set(call.requestId, generation);
		void this.#run(generation);
		return generation;
	}

	/** Ends the process: nothing more is produced. */
	end(): void {
		this.#ended = true;
		for (const generation of this.#generations.values()) {
			generation.cut();
			generation.cancel();
		}

		this.#generations.clear();
		this.#slots.reset();
		this.#prefill.reset();
	}

	getTokenGapMs(): number {
		const {tokenGapMs, gapGrowth} = this.#host.settings;
		const growth = gapGrowth * Math.max(0, this.#slots.held - 1);
		return tokenGapMs * (1 + growth) * this.#host.getSlowFactor();
	}

	async #run(generation: Generation): Promise<void> {
		const isWanted = () => !generation.cancelled;
		if (!await this.#slots.enter(generation.call.priority, isWanted)) {
			this.#forget(generation);
			return;
		}

		if (await this.#prefill.enter(generation.call.priority, isWanted)) {
			await this.#computePrefill(generation);
		}

		if (!this.#ended && !generation.cancelled) {
			generation.stage = 'decode';
			await this.#decode(generation);
		}

		if (!this.#ended) {
			this.#slots.leave();
			this.#settle(generation);
		}
	}

	/** Forgets a delivered or cancelled generation; keeps one whose connection was lost, for resumption. */
	#settle(generation: Generation): void {
		generation.stage = 'done';
		if (generation.connected || generation.cancelled) {
			this.#forget(generation);
			return;
		}

		this.#host.clock.after(this.#host.settings.resumeHoldMs, () => {
			this.#forget(generation);
		});
	}

	#forget(generation: Generation): void {
		if (this.#generations.get(generation.call.requestId) === generation) {
			this.#generations.delete(generation.call.requestId);
		}
	}

	async #computePrefill(generation: Generation): Promise<void> {
		const {clock, settings, incarnation} = this.#host;
		const {call, totalTokens} = generation;
		generation.stage = 'prefill';
		const cached = this.cache.match(this.#listKeys(call));
		const imported = this.#countImported(call, cached);
		const computed = totalTokens - cached - imported;
		const durationMs = (imported / settings.importTokensPerMs) + (computed / settings.prefillTokensPerMs);
		const completed = await clock.sleep(durationMs * this.#host.getSlowFactor(), generation.signal);
		if (this.#ended) {
			return;
		}

		this.#prefill.leave();
		if (!completed || generation.cancelled) {
			return;
		}

		this.#host.countPrefill({cached, imported, computed});
		if (this.#isPoison(call.work)) {
			this.#host.crash();
			return;
		}

		if (this.#listKeys(call).length > 0) {
			this.#keep(call, cached + imported);
		}

		generation.produce({
			kind: 'head', attemptId: '', status: 200, incarnation, weights: this.#host.getWeights(),
			promptTokens: totalTokens, cachedTokens: cached + imported,
		});
	}

	/** Keys that may be matched and stored: none of a call that assumes other weights. */
	#listKeys({chain, weights}: TargetCall): readonly string[] {
		return weights === undefined || weights === this.#host.getWeights() ? chain : [];
	}

	/** Stores a prompt in the prefix cache and in the kept store. */
	#keep({chain, pieceTokens}: TargetCall, cachedTokens: number): void {
		const {clock, settings} = this.#host;
		this.cache.store(chain, pieceTokens, clock.now() + settings.eventDelayMs);
		for (const key of chain) {
			settings.keptStore?.add(key);
		}

		let first = 0;
		for (let position = 0; position < cachedTokens; first++) {
			position += pieceTokens[first]!;
		}

		settings.onPrefill?.(chain.slice(first), pieceTokens.slice(first));
	}

	#isPoison(work: Work): boolean {
		return work.kind === 'chat' && work.messages.some(message => message.content.includes(this.#host.settings.poison));
	}

	#countImported(call: TargetCall, cached: number): number {
		let position = 0;
		let imported = 0;
		for (const [index, key] of this.#listKeys(call).entries()) {
			const tokens = call.pieceTokens[index]!;
			if (position >= cached) {
				if (!call.importKeys.includes(key) || !this.#host.settings.keptStore?.has(key)) {
					break;
				}

				imported += tokens;
			}

			position += tokens;
		}

		return imported;
	}

	async #decode(generation: Generation): Promise<void> {
		const {call, totalTokens} = generation;
		if (this.#host.answersEmpty()) {
			generation.produce({kind: 'fault', outcome: 'failed', detail: 'the engine has no model'});
			return;
		}

		let offset = 0;
		let tokens = 0;
		for (const bytes of writeAnswerText(call.work)) {
			if (offset + bytes.length > call.resumeOffset) {
				await this.#host.clock.sleep(this.getTokenGapMs(), generation.signal);
				if (generation.cancelled) {
					return;
				}

				tokens++;
				generation.produce({
					kind: 'data', attemptId: '', offset, bytes,
				});
			}

			offset += bytes.length;
		}

		generation.produce({kind: 'usage', attemptId: '', usage: {promptTokens: totalTokens, completionTokens: tokens, cachedTokens: 0}});
		generation.produce({kind: 'end', attemptId: '', finish: 'stop'});
	}
}
