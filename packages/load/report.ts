/** Gathers the outcomes of a load run into histograms and counts. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {LoadRequest} from './workload.ts';

/** What became of one request. */
export type LoadOutcome = Readonly<{
	/** `answered` for a whole answer, else the code of the refusal or fault. */
	result: string;
	/** Monotonic time of the first token, in milliseconds; absent where none came. */
	firstTokenAtMs?: number;
	/** Monotonic time of the end, in milliseconds. */
	endAtMs: number;
	cachedTokens: number;
	promptTokens: number;
	/** Target that answered. */
	target?: string;
}>;

/** Quantiles in milliseconds. */
export type Quantiles = Readonly<{count: number; p50: number; p90: number; p99: number; max: number}>;

/** Figures of a run or of one customer. */
export type LoadFigures = Readonly<{
	sent: number;
	answered: number;
	/** Answered whole, with the first token within the promised time. */
	inTime: number;
	/** Share of the prompt tokens that targets had cached. */
	hitRate: number;
	/** From the intended time of arrival, so that a late sender hides no delay. */
	firstTokenMs: Quantiles;
	answerMs: Quantiles;
	/** Requests by outcome other than `answered`. */
	failures: Readonly<Record<string, number>>;
}>;

/** The report of a run. */
export type LoadReport = Readonly<{
	seconds: number;
	requestsPerSecond: number;
	total: LoadFigures;
	customers: Readonly<Record<string, LoadFigures>>;
	/** Answers by target. */
	targets: Readonly<Record<string, number>>;
}>;

const microsPerMs = 1000;
const highestMicros = 600_000_000;

/** Figures that are still being gathered. */
class Gatherer {
	sent = 0;
	answered = 0;
	inTime = 0;
	cachedTokens = 0;
	promptTokens = 0;
	readonly firstToken = createHistogram();
	readonly answer = createHistogram();
	readonly failures = new Map<string, number>();

	read(): LoadFigures {
		return {
			sent: this.sent, answered: this.answered, inTime: this.inTime,
			hitRate: this.promptTokens === 0 ? 0 : this.cachedTokens / this.promptTokens,
			firstTokenMs: readQuantiles(this.firstToken), answerMs: readQuantiles(this.answer),
			failures: Object.fromEntries(this.failures),
		};
	}
}

/** Records outcomes by customer and target. */
export class LoadRecorder {
	readonly #promisedMs: number;
	readonly #total = new Gatherer();
	readonly #customers = new Map<string, Gatherer>();
	readonly #targets = new Map<string, number>();

	/** @param promisedMs promised time to the first token */
	constructor(promisedMs: number) {
		this.#promisedMs = promisedMs;
	}

	get sent(): number {
		return this.#total.sent;
	}

	get answered(): number {
		return this.#total.answered;
	}

	countSent(request: LoadRequest): void {
		for (const gatherer of this.#list(request)) {
			gatherer.sent++;
		}
	}

	/** @param startMs monotonic time at which the run started */
	record(request: LoadRequest, outcome: LoadOutcome, startMs: number): void {
		if (outcome.target !== undefined && outcome.result === 'answered') {
			this.#targets.set(outcome.target, (this.#targets.get(outcome.target) ?? 0) + 1);
		}

		for (const gatherer of this.#list(request)) {
			this.#add(gatherer, outcome, startMs + request.atMs);
		}
	}

	report(seconds: number): LoadReport {
		return {
			seconds, requestsPerSecond: this.#total.sent / seconds, total: this.#total.read(),
			customers: Object.fromEntries([...this.#customers].map(([name, gatherer]) => [name, gatherer.read()])),
			targets: Object.fromEntries([...this.#targets].toSorted(([a], [b]) => a < b ? -1 : 1)),
		};
	}

	#add(gatherer: Gatherer, outcome: LoadOutcome, dueMs: number): void {
		gatherer.cachedTokens += outcome.cachedTokens;
		gatherer.promptTokens += outcome.promptTokens;
		if (outcome.firstTokenAtMs !== undefined) {
			record(gatherer.firstToken, outcome.firstTokenAtMs - dueMs);
		}

		if (outcome.result !== 'answered') {
			gatherer.failures.set(outcome.result, (gatherer.failures.get(outcome.result) ?? 0) + 1);
			return;
		}

		gatherer.answered++;
		record(gatherer.answer, outcome.endAtMs - dueMs);
		if ((outcome.firstTokenAtMs ?? outcome.endAtMs) - dueMs <= this.#promisedMs) {
			gatherer.inTime++;
		}
	}

	#list({customer}: LoadRequest): readonly Gatherer[] {
		let own = this.#customers.get(customer.name);
		if (!own) {
			own = new Gatherer();
			this.#customers.set(customer.name, own);
		}

		return [this.#total, own];
	}
}

function createHistogram(): Histogram {
	return build({lowestDiscernibleValue: 1, highestTrackableValue: highestMicros, numberOfSignificantValueDigits: 3});
}

function record(histogram: Histogram, ms: number): void {
	histogram.recordValue(Math.min(highestMicros, Math.max(1, Math.round(ms * microsPerMs))));
}

function readQuantiles(histogram: Histogram): Quantiles {
	const at = (percentile: number) => histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile) / microsPerMs;
	return {
		count: histogram.totalCount, p50: at(50), p90: at(90), p99: at(99), max: at(100),
	};
}
