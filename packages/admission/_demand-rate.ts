/** The demand of a customer at one instance: an exponentially weighted rate that is unbiased from the first request on. */

/** Time constant of the average, in milliseconds: long enough that a single large request changes the shares little. */
const timeConstantMs = 15_000;

/** Age that a younger average counts as, in milliseconds. */
const minAgeMs = 3000;

const msPerSecond = 1000;

export class DemandRate {
	#sum = 0;
	#startMs: number | undefined;
	#updatedMs = 0;

	/** Records the cost of a request, whether or not it was admitted. */
	record(cost: number, nowMs: number): void {
		this.#startMs ??= nowMs;
		this.#decay(nowMs);
		this.#sum += cost;
	}

	/** Computes the demand in units per second. */
	compute(nowMs: number): number {
		if (this.#startMs === undefined) {
			return 0;
		}

		this.#decay(nowMs);
		const ageMs = Math.max(minAgeMs, nowMs - this.#startMs);
		return this.#sum * msPerSecond / (timeConstantMs * (1 - Math.exp(-ageMs / timeConstantMs)));
	}

	/** Forgets all requests. */
	reset(): void {
		this.#sum = 0;
		this.#startMs = undefined;
	}

	#decay(nowMs: number): void {
		this.#sum *= Math.exp((this.#updatedMs - nowMs) / timeConstantMs);
		this.#updatedMs = nowMs;
	}
}
