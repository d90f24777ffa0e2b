/** Exponential backoff with jitter and an upper limit. */
import type {Random} from '#core';

/** Computes the successive delays between attempts. */
export class Backoff {
	readonly #random: Random;
	readonly #maxMs: number;
	#nextMs: number;

	constructor(random: Random, firstMs: number, maxMs: number) {
		this.#random = random;
		this.#nextMs = firstMs;
		this.#maxMs = maxMs;
	}

	/**
	 * Computes the next delay, in milliseconds. The delay lies between half the
	 * current step and the whole step. Each call doubles the step up to the limit.
	 */
	computeNextDelayMs(): number {
		const stepMs = this.#nextMs;
		this.#nextMs = Math.min(this.#maxMs, stepMs * 2);
		return stepMs * (0.5 + (this.#random.next() / 2));
	}
}
