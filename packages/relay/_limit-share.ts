/**
 * The share of one instance in the limit on requests that a target states, which
 * holds for all instances together. Without a central counter, only the instances
 * that rank first for the target send it requests, each at its share of the rate.
 */

/** The place of this instance among those that can send requests to the target. */
export type LimitSharing = Readonly<{
	/** Number of instances. */
	instances: number;
	/** Rank of this instance for the target; 0 is the first. */
	rank: number;
}>;

/** Part of the limit that is used. The rest covers the time in which instances disagree on their ranks. */
const usedShare = 0.9;

/** Lowest rate over all instances, in requests per second: without any request, the end of a limit would not be noticed. */
const minPerSecond = 0.1;

/** Number of instances that share a limit of 0; each further request per second admits one more, as each may hold one request back. */
const minSharers = 2;

/** Time for which an instance may save up requests at its rate, in milliseconds; it may always save up one. */
const burstMs = 200;

/** Time without an answer of the target after which further instances may send it requests, in milliseconds; those that may have no callers. */
const maxSilenceMs = 60_000;

/** Time in which the number of those instances doubles, in milliseconds. */
const doublingMs = 2000;

const msPerSecond = 1000;

export class LimitShare {
	/** Requests that this instance may send now. */
	#tokens = 0;
	#refilledMs = 0;
	/** Whether this instance had a share at the last refill. */
	#hasShare = false;

	/**
	 * Computes the time until this instance may send a request, in milliseconds; `Infinity` if others share the limit.
	 *
	 * @param perSecond requests per second over all instances
	 * @param statedMs time at which the target stated the limit, in milliseconds
	 */
	computeDelayMs(perSecond: number, statedMs: number, sharing: LimitSharing, nowMs: number): number {
		const ratePerMs = this.#refill(perSecond, statedMs, sharing, nowMs);
		if (ratePerMs === 0) {
			return Infinity;
		}

		return this.#tokens >= 1 ? 0 : (1 - this.#tokens) / ratePerMs;
	}

	/** Records that a request is sent. */
	recordSent(): void {
		this.#tokens = Math.max(0, this.#tokens - 1);
	}

	/** Starts anew, as the target states a limit again after it had stated none. */
	reset(): void {
		this.#hasShare = false;
	}

	/** Adds the tokens since the last refill. Returns the rate of this instance per millisecond; 0 if it has no share. */
	#refill(perSecond: number, statedMs: number, {instances, rank}: LimitSharing, nowMs: number): number {
		const silenceMs = Math.max(0, nowMs - statedMs - maxSilenceMs);
		const regularSharers = Math.min(instances, minSharers + Math.floor(perSecond));
		const sharers = Math.min(instances, silenceMs > 0 ? regularSharers * (2 ** Math.ceil(silenceMs / doublingMs)) : regularSharers);
		if (rank >= sharers) {
			this.#hasShare = false;
			return 0;
		}

		const ratePerMs = Math.max(minPerSecond, perSecond * usedShare) / sharers / msPerSecond;
		if (this.#hasShare) {
			this.#tokens = Math.min(Math.max(1, ratePerMs * burstMs), this.#tokens + ((nowMs - this.#refilledMs) * ratePerMs));
		} else {
			// The first requests of the instances are spread over the time in which each earns one.
			this.#tokens = rank >= regularSharers ? 1 : (sharers - 1 - rank) / sharers;
			this.#hasShare = true;
		}

		this.#refilledMs = nowMs;
		return ratePerMs;
	}
}
