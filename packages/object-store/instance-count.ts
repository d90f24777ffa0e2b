/** The number of instances that limits of the whole fleet are divided by. */
import type {Clock} from '#clock';

const memoryMs = 300_000;

/**
 * Follows the number of live instances: a rise counts at once, a fall only
 * after five minutes. An instance that is cut off from its peers, or has just
 * started, therefore does not take the limits of the whole fleet for its own.
 */
export class InstanceCount {
	readonly #clock: Clock;
	readonly #countLive: () => number;
	#highest: number;
	#seenMs: number;

	/**
	 * @param countLive instances believed to be live, this one included
	 * @param expected what counts at first
	 */
	constructor(clock: Clock, countLive: () => number, expected: number) {
		this.#clock = clock;
		this.#countLive = countLive;
		this.#highest = expected;
		this.#seenMs = clock.now();
	}

	read(): number {
		const live = Math.max(1, this.#countLive());
		const now = this.#clock.now();
		if (live >= this.#highest || now - this.#seenMs > memoryMs) {
			this.#highest = live;
			this.#seenMs = now;
		}

		return this.#highest;
	}
}
