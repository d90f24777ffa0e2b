/**
 * Refuses requests that this instance cannot start in time, as its processor is
 * overloaded. Requests then wait in the sockets before they are read, so no queue
 * shows it; the delay of the event loop does. The more the delay exceeds what a
 * request can wait, the larger is the part of the requests that is refused, as in
 * admission control by queueing delay (Nichols and Jacobson, "Controlling Queue
 * Delay", 2012). A refusal costs a small part of the work of an answer, and the
 * caller can turn to another instance while there is time.
 */
import type {Cancel, Clock} from '#clock';
import type {Random} from '#core';

export type OverloadGuardDependencies = Readonly<{clock: Clock; random: Random}>;

/** Interval at which the delay of the event loop is measured, in milliseconds. */
const measureIntervalMs = 100;

/** Time without a request after which the delay is not measured any more, in milliseconds. */
const maxIdleMs = 10_000;

/** Delay that is no sign of an overload, in milliseconds: a process that has used up its share of a core runs again in the next 100 ms. */
const minDelayMs = 250;

/** Time in which the estimate of the delay halves if the loop is on time again, in milliseconds. */
const halfLifeMs = 200;

/** Bounds of the time after which a refused caller should retry, in milliseconds. */
const minRetryAfterMs = 200;
const maxRetryAfterMs = 2000;

export class OverloadGuard {
	readonly #dependencies: OverloadGuardDependencies;
	#cancel: Cancel | undefined;
	#tickMs = 0;
	#lastRequestMs = 0;
	/** Largest delay that was measured lately, in milliseconds. */
	#delayMs = 0;

	constructor(dependencies: OverloadGuardDependencies) {
		this.#dependencies = dependencies;
		// The first requests come while a starting process is busiest.
		this.#startMeasuring();
	}

	/** Estimates the time for which input waits until it is read, in milliseconds. */
	estimateDelayMs(): number {
		return this.#cancel ? Math.max(this.#delayMs, this.#computeLatenessMs()) : 0;
	}

	/**
	 * Decides about a request that has just been read.
	 *
	 * @param promisedMs time within which the caller should get an answer
	 * @returns the time after which the caller should retry, in milliseconds, if the request should be refused
	 */
	admit(promisedMs: number): number | undefined {
		const {clock, random} = this.#dependencies;
		this.#lastRequestMs = clock.now();
		this.#startMeasuring();
		const delayMs = this.estimateDelayMs();
		const tolerableMs = Math.max(minDelayMs, promisedMs);
		if (random.next() * delayMs <= tolerableMs) {
			return undefined;
		}

		// The delay says how far this instance is behind; a random factor spreads the retries of several callers.
		return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, delayMs)) * (0.75 + (random.next() / 2));
	}

	#startMeasuring(): void {
		if (this.#cancel) {
			return;
		}

		this.#tickMs = this.#dependencies.clock.now();
		this.#lastRequestMs = this.#tickMs;
		this.#delayMs = 0;
		this.#cancel = this.#dependencies.clock.subscribe(measureIntervalMs, () => {
			this.#measure();
		});
	}

	#measure(): void {
		const nowMs = this.#dependencies.clock.now();
		const decayed = this.#delayMs * (0.5 ** ((nowMs - this.#tickMs) / halfLifeMs));
		this.#delayMs = Math.max(decayed, this.#computeLatenessMs());
		this.#tickMs = nowMs;
		if (nowMs - this.#lastRequestMs > maxIdleMs) {
			this.#cancel?.();
			this.#cancel = undefined;
		}
	}

	/** Computes the time by which the next measurement is late already, in milliseconds. */
	#computeLatenessMs(): number {
		return Math.max(0, this.#dependencies.clock.now() - this.#tickMs - measureIntervalMs);
	}
}
