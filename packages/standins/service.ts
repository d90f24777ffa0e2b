/** A stand-in for a plain service, such as a stock ledger, whose calls are not idempotent and must not be repeated. */
import type {Clock} from '#clock';
import {
	createRandom, fail, succeed, waitForAbort, type CacheEventBatch, type LoadReport, type OrderReceipt, type Random, type Result,
	type ServiceWork, type TargetCall, type TargetFailure, type TargetFrame, type TargetLink,
} from '#core';

/** Options of {@link ServiceStandin}. */
export type ServiceOptions = Readonly<{
	/** Duration of a call, in milliseconds. Default: 20. */
	callMs?: number;
	/** Seed of the incarnation. Default: 1. */
	seed?: number;
	/** List to which the members of a service append their executions. Default: a list of this member alone. */
	ledger?: Execution[];
}>;

/** One call that took effect. */
export type Execution = Readonly<{requestId: string; method: string; path: string; body: string}>;

/** A member of a plain service, with faults that a test switches on. */
export class ServiceStandin implements TargetLink {
	/** Calls that took effect, in order. */
	readonly ledger: Execution[];
	readonly #clock: Clock;
	readonly #callMs: number;
	readonly #random: Random;
	#incarnation: string;
	#running = 0;
	#isDown = false;
	#isDraining = false;
	#responsesToLose = 0;
	#callsToSilence = 0;
	#callsToRefuse = 0;
	#crashCount = 0;

	constructor(clock: Clock, options: ServiceOptions = {}) {
		this.#clock = clock;
		this.#callMs = options.callMs ?? 20;
		this.#random = createRandom(options.seed ?? 1);
		this.#incarnation = this.#random.createId();
		this.ledger = options.ledger ?? [];
	}

	/** Crashes the process. Running calls are lost; those that already took effect stay in the ledger. */
	crash(): void {
		this.#isDown = true;
		this.#crashCount++;
	}

	restart(): void {
		this.#isDown = false;
		this.#isDraining = false;
		this.#incarnation = this.#random.createId();
	}

	startDraining(): void {
		this.#isDraining = true;
	}

	/** Loses the next `count` responses, after the calls took effect. */
	loseResponses(count: number): void {
		this.#responsesToLose = count;
	}

	/** Makes the next `count` calls take effect without any response; their connections stay open. */
	silenceCalls(count: number): void {
		this.#callsToSilence = count;
	}

	/** Refuses the next `count` calls without running them. */
	refuseCalls(count: number): void {
		this.#callsToRefuse = count;
	}

	async * run(call: TargetCall, signal: AbortSignal): AsyncGenerator<TargetFrame> {
		if (this.#isDown) {
			yield {kind: 'fault', outcome: 'notSent', detail: 'ECONNREFUSED'};
			return;
		}

		if (this.#callsToRefuse > 0) {
			this.#callsToRefuse--;
			yield {kind: 'fault', outcome: 'refused', detail: 'busy, not run'};
			return;
		}

		const crashCountAtStart = this.#crashCount;
		const {work} = call;
		if (work.kind !== 'call') {
			yield {kind: 'fault', outcome: 'refused', detail: 'not a call'};
			return;
		}

		const body = new TextDecoder().decode(work.body);
		this.#running++;
		// A call takes effect after half of its duration, unless the process crashed before.
		await this.#clock.sleep(this.#callMs / 2);
		if (crashCountAtStart === this.#crashCount) {
			this.ledger.push({
				requestId: call.requestId, method: work.method, path: work.path, body,
			});
			await this.#clock.sleep(this.#callMs / 2);
		}

		this.#running--;
		if (this.#callsToSilence > 0) {
			this.#callsToSilence--;
			await waitForAbort(signal);
			return;
		}

		if (crashCountAtStart !== this.#crashCount || this.#responsesToLose > 0) {
			this.#responsesToLose = Math.max(0, this.#responsesToLose - 1);
			yield {kind: 'fault', outcome: 'unknown', detail: 'ECONNRESET'};
			return;
		}

		const answer = new TextEncoder().encode(JSON.stringify({done: true, number: this.ledger.length, path: work.path}));
		yield {
			kind: 'head', attemptId: call.attemptId, status: 200, contentType: 'application/json', incarnation: this.#incarnation, promptTokens: 0, cachedTokens: 0,
		};
		yield {
			kind: 'data', attemptId: call.attemptId, offset: 0, bytes: answer,
		};
		yield {kind: 'end', attemptId: call.attemptId, finish: 'stop'};
	}

	async readReport(): Promise<Result<LoadReport, TargetFailure>> {
		if (this.#isDown) {
			return fail({outcome: 'notSent', detail: 'ECONNREFUSED'});
		}

		return succeed({
			incarnation: this.#incarnation, running: this.#running, queued: 0, queuedTokens: 0, prefillTokensPerMs: 1, tokenGapMs: 0,
			ageMs: 0, leaving: this.#isDraining, cacheSequence: 0, loading: false,
		});
	}

	async readCacheEvents(): Promise<Result<CacheEventBatch, TargetFailure>> {
		return fail({outcome: 'refused', detail: 'a plain service has no prefix cache'});
	}

	async sendOrder(): Promise<Result<OrderReceipt, TargetFailure>> {
		return fail({outcome: 'refused', detail: 'a plain service takes no orders'});
	}

	async close(): Promise<void> {
		// The stand-in holds no connection.
	}
}
