/**
 * The limit on requests that one target states in its answers, which holds for
 * all instances together. Without a central counter, only the instances that rank
 * first for the target send it requests, each at its share of the rate. Instances
 * tell each other of limits, as those that send nothing would not hear of a
 * change.
 */

/** What is known of a limit, as instances tell it each other. */
export type StatedLimit = Readonly<{
	/** Requests per second over all instances; absent if the target has stopped stating a limit. */
	perSecond?: number | undefined;
	/** Time since the target stated this, in milliseconds. */
	ageMs: number;
}>;

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

/** Time for which a change is told to the peers, in milliseconds, and for which an answer of the target counts as new. */
const announceChangeMs = 3000;
const announceHeardMs = 1500;

/** Interval at which an unchanged limit that this instance knows from a peer is passed on, in milliseconds. */
const announceIntervalMs = 10_000;

/** Age at which two reports are taken for the same statement, in milliseconds. */
const sameStatementMs = 5;

const msPerSecond = 1000;

export class RequestLimit {
	/** Requests per second over all instances; `undefined` if none is stated. */
	#perSecond: number | undefined;
	/** Time at which the target stated it, in milliseconds. */
	#statedMs = Number.NEGATIVE_INFINITY;
	/** Time at which this instance itself last heard of it, in milliseconds. */
	#heardMs = Number.NEGATIVE_INFINITY;
	#changedMs = Number.NEGATIVE_INFINITY;
	#announcedMs = Number.NEGATIVE_INFINITY;
	/** Requests that this instance may send now. */
	#tokens = 0;
	#refilledMs = 0;
	/** Whether this instance had a share at the last refill. */
	#hasShare = false;

	/** Requests per second over all instances; `undefined` if the target states no limit. */
	get perSecond(): number | undefined {
		return this.#perSecond;
	}

	/**
	 * Records what an answer states.
	 *
	 * @param perSecond requests per second over all instances; `undefined` if the answer states no limit
	 * @param sentMs time at which the request was sent; an answer to a request that was sent before the limit was stated does not end it
	 */
	recordAnswer(perSecond: number | undefined, sentMs: number, nowMs: number): void {
		if (perSecond === undefined && (this.#perSecond === undefined || sentMs < this.#statedMs)) {
			return;
		}

		this.#heardMs = nowMs;
		this.#set(perSecond, nowMs, nowMs);
	}

	/** Merges what a peer knows, if that is newer. */
	merge({perSecond, ageMs}: StatedLimit, nowMs: number): void {
		const statedMs = nowMs - ageMs;
		if (statedMs > this.#statedMs + sameStatementMs) {
			this.#set(perSecond, statedMs, nowMs);
		}
	}

	/** Returns what the peers should be told now, if anything. */
	announce(nowMs: number): StatedLimit | undefined {
		const isNew = nowMs - this.#changedMs < announceChangeMs || (this.#perSecond !== undefined && nowMs - this.#heardMs < announceHeardMs);
		const isDue = this.#perSecond !== undefined && nowMs - this.#announcedMs >= announceIntervalMs;
		if (!isNew && !isDue) {
			return undefined;
		}

		this.#announcedMs = nowMs;
		return {perSecond: this.#perSecond, ageMs: Math.max(0, nowMs - this.#statedMs)};
	}

	/** Computes the time until this instance may send a request, in milliseconds; `Infinity` if others share the limit. */
	computeDelayMs(sharing: () => LimitSharing, nowMs: number): number {
		if (this.#perSecond === undefined) {
			return 0;
		}

		const ratePerMs = this.#refill(this.#perSecond, sharing(), nowMs);
		if (ratePerMs === 0) {
			return Infinity;
		}

		return this.#tokens >= 1 ? 0 : (1 - this.#tokens) / ratePerMs;
	}

	/** Records that a request is sent. */
	recordSent(): void {
		this.#tokens = Math.max(0, this.#tokens - 1);
	}

	#set(perSecond: number | undefined, statedMs: number, nowMs: number): void {
		this.#statedMs = statedMs;
		if (perSecond !== this.#perSecond) {
			this.#hasShare &&= this.#perSecond !== undefined;
			this.#perSecond = perSecond;
			this.#changedMs = nowMs;
		}
	}

	/** Adds the tokens since the last refill. Returns the rate of this instance per millisecond; 0 if it has no share. */
	#refill(perSecond: number, {instances, rank}: LimitSharing, nowMs: number): number {
		const silenceMs = Math.max(0, nowMs - this.#statedMs - maxSilenceMs);
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
