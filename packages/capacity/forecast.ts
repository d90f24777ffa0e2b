/**
 * Forecast of the number of requests that a pool will have in progress. Double
 * exponential smoothing (Holt, 1957) predicts rising demand. The peak of a time
 * window is a lower bound when demand falls. Capacity therefore grows fast and
 * shrinks slowly.
 */

/** Options of {@link DemandForecast}. */
export type ForecastOptions = Readonly<{
	/** How far ahead the trend is projected, in milliseconds. Default: 5000. */
	horizonMs?: number;
	/** Length of the window whose peak is the lower bound of the forecast, in milliseconds. Default: 300 000. */
	peakWindowMs?: number;
	/** Weight of a new sample in the level. Default: 0.5. */
	levelWeight?: number;
	/** Weight of a new slope in the trend. Default: 0.3. */
	trendWeight?: number;
}>;

type PeakBucket = {startMs: number; value: number};

const peakBucketCount = 20;

/** Forecasts one pool's demand from its samples. */
export class DemandForecast {
	readonly #horizonMs: number;
	readonly #bucketMs: number;
	readonly #levelWeight: number;
	readonly #trendWeight: number;
	#level: number | undefined;
	/** Smoothed change of the level, in requests per millisecond. */
	#trendPerMs = 0;
	#lastSampleMs = 0;
	#peaks: PeakBucket[] = [];

	constructor(options: ForecastOptions = {}) {
		this.#horizonMs = options.horizonMs ?? 5000;
		this.#bucketMs = (options.peakWindowMs ?? 300_000) / peakBucketCount;
		this.#levelWeight = options.levelWeight ?? 0.5;
		this.#trendWeight = options.trendWeight ?? 0.3;
	}

	/** Records a sample of the demand: the number of requests that are in progress or waiting. */
	record(nowMs: number, requests: number): void {
		this.#smooth(nowMs, requests);
		this.recordPeak(nowMs, requests);
	}

	/** Records a demand for the peak window only; the level and the trend do not change. */
	recordPeak(nowMs: number, requests: number): void {
		const last = this.#peaks.at(-1);
		if (last && nowMs - last.startMs < this.#bucketMs) {
			last.value = Math.max(last.value, requests);
		} else {
			this.#peaks.push({startMs: nowMs, value: requests});
		}

		this.#peaks = this.#peaks.filter(peak => nowMs - peak.startMs <= this.#bucketMs * peakBucketCount);
	}

	/** Estimates the number of requests to provide capacity for: the maximum of the projected demand and the window's peak. */
	estimate(): number {
		const projected = (this.#level ?? 0) + (Math.max(0, this.#trendPerMs) * this.#horizonMs);
		return Math.max(projected, ...this.#peaks.map(peak => peak.value), 0);
	}

	#smooth(nowMs: number, requests: number): void {
		if (this.#level === undefined) {
			this.#level = requests;
			this.#lastSampleMs = nowMs;
			return;
		}

		const elapsedMs = nowMs - this.#lastSampleMs;
		if (elapsedMs <= 0) {
			return;
		}

		const previousLevel = this.#level;
		const expected = previousLevel + (this.#trendPerMs * elapsedMs);
		this.#level = expected + (this.#levelWeight * (requests - expected));
		const slope = (this.#level - previousLevel) / elapsedMs;
		this.#trendPerMs += this.#trendWeight * (slope - this.#trendPerMs);
		this.#lastSampleMs = nowMs;
	}
}
