/**
 * A circuit breaker (Nygard, "Release It!"). After several consecutive failures
 * it opens and refuses calls for a while. It then permits one call as a probe:
 * the breaker closes if the probe succeeds, and stays open for longer if it fails.
 */
import type {Clock} from '#clock';
import type {Random} from '#core';

const failuresToOpen = 5;
const initialOpenMs = 500;
const maxOpenMs = 3000;
/** Delay to state to callers that are refused while a probe is in progress. */
const probeRetryMs = 200;

/** Whether a call may be made now. `retryAfterMs` is the delay before the next call may be permitted. */
export type CallPermission = Readonly<{isRefused: false}> | Readonly<{isRefused: true; retryAfterMs: number}>;

/** The circuit breaker for calls to the platform. */
export class Breaker {
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #onChange: (isOpen: boolean) => void;
	#failures = 0;
	#isOpen = false;
	#isProbing = false;
	#openMs = initialOpenMs;
	#nextProbeMs = 0;

	/** @param onChange called when the breaker opens and when it closes, but not when a failed probe keeps it open */
	constructor(clock: Clock, random: Random, onChange: (isOpen: boolean) => void) {
		this.#clock = clock;
		this.#random = random;
		this.#onChange = onChange;
	}

	/** Returns whether a call would be permitted now, without starting a probe. */
	getPermission(): CallPermission {
		if (!this.#isOpen) {
			return {isRefused: false};
		}

		const remainingMs = this.#nextProbeMs - this.#clock.now();
		if (remainingMs > 0) {
			return {isRefused: true, retryAfterMs: remainingMs};
		}

		return this.#isProbing ? {isRefused: true, retryAfterMs: probeRetryMs} : {isRefused: false};
	}

	/**
	 * Acquires permission for a call. The caller must report the result of each
	 * permitted call with {@link recordSuccess} or {@link recordFailure}.
	 */
	acquirePermission(): CallPermission {
		const permission = this.getPermission();
		this.#isProbing ||= this.#isOpen && !permission.isRefused;
		return permission;
	}

	recordSuccess(): void {
		this.#failures = 0;
		this.#isProbing = false;
		if (this.#isOpen) {
			this.#isOpen = false;
			this.#openMs = initialOpenMs;
			this.#onChange(false);
		}
	}

	recordFailure(): void {
		this.#failures++;
		// The call was sent before the breaker opened, or is a watch, which is never the probe.
		if (this.#isOpen && !this.#isProbing) {
			return;
		}

		if (this.#isOpen) {
			this.#isProbing = false;
			this.#openMs = Math.min(maxOpenMs, this.#openMs * 2);
			this.#scheduleProbe();
			return;
		}

		if (this.#failures >= failuresToOpen) {
			this.#isOpen = true;
			this.#scheduleProbe();
			this.#onChange(true);
		}
	}

	#scheduleProbe(): void {
		// Waits between 75 % and 100 % of `#openMs`, at random, so that instances do not all probe at once.
		this.#nextProbeMs = this.#clock.now() + (this.#openMs * (0.75 + (this.#random.next() / 4)));
	}
}
