/** Metrics by `prom-client` and log lines by `bunyan`, behind one small interface. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import type {Writable} from 'node:stream';
import bunyan from 'bunyan';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {LineLimiter} from './_line-limiter.ts';
import {
	counterRules, gaugeRules, histogramRules, type CounterName, type GaugeName, type HistogramName, type SeriesRule,
} from './series.ts';

type Labels = Readonly<Record<string, string>>;

/** Options of {@link createTelemetry}. */
export type TelemetryOptions = Readonly<{
	/** Name that log lines carry. Default: `apricotdoor`. */
	name?: string;
	/** Where log lines go. Default: standard error. */
	stream?: Writable;
	/** Least level of lines written; `silent` writes none. Default: `info`. */
	level?: 'silent' | 'info' | 'warn' | 'error';
}>;

/** Counts, measures and logs. */
export type Telemetry = Readonly<{
	count(name: CounterName, labels?: Labels, by?: number): void;
	set(name: GaugeName, value: number, labels?: Labels): void;
	observe(name: HistogramName, value: number, labels?: Labels): void;
	/** Logs a decision or a change of state; bounded for each message. Secrets must not be among the fields. */
	log(message: string, fields?: Readonly<Record<string, unknown>>): void;
	/** Present value of a counter; 0 when it never counted. */
	read(name: CounterName, labels?: Labels): number;
	/** All series in the Prometheus text format. */
	render(): Promise<string>;
}>;

const prefix = 'apricotdoor_';

/**
 * Creates the metrics registry and the logger of one instance. Counters and
 * gauges are plain numbers until a collector asks for them, which keeps a
 * count on the way of a request to one map lookup.
 *
 * @example
 * ```ts
 * const telemetry = createTelemetry({level: 'silent'});
 * telemetry.count('refusals_total', {reason: 'rate_limited', ran: 'not_run'});
 * ```
 */
export function createTelemetry(options: TelemetryOptions = {}): Telemetry {
	const registry = new Registry();
	const counters = createFamilies(counterRules, (name, rule, family) => {
		const counter: Counter = new Counter({
			...makeMetricOptions(name, rule, registry), collect() {
				counter.reset();
				for (const {labels, value} of family.values()) {
					counter.inc({...labels}, value);
				}
			},
		});
	});
	const gauges = createFamilies(gaugeRules, (name, rule, family) => {
		const gauge: Gauge = new Gauge({
			...makeMetricOptions(name, rule, registry), collect() {
				gauge.reset();
				for (const {labels, value} of family.values()) {
					gauge.set({...labels}, value);
				}
			},
		});
	});
	const histograms = new Map<string, Histogram>();
	for (const [name, rule] of Object.entries(histogramRules)) {
		histograms.set(name, new Histogram({...makeMetricOptions(name, rule, registry), buckets: [...rule.buckets]}));
	}

	const log = createLog(options);
	return {
		count(name, labels = {}, by = 1) {
			findSeries(counters.get(name)!, counterRules[name], labels).value += by;
		},
		set(name, value, labels = {}) {
			findSeries(gauges.get(name)!, gaugeRules[name], labels).value = value;
		},
		observe(name, value, labels = {}) {
			histograms.get(name)!.observe({...labels}, value);
		},
		log,
		read: (name, labels = {}) => counters.get(name)!.get(makeKey(counterRules[name], labels))?.value ?? 0,
		render: async () => registry.metrics(),
	};
}

/** The present number under one set of labels. */
type Series = {readonly labels: Labels; value: number};
/** All series of a counter or gauge, by their labels' values. */
type Family = Map<string, Series>;

function createFamilies(rules: Readonly<Record<string, SeriesRule>>, register: (name: string, rule: SeriesRule, family: Family) => void): ReadonlyMap<string, Family> {
	const families = new Map<string, Family>();
	for (const [name, rule] of Object.entries(rules)) {
		const family: Family = new Map();
		families.set(name, family);
		register(name, rule, family);
	}

	return families;
}

function makeMetricOptions(name: string, rule: SeriesRule, registry: Registry) {
	return {
		name: prefix + name, help: rule.help, labelNames: [...rule.labels], registers: [registry],
	};
}

function findSeries(family: Family, rule: SeriesRule, labels: Labels): Series {
	const key = makeKey(rule, labels);
	let series = family.get(key);
	if (!series) {
		series = {labels: {...labels}, value: 0};
		family.set(key, series);
	}

	return series;
}

function makeKey(rule: SeriesRule, labels: Labels): string {
	let key = '';
	for (const label of rule.labels) {
		key += `${labels[label] ?? ''}\n`;
	}

	return key;
}

function createLog(options: TelemetryOptions): Telemetry['log'] {
	const level = options.level ?? 'info';
	if (level === 'silent') {
		return () => undefined;
	}

	const stream = options.stream ?? process.stderr;
	const logger = bunyan.createLogger({name: options.name ?? 'apricotdoor', streams: [{level, stream}]});
	const limiter = new LineLimiter(() => stream.writableLength);
	return (message, fields = {}) => {
		const nowMs = performance.now();
		const dropped = limiter.takeDropped(nowMs);
		if (dropped) {
			logger.info({dropped}, 'lines left out');
		}

		if (limiter.admit(message, nowMs)) {
			logger.info({...fields}, message);
		}
	};
}
