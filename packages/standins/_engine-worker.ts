/**
 * Models one process of a stand-in engine, from its start to its crash or
 * restart: batch slots, prefills one at a time, the prefix cache and generations.
 */
import {createAnswerSlices} from './answer-text.ts';
import type {EngineSettings} from './_engine-options.ts';
import {PrioritySemaphore} from './_priority-semaphore.ts';
import {Generation} from './_generation.ts';
import {PrefixCache} from './_prefix-cache.ts';
import type {TargetCall, Work} from '#core';
import type {Clock} from '#clock';

/** Settings and callbacks that a worker gets from its engine. */
export type EngineWorkerDependencies = Readonly<{
	clock: Clock;
	settings: EngineSettings;
	incarnation: string;
	/** Returns the loaded weights. */
	getWeights: () => string | undefined;
	/** Returns the factor by which prefill and token times are multiplied. */
	getTimeFactor: () => number;
	/** Returns whether generations fail without any text. */
	shouldAnswerEmpty: () => boolean;
	crash: () => void;
	recordPrefill: (counts: Readonly<{cachedTokens: number; importedTokens: number; computedTokens: number}>) => void;
}>;

/** Runs generations until the process stops. */
export class EngineWorker {
	readonly cache: PrefixCache;
	readonly #dependencies: EngineWorkerDependencies;
	readonly #slots: PrioritySemaphore;
	/** Admits one prefill at a time. */
	readonly #prefillLane = new PrioritySemaphore(1);
	readonly #generations = new Map<string, Generation>();
	#isStopped = false;

	constructor(dependencies: EngineWorkerDependencies) {
		this.#dependencies = dependencies;
		this.cache = new PrefixCache(dependencies.settings.cacheTokens);
		this.#slots = new PrioritySemaphore(dependencies.settings.slots);
	}

	get runningCount(): number {
		return this.#slots.heldCount;
	}

	get queuedCount(): number {
		return this.#slots.waitingCount;
	}

	get generations(): Iterable<Generation> {
		return this.#generations.values();
	}

	/** Counts the uncached tokens of prompts whose prefill has not begun. */
	countQueuedTokens(): number {
		let sum = 0;
		for (const {stage, isAborted, call, totalTokens} of this.#generations.values()) {
			if (stage === 'queued' && !isAborted) {
				sum += totalTokens - this.cache.countCachedTokens(call.chain);
			}
		}

		return sum;
	}

	/** Returns the generation that the call resumes, or starts a new one. */
	resumeOrStart(call: TargetCall): Generation {
		const existing = this.#generations.get(call.requestId);
		if (existing && call.resumeOffset > 0 && !existing.isAborted) {
			return existing;
		}

		const generation = new Generation(call);
		this.#generations.set(call.requestId, generation);
		void this.#run(generation);
		return generation;
	}

	/** Stops the process: resets all connections and aborts all generations. */
	stop(): void {
		this.#isStopped = true;
		for (const generation of this.#generations.values()) {
			generation.resetConnection();
			generation.abort();
		}

		this.#generations.clear();
		this.#slots.reset();
		this.#prefillLane.reset();
	}

	getTokenGapMs(): number {
		const {tokenGapMs, tokenGapGrowth} = this.#dependencies.settings;
		const growth = tokenGapGrowth * Math.max(0, this.#slots.heldCount - 1);
		return tokenGapMs * (1 + growth) * this.#dependencies.getTimeFactor();
	}

	async #run(generation: Generation): Promise<void> {
		const isStillWaiting = () => !generation.isAborted;
		if (!await this.#slots.acquire(generation.call.priority, isStillWaiting)) {
			this.#remove(generation);
			return;
		}

		if (await this.#prefillLane.acquire(generation.call.priority, isStillWaiting)) {
			await this.#computePrefill(generation);
		}

		if (!this.#isStopped && !generation.isAborted) {
			generation.stage = 'decode';
			await this.#decode(generation);
		}

		if (!this.#isStopped) {
			this.#slots.release();
			this.#finish(generation);
		}
	}

	/** Removes a delivered or aborted generation. Retains one whose connection was lost, so that it can be resumed. */
	#finish(generation: Generation): void {
		generation.stage = 'done';
		if (generation.isConnected || generation.isAborted) {
			this.#remove(generation);
			return;
		}

		this.#dependencies.clock.setTimer(this.#dependencies.settings.resumeHoldMs, () => {
			this.#remove(generation);
		});
	}

	#remove(generation: Generation): void {
		if (this.#generations.get(generation.call.requestId) === generation) {
			this.#generations.delete(generation.call.requestId);
		}
	}

	async #computePrefill(generation: Generation): Promise<void> {
		const {clock, settings, incarnation} = this.#dependencies;
		const {call, totalTokens} = generation;
		generation.stage = 'prefill';
		const cachedTokens = this.cache.match(this.#listCacheableKeys(call));
		const importedTokens = this.#countImportedTokens(call, cachedTokens);
		const computedTokens = totalTokens - cachedTokens - importedTokens;
		const durationMs = (importedTokens / settings.importTokensPerMs) + (computedTokens / settings.prefillTokensPerMs);
		const isCompleted = await clock.sleep(durationMs * this.#dependencies.getTimeFactor(), generation.signal);
		if (this.#isStopped) {
			return;
		}

		this.#prefillLane.release();
		if (!isCompleted || generation.isAborted) {
			return;
		}

		this.#dependencies.recordPrefill({cachedTokens, importedTokens, computedTokens});
		if (this.#hasCrashText(call.work)) {
			this.#dependencies.crash();
			return;
		}

		if (this.#listCacheableKeys(call).length > 0) {
			this.#storePrompt(call, cachedTokens + importedTokens);
		}

		generation.emit({
			kind: 'head', attemptId: '', status: 200, incarnation, weights: this.#dependencies.getWeights(),
			promptTokens: totalTokens, cachedTokens: cachedTokens + importedTokens,
		});
	}

	/** Lists the keys that may be matched and stored; none if the call assumes other weights. */
	#listCacheableKeys({chain, weights}: TargetCall): readonly string[] {
		return weights === undefined || weights === this.#dependencies.getWeights() ? chain : [];
	}

	/** Stores a prompt in the prefix cache and in the shared KV cache store. */
	#storePrompt({chain, pieceTokens}: TargetCall, cachedTokens: number): void {
		const {clock, settings} = this.#dependencies;
		this.cache.store(chain, pieceTokens, clock.now() + settings.eventDelayMs);
		for (const key of chain) {
			settings.keptStore?.add(key);
		}

		let firstComputedIndex = 0;
		for (let position = 0; position < cachedTokens; firstComputedIndex++) {
			position += pieceTokens[firstComputedIndex]!;
		}

		settings.onPrefill?.(chain.slice(firstComputedIndex), pieceTokens.slice(firstComputedIndex));
	}

	#hasCrashText(work: Work): boolean {
		return work.kind === 'chat' && work.messages.some(message => message.content.includes(this.#dependencies.settings.crashText));
	}

	/** Counts the tokens that follow the cached prefix and can be imported from the shared KV cache store, up to the first piece that cannot. */
	#countImportedTokens(call: TargetCall, cachedTokens: number): number {
		let position = 0;
		let imported = 0;
		for (const [index, key] of this.#listCacheableKeys(call).entries()) {
			const tokens = call.pieceTokens[index]!;
			if (position >= cachedTokens) {
				if (!call.importKeys.includes(key) || !this.#dependencies.settings.keptStore?.has(key)) {
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
		if (this.#dependencies.shouldAnswerEmpty()) {
			generation.emit({kind: 'fault', outcome: 'failed', detail: 'the engine has no model'});
			return;
		}

		let offset = 0;
		let tokens = 0;
		for (const bytes of createAnswerSlices(call.work)) {
			if (offset + bytes.length > call.resumeOffset) {
				await this.#dependencies.clock.sleep(this.getTokenGapMs(), generation.signal);
				if (generation.isAborted) {
					return;
				}

				tokens++;
				generation.emit({
					kind: 'data', attemptId: '', offset, bytes,
				});
			}

			offset += bytes.length;
		}

		generation.emit({kind: 'usage', attemptId: '', usage: {promptTokens: totalTokens, completionTokens: tokens, cachedTokens: 0}});
		generation.emit({kind: 'end', attemptId: '', finish: 'stop'});
	}
}
