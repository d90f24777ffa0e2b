/** The part of a customer's limit that one instance uses: a token bucket whose level may become negative. */

const msPerSecond = 1000;

export class LimitBucket {
	#level: number;
	#updatedMs: number;

	constructor(level: number, nowMs: number) {
		this.#level = level;
		this.#updatedMs = nowMs;
	}

	/**
	 * Fills the bucket for the time since the last call. A smaller depth takes away what is above it.
	 *
	 * @returns the level in units
	 */
	refill(perSecond: number, depth: number, nowMs: number): number {
		this.#level = Math.min(depth, this.#level + ((nowMs - this.#updatedMs) * perSecond / msPerSecond));
		this.#updatedMs = nowMs;
		return this.#level;
	}

	/** Adds units that others leave unused since the last {@link LimitBucket.refill}, as long as the level is negative. */
	repay(perSecond: number, nowMs: number): void {
		if (this.#level < 0) {
			this.#level = Math.min(0, this.#level + ((nowMs - this.#updatedMs) * perSecond / msPerSecond));
		}
	}

	take(cost: number): void {
		this.#level -= cost;
	}

	/** Returns the cost of a request that has not run. */
	refund(cost: number): void {
		this.#level += cost;
	}
}
