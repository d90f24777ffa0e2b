/** The number of instances among which limits of the whole fleet are divided. */
import type {Clock} from '#clock';

const fallDelayMs = 300_000;

/**
 * Tracks the number of live instances. A rise applies at once, a fall only after
 * five minutes. An instance that has lost contact with its peers or has just
 * started therefore does not claim the limits of the whole fleet for itself.
 */
export class InstanceCount {
	readonly #clock: Clock;
	readonly #countLive: () => number;
	#count: number;
	/** Time at which at least `#count` instances were last live. */
	#lastReachedMs: number;

	/**
	 * @param countLive counts the instances believed to be live, including this one
	 * @param initialCount number assumed until more are live, or until five minutes have passed
	 */
	constructor(clock: Clock, countLive: () => number, initialCount: number) {
		this.#clock = clock;
		this.#countLive = countLive;
		this.#count = initialCount;
		this.#lastReachedMs = clock.now();
	}

	getCount(): number {
		const live = Math.max(1, this.#countLive());
		const now = this.#clock.now();
		if (live >= this.#count || now - this.#lastReachedMs > fallDelayMs) {
			this.#count = live;
			this.#lastReachedMs = now;
		}

		return this.#count;
	}
}
