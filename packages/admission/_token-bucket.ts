/** A token bucket whose rate and burst may change from call to call. */
import type {Clock} from '#clock';

export class TokenBucket {
	readonly #clock: Clock;
	#tokens: number | undefined;
	#refilledMs = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	 * Takes a token.
	 *
	 * @param rate tokens per second
	 * @param burst capacity of the bucket; values below 1 count as 1
	 * @returns 0 if a token was taken, else the time until one is available, in milliseconds; `Infinity` at rate 0
	 */
	take(rate: number, burst: number): number {
		const now = this.#clock.now();
		const capacity = Math.max(1, burst);
		const refilled = this.#tokens === undefined ? capacity : this.#tokens + ((now - this.#refilledMs) * rate / 1000);
		this.#refilledMs = now;
		this.#tokens = Math.min(capacity, refilled);
		if (this.#tokens >= 1) {
			this.#tokens--;
			return 0;
		}

		return rate > 0 ? Math.ceil((1 - this.#tokens) * 1000 / rate) : Infinity;
	}
}
