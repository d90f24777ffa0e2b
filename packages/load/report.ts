/** Aggregates the outcomes of a load run into counts and latency histograms. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {LoadRequest} from './workload.ts';

/** The outcome of one request. */
export type LoadOutcome = Readonly<{
	/** `answered` for a complete response, otherwise the code of the refusal or error. */
	result: string;
	/** Monotonic time of the first token, in milliseconds; absent if no token was received. */
	firstTokenAtMs?: number;
	/** Monotonic time at which the request ended, in milliseconds. */
	endAtMs: number;
	cachedTokens: number;
	promptTokens: number;
	/** Name of the target that answered. */
	target?: string;
}>;

/** Number of recorded durations, and their quantiles in milliseconds. */
export type Quantiles = Readonly<{count: number; p50: number; p90: number; p99: number; max: number}>;

/** Statistics of a whole run or of one customer. */
export type LoadStatistics = Readonly<{
	sent: number;
	answered: number;
	/** Requests answered completely, with the first token within the promised time. */
	inTime: number;
	/** Fraction of the prompt tokens that targets had cached. */
	hitRate: number;
	/** Time to the first token, measured from the scheduled arrival, so that a sender that falls behind does not hide delays. */
	firstTokenMs: Quantiles;
	/** Time to the end of the response, measured from the scheduled arrival. */
	answerMs: Quantiles;
	/** Number of requests by result other than `answered`. */
	failures: Readonly<Record<string, number>>;
}>;

/** The report of a run. */
export type LoadReport = Readonly<{
	seconds: number;
	requestsPerSecond: number;
	total: LoadStatistics;
	customers: Readonly<Record<string, LoadStatistics>>;
	/** Number of answered requests by target. */
	targets: Readonly<Record<string, number>>;
}>;

const microsPerMs = 1000;
/** Maximum duration in the histograms, 10 minutes. Longer durations are recorded as this value. */
const maxRecordedMicros = 600_000_000;

/** Accumulates the statistics of a run or of one customer. */
class StatisticsAccumulator {
	sent = 0;
	answered = 0;
	inTime = 0;
	cachedTokens = 0;
	promptTokens = 0;
	readonly firstTokenHistogram = createHistogram();
	readonly answerHistogram = createHistogram();
	readonly failures = new Map<string, number>();

	createStatistics(): LoadStatistics {
		return {
			sent: this.sent, answered: this.answered, inTime: this.inTime,
			hitRate: this.promptTokens === 0 ? 0 : this.cachedTokens / this.promptTokens,
			firstTokenMs: computeQuantiles(this.firstTokenHistogram), answerMs: computeQuantiles(this.answerHistogram),
			failures: Object.fromEntries(this.failures),
		};
	}
}

/** Records outcomes by customer and target. */
export class LoadRecorder {
	readonly #promisedMs: number;
	readonly #total = new StatisticsAccumulator();
	readonly #customers = new Map<string, StatisticsAccumulator>();
	readonly #targets = new Map<string, number>();

	/** @param promisedMs promised time to the first token, in milliseconds */
	constructor(promisedMs: number) {
		this.#promisedMs = promisedMs;
	}

	get sent(): number {
		return this.#total.sent;
	}

	get answered(): number {
		return this.#total.answered;
	}

	recordSent(request: LoadRequest): void {
		for (const accumulator of this.#listAccumulators(request)) {
			accumulator.sent++;
		}
	}

	/** @param startMs monotonic time at which the run started, in milliseconds */
	recordOutcome(request: LoadRequest, outcome: LoadOutcome, startMs: number): void {
		if (outcome.target !== undefined && outcome.result === 'answered') {
			this.#targets.set(outcome.target, (this.#targets.get(outcome.target) ?? 0) + 1);
		}

		for (const accumulator of this.#listAccumulators(request)) {
			this.#addOutcome(accumulator, outcome, startMs + request.arrivalMs);
		}
	}

	createReport(seconds: number): LoadReport {
		return {
			seconds, requestsPerSecond: this.#total.sent / seconds, total: this.#total.createStatistics(),
			customers: Object.fromEntries([...this.#customers].map(([name, accumulator]) => [name, accumulator.createStatistics()])),
			targets: Object.fromEntries([...this.#targets].toSorted(([a], [b]) => a < b ? -1 : 1)),
		};
	}

	#addOutcome(accumulator: StatisticsAccumulator, outcome: LoadOutcome, scheduledMs: number): void {
		accumulator.cachedTokens += outcome.cachedTokens;
		accumulator.promptTokens += outcome.promptTokens;
		if (outcome.firstTokenAtMs !== undefined) {
			recordDuration(accumulator.firstTokenHistogram, outcome.firstTokenAtMs - scheduledMs);
		}

		if (outcome.result !== 'answered') {
			accumulator.failures.set(outcome.result, (accumulator.failures.get(outcome.result) ?? 0) + 1);
			return;
		}

		accumulator.answered++;
		recordDuration(accumulator.answerHistogram, outcome.endAtMs - scheduledMs);
		if ((outcome.firstTokenAtMs ?? outcome.endAtMs) - scheduledMs <= this.#promisedMs) {
			accumulator.inTime++;
		}
	}

	#listAccumulators({customer}: LoadRequest): readonly StatisticsAccumulator[] {
		let customerAccumulator = this.#customers.get(customer.name);
		if (!customerAccumulator) {
			customerAccumulator = new StatisticsAccumulator();
			this.#customers.set(customer.name, customerAccumulator);
		}

		return [this.#total, customerAccumulator];
	}
}

function createHistogram(): Histogram {
	return build({lowestDiscernibleValue: 1, highestTrackableValue: maxRecordedMicros, numberOfSignificantValueDigits: 3});
}

function recordDuration(histogram: Histogram, durationMs: number): void {
	histogram.recordValue(Math.min(maxRecordedMicros, Math.max(1, Math.round(durationMs * microsPerMs))));
}

function computeQuantiles(histogram: Histogram): Quantiles {
	const getPercentileMs = (percentile: number) => histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile) / microsPerMs;
	return {
		count: histogram.totalCount, p50: getPercentileMs(50), p90: getPercentileMs(90), p99: getPercentileMs(99), max: getPercentileMs(100),
	};
}
