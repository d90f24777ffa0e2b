/**
 * The pace at which one target takes requests after it has started, returned from
 * a crash, ended a rest, refused requests or become slow without stating so. A
 * window bounds the requests that all instances together should have in progress
 * there. It is small after such an event; each answer in time doubles it, as the
 * answer stands for those of the other instances, and each refusal or late answer
 * halves it. When the window reaches the slots, the target is calm and nothing
 * bounds it. The choice of targets only prefers those with room, so a window never
 * causes a refusal.
 */

/**
 * What peers tell each other of a pace: the window, 0 if the target is calm again,
 * and the time since the event that began it, in milliseconds. They are told only
 * of what the target itself shows to all: that it has started, refuses or rests.
 * Failures and late answers may be due to the instance or its links.
 */
export type PaceReport = readonly number[];

/** Window after a start, a failure or a rest: enough to find the pace from answers, whatever the target can take. */
const initialWindow = 2;
const minWindow = 1;

/** An answer is late if it takes this multiple of the expected time, and so many milliseconds beyond it. */
const lateFactor = 3;
const lateMarginMs = 100;

/** Number of late answers in a row, without one in time, after which a calm target counts as slow. */
const lateInRow = 4;

/** Time between two events that may be the same, in milliseconds: instances notice it at different times. */
const sameEventMs = 2000;

/** Time for which peers are told after a change, in milliseconds; work is reported each second in large fleets. */
const announceMs = 3000;

/** Time without any answer or news after which the window doubles, in milliseconds: this instance may have no request for the target. */
const silenceMs = 2000;

/** Bounds of the expected time of a request, in milliseconds. */
const minExpectedMs = 5;
const maxExpectedMs = 1000;

/** Weight of the newest request in the average of the expected times. */
const smoothingFactor = 0.2;

export class TargetPace {
	#window = Infinity;
	/** Time of the event that began the present window, in milliseconds, and whether peers are told of it. */
	#eventMs = Number.NEGATIVE_INFINITY;
	#isShared = false;
	/** Whether the present window follows from late answers only. */
	#isMild = false;
	/** Time of the last reduction: answers to requests that were sent before it say nothing new. */
	#reducedMs = Number.NEGATIVE_INFINITY;
	#changedMs = Number.NEGATIVE_INFINITY;
	#sentMs = Number.NEGATIVE_INFINITY;
	#expectedMs = minExpectedMs;
	/** Lowest ratio of a time to the expected one since the event: expectations may be too short for a target that warms up. */
	#baseRatio = Infinity;
	#lateInRow = 0;

	/** Requests that all instances together should have in progress; `Infinity` while the target is calm. */
	get window(): number {
		return this.#window;
	}

	/** Whether only late answers bound the target: they may be due to load that it shares with the others, and do not outweigh what it has cached. */
	get isMild(): boolean {
		return this.#isMild;
	}

	/**
	 * Starts at a small window, as the target's process has started, does not answer, or has asked for a rest, which ends at `fromMs`.
	 *
	 * @param isShared whether the target itself has shown this
	 */
	begin(fromMs: number, isShared: boolean): void {
		this.#window = initialWindow;
		this.#isShared = isShared;
		this.#isMild = false;
		this.#eventMs = fromMs;
		this.#reducedMs = fromMs;
		this.#changedMs = fromMs;
		this.#baseRatio = Infinity;
		this.#lateInRow = 0;
	}

	/** Records that a request is sent whose answer is expected to start after `expectedMs`. */
	recordSent(expectedMs: number, nowMs: number): void {
		this.#sentMs = nowMs;
		this.#expectedMs += (Math.min(maxExpectedMs, Math.max(minExpectedMs, expectedMs)) - this.#expectedMs) * smoothingFactor;
	}

	/**
	 * Records the time until an answer started.
	 *
	 * @param inProgress requests that the target has in progress, as far as known
	 * @param slots requests that the target runs at once
	 */
	recordAnswer({ms, expectedMs, inProgress, slots}: Readonly<{ms: number; expectedMs: number; inProgress: number; slots: number}>, nowMs: number): void {
		const isNew = nowMs - ms >= this.#reducedMs;
		const ratio = ms / Math.max(minExpectedMs, expectedMs);
		const base = this.#window === Infinity ? 1 : Math.max(1, Math.min(this.#baseRatio, ratio));
		const isLate = ratio > lateFactor * base && ms - expectedMs > lateMarginMs;
		if (!isNew) {
			return;
		}

		this.#baseRatio = Math.min(this.#baseRatio, ratio);
		if (isLate) {
			this.#lateInRow++;
			if (this.#window < Infinity || this.#lateInRow >= lateInRow) {
				this.#isMild ||= this.#window === Infinity;
				this.#reduce(inProgress, slots, nowMs);
				this.#isShared = false;
			}

			return;
		}

		this.#lateInRow = 0;
		if (this.#window < Infinity) {
			this.#setWindow(this.#window * 2, slots, nowMs);
		}
	}

	/** Records that the target has refused a request that was sent at `sentMs`, for want of room. */
	recordRefusal(inProgress: number, slots: number, sentMs: number, nowMs: number): void {
		if (sentMs >= this.#reducedMs) {
			this.#reduce(inProgress, slots, nowMs);
			this.#isShared = true;
			this.#isMild = false;
		}
	}

	/** Merges what a peer knows: a later event replaces the window; of the same event, the windows approach each other. */
	merge([window = 0, ageMs = 0]: PaceReport, slots: number, nowMs: number): void {
		const eventMs = nowMs - ageMs;
		const peerWindow = window === 0 ? slots : Math.max(minWindow, window);
		if (eventMs > this.#eventMs + sameEventMs) {
			this.#eventMs = eventMs;
			this.#isShared = false;
			this.#isMild = false;
			this.#reducedMs = Math.max(this.#reducedMs, eventMs);
			this.#baseRatio = Infinity;
			this.#setWindow(peerWindow, slots, nowMs);
		} else if (eventMs >= this.#eventMs - sameEventMs && this.#window < Infinity) {
			this.#setWindow(Math.sqrt(this.#window * peerWindow), slots, nowMs);
		}
	}

	/** Returns what the peers should be told, if anything. */
	announce(nowMs: number): PaceReport | undefined {
		return this.#isShared && nowMs >= this.#eventMs && nowMs - this.#changedMs < announceMs
			? [this.#window === Infinity ? 0 : Math.round(this.#window), Math.round(nowMs - this.#eventMs)]
			: undefined;
	}

	/**
	 * Computes how many requests this instance may have in progress. While the
	 * window is smaller than the number of instances, each may have one in progress,
	 * but at intervals, so that the window holds over all of them.
	 */
	computeLimit(instances: number, slots: number, nowMs: number): number {
		if (this.#window === Infinity) {
			return Infinity;
		}

		const silentIntervals = Math.floor((nowMs - Math.max(this.#changedMs, this.#sentMs)) / silenceMs);
		const window = this.#window * (2 ** Math.max(0, silentIntervals));
		if (window >= slots) {
			this.#setWindow(window, slots, nowMs);
			return Infinity;
		}

		if (window >= instances) {
			return Math.floor(window / instances);
		}

		return nowMs - this.#sentMs >= this.#expectedMs * instances / window ? 1 : 0;
	}

	#reduce(inProgress: number, slots: number, nowMs: number): void {
		const window = Math.max(minWindow, Math.min(this.#window, inProgress) / 2);
		if (this.#window === Infinity && window >= slots) {
			return;
		}

		this.#window = window;
		this.#eventMs = nowMs;
		this.#reducedMs = nowMs;
		this.#changedMs = nowMs;
		this.#lateInRow = 0;
	}

	#setWindow(window: number, slots: number, nowMs: number): void {
		this.#window = window >= slots ? Infinity : window;
		this.#isMild &&= this.#window < Infinity;
		this.#changedMs = nowMs;
	}
}
