/**
 * A circuit breaker (Nygard, "Release It!"): after failures in a row it holds
 * calls back for a while, then lets one through to see whether the rest may
 * follow.
 */
import type {Clock} from '#clock';
import type {Random} from '#core';

const failuresToOpen = 5;
const firstOpenMs = 500;
const maxOpenMs = 3000;
const probeMs = 200;

/** Whether a call may be made now, and if not, when the next one may, in milliseconds. */
export type Passage = Readonly<{isOpen: false}> | Readonly<{isOpen: true; retryAfterMs: number}>;

/** The breaker of one platform. */
export class Breaker {
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #onChange: (isOpen: boolean) => void;
	#failures = 0;
	#isOpen = false;
	#isProbing = false;
	#openMs = firstOpenMs;
	#untilMs = 0;

	/** @param onChange called when the breaker opens from closed, and when it closes */
	constructor(clock: Clock, random: Random, onChange: (isOpen: boolean) => void) {
		this.#clock = clock;
		this.#random = random;
		this.#onChange = onChange;
	}

	/** Whether a call could be made now. */
	check(): Passage {
		if (!this.#isOpen) {
			return {isOpen: false};
		}

		const remainingMs = this.#untilMs - this.#clock.now();
		if (remainingMs > 0) {
			return {isOpen: true, retryAfterMs: remainingMs};
		}

		return this.#isProbing ? {isOpen: true, retryAfterMs: probeMs} : {isOpen: false};
	}

	/** Asks to make a call; each that may be made ends with {@link succeed} or {@link fail}. */
	enter(): Passage {
		const passage = this.check();
		this.#isProbing ||= this.#isOpen && !passage.isOpen;
		return passage;
	}

	succeed(): void {
		this.#failures = 0;
		this.#isProbing = false;
		if (this.#isOpen) {
			this.#isOpen = false;
			this.#openMs = firstOpenMs;
			this.#onChange(false);
		}
	}

	fail(): void {
		this.#failures++;
		if (this.#isOpen && !this.#isProbing) {
			return;
		}

		if (this.#isOpen) {
			this.#isProbing = false;
			this.#openMs = Math.min(maxOpenMs, this.#openMs * 2);
			this.#hold();
			return;
		}

		if (this.#failures >= failuresToOpen) {
			this.#isOpen = true;
			this.#hold();
			this.#onChange(true);
		}
	}

	#hold(): void {
		this.#untilMs = this.#clock.now() + (this.#openMs * (0.75 + (this.#random.next() / 4)));
	}
}
