/**
 * Limits the volume of log lines with one token bucket for each kind of line
 * (lines with the same message), and drops all lines while the log's consumer
 * does not keep up. Dropped lines are counted and reported later.
 */

/** Sustained rate limit for lines of one kind. */
const maxLinesPerSecond = 40;

/** Size of a burst of lines of one kind: the capacity of its token bucket. */
const maxBurstLines = 200;

/** Bytes buffered for the log's consumer above which all lines are dropped. */
const maxBufferedBytes = 262_144;

/** Minimum time between two reports of dropped lines. */
const reportIntervalMs = 1000;

type Bucket = {tokens: number; refilledMs: number; dropped: number};

/** Number of dropped lines by kind. */
export type DroppedLines = Readonly<Record<string, number>>;

/** Decides for each log line whether it is written, and counts the dropped ones. */
export class LineLimiter {
	readonly #countBufferedBytes: () => number;
	readonly #buckets = new Map<string, Bucket>();
	#lastReportMs = 0;

	/** @param countBufferedBytes returns the number of bytes buffered for the log's consumer */
	constructor(countBufferedBytes: () => number) {
		this.#countBufferedBytes = countBufferedBytes;
	}

	/** Returns whether a line of this kind may be written, and counts it as dropped if not. */
	admit(kind: string, nowMs: number): boolean {
		let bucket = this.#buckets.get(kind);
		if (!bucket) {
			bucket = {tokens: maxBurstLines, refilledMs: nowMs, dropped: 0};
			this.#buckets.set(kind, bucket);
		}

		bucket.tokens = Math.min(maxBurstLines, bucket.tokens + ((nowMs - bucket.refilledMs) * maxLinesPerSecond / 1000));
		bucket.refilledMs = nowMs;
		if (bucket.tokens < 1 || this.#countBufferedBytes() > maxBufferedBytes) {
			bucket.dropped++;
			return false;
		}

		bucket.tokens--;
		return true;
	}

	/**
	 * Returns the counts of dropped lines for a report, and resets them.
	 *
	 * @returns `undefined` if no line was dropped, if the last report is less than `reportIntervalMs` old, or while the log's consumer does not keep up
	 */
	takeDropped(nowMs: number): DroppedLines | undefined {
		if (nowMs - this.#lastReportMs < reportIntervalMs || this.#countBufferedBytes() > maxBufferedBytes) {
			return undefined;
		}

		const dropped = [...this.#buckets].filter(([, bucket]) => bucket.dropped > 0);
		if (dropped.length === 0) {
			return undefined;
		}

		this.#lastReportMs = nowMs;
		const counts = Object.fromEntries(dropped.map(([kind, bucket]) => [kind, bucket.dropped]));
		for (const [, bucket] of dropped) {
			bucket.dropped = 0;
		}

		return counts;
	}
}
