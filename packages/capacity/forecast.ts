/**
 * Forecasts how many requests a pool will have in progress: double exponential
 * smoothing (Holt, 1957) for the way up, and the peak of a window for the way
 * down, so that capacity follows fast upwards and slowly downwards.
 */

/** Options of {@link DemandForecast}. */
export type ForecastOptions = Readonly<{
	/** How far ahead to look, in milliseconds. Default: 5000. */
	horizonMs?: number;
	/** Window whose peak holds capacity up, in milliseconds. Default: 300 000. */
	holdMs?: number;
	/** Weight of a new sample in the level. Default: 0.5. */
	levelWeight?: number;
	/** Weight of a new slope in the trend. Default: 0.3. */
	trendWeight?: number;
}>;

type Peak = {startMs: number; value: number};

const peakBuckets = 20;

/** Tracks one pool's demand. */
export class DemandForecast {
	readonly #horizonMs: number;
	readonly #bucketMs: number;
	readonly #levelWeight: number;
	readonly #trendWeight: number;
	#level: number | undefined;
	/** Requests per millisecond. */
	#trend = 0;
	#sampledMs = 0;
	#peaks: Peak[] = [];

	constructor(options: ForecastOptions = {}) {
		this.#horizonMs = options.horizonMs ?? 5000;
		this.#bucketMs = (options.holdMs ?? 300_000) / peakBuckets;
		this.#levelWeight = options.levelWeight ?? 0.5;
		this.#trendWeight = options.trendWeight ?? 0.3;
	}

	/** Takes in the number of requests that are in progress or waiting. */
	add(nowMs: number, requests: number): void {
		this.#smooth(nowMs, requests);
		this.hold(nowMs, requests);
	}

	/** Holds capacity up for the window, without taking the number for a trend. */
	hold(nowMs: number, requests: number): void {
		const last = this.#peaks.at(-1);
		if (last && nowMs - last.startMs < this.#bucketMs) {
			last.value = Math.max(last.value, requests);
		} else {
			this.#peaks.push({startMs: nowMs, value: requests});
		}

		this.#peaks = this.#peaks.filter(peak => nowMs - peak.startMs <= this.#bucketMs * peakBuckets);
	}

	/** Requests to be ready for: the greater of the forecast and the window's peak. */
	estimate(): number {
		const ahead = (this.#level ?? 0) + (Math.max(0, this.#trend) * this.#horizonMs);
		return Math.max(ahead, ...this.#peaks.map(peak => peak.value), 0);
	}

	#smooth(nowMs: number, requests: number): void {
		if (this.#level === undefined) {
			this.#level = requests;
			this.#sampledMs = nowMs;
			return;
		}

		const elapsedMs = nowMs - this.#sampledMs;
		if (elapsedMs <= 0) {
			return;
		}

		const before = this.#level;
		const expected = before + (this.#trend * elapsedMs);
		this.#level = expected + (this.#levelWeight * (requests - expected));
		const slope = (this.#level - before) / elapsedMs;
		this.#trend += this.#trendWeight * (slope - this.#trend);
		this.#sampledMs = nowMs;
	}
}
