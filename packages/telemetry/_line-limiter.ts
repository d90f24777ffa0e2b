/**
 * Bounds the volume of log lines: a token bucket for each kind of line, and
 * none at all while the reader of the log does not keep up. What is left out
 * is counted and told later.
 */

/** Lines of one kind in a second that are written on and on. */
const linesPerSecond = 40;

/** Lines of one kind that may come at once. */
const burstLines = 200;

/** Bytes that may wait for the log's reader before lines are dropped. */
const maxWaitingBytes = 262_144;

/** Least time between two tellings of what was left out, in milliseconds. */
const tellMs = 1000;

type Bucket = {tokens: number; filledMs: number; dropped: number};

/** How many lines of each kind were left out. */
export type DroppedLines = Readonly<Record<string, number>>;

/** Decides line by line. */
export class LineLimiter {
	readonly #countWaiting: () => number;
	readonly #buckets = new Map<string, Bucket>();
	#toldMs = 0;

	/** @param countWaiting bytes that wait for the log's reader */
	constructor(countWaiting: () => number) {
		this.#countWaiting = countWaiting;
	}

	/** Whether a line of this kind is written. */
	admit(kind: string, nowMs: number): boolean {
		let bucket = this.#buckets.get(kind);
		if (!bucket) {
			bucket = {tokens: burstLines, filledMs: nowMs, dropped: 0};
			this.#buckets.set(kind, bucket);
		}

		bucket.tokens = Math.min(burstLines, bucket.tokens + ((nowMs - bucket.filledMs) * linesPerSecond / 1000));
		bucket.filledMs = nowMs;
		if (bucket.tokens < 1 || this.#countWaiting() > maxWaitingBytes) {
			bucket.dropped++;
			return false;
		}

		bucket.tokens--;
		return true;
	}

	/** What was left out since the last call; nothing where that is nothing, or the last call was lately. */
	takeDropped(nowMs: number): DroppedLines | undefined {
		if (nowMs - this.#toldMs < tellMs || this.#countWaiting() > maxWaitingBytes) {
			return undefined;
		}

		const dropped = [...this.#buckets].filter(([, bucket]) => bucket.dropped > 0);
		if (dropped.length === 0) {
			return undefined;
		}

		this.#toldMs = nowMs;
		const counts = Object.fromEntries(dropped.map(([kind, bucket]) => [kind, bucket.dropped]));
		for (const [, bucket] of dropped) {
			bucket.dropped = 0;
		}

		return counts;
	}
}
