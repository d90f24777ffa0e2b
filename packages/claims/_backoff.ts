/** Waits that double up to a limit, with jitter. */
import type {Random} from '#core';

/** Successive waits between attempts. */
export class Backoff {
	readonly #random: Random;
	readonly #maxMs: number;
	#nextMs: number;

	constructor(random: Random, firstMs: number, maxMs: number) {
		this.#random = random;
		this.#nextMs = firstMs;
		this.#maxMs = maxMs;
	}

	/** The next wait, between half and the whole of its step, in milliseconds. */
	take(): number {
		const step = this.#nextMs;
		this.#nextMs = Math.min(this.#maxMs, step * 2);
		return step * (0.5 + (this.#random.next() / 2));
	}
}
