/** A token bucket whose rate and burst may change at any time. */
import type {Clock} from '#clock';

/** Grants requests at a rate. */
export class TokenBucket {
	readonly #clock: Clock;
	#tokens: number | undefined;
	#filledMs = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	 * Takes a token.
	 *
	 * @param rate tokens per second
	 * @param burst most tokens kept; at least one is
	 * @returns 0, or the time until there is a token, in milliseconds
	 */
	take(rate: number, burst: number): number {
		const now = this.#clock.now();
		const most = Math.max(1, burst);
		const filled = this.#tokens === undefined ? most : this.#tokens + ((now - this.#filledMs) * rate / 1000);
		this.#filledMs = now;
		this.#tokens = Math.min(most, filled);
		if (this.#tokens >= 1) {
			this.#tokens--;
			return 0;
		}

		return rate > 0 ? Math.ceil((1 - this.#tokens) * 1000 / rate) : Infinity;
	}
}
