/** Metrics with `prom-client` and logging with `bunyan` behind one small interface. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import type {Writable} from 'node:stream';
import bunyan from 'bunyan';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {LineLimiter} from './_line-limiter.ts';
import {
	counterDefinitions, gaugeDefinitions, histogramDefinitions, type CounterName, type GaugeName, type HistogramName, type MetricDefinition,
} from './series.ts';

type Labels = Readonly<Record<string, string>>;

/** Options of {@link createTelemetry}. */
export type TelemetryOptions = Readonly<{
	/** The `name` field of each log line. Default: `apricotdoor`. */
	name?: string;
	/** Stream to which log lines are written. Default: standard error. */
	stream?: Writable;
	/** Minimum level of log lines; `silent` turns logging off. Default: `info`. */
	level?: 'silent' | 'info' | 'warn' | 'error';
}>;

/** Records metrics and writes log lines. */
export type Telemetry = Readonly<{
	count(name: CounterName, labels?: Labels, by?: number): void;
	set(name: GaugeName, value: number, labels?: Labels): void;
	observe(name: HistogramName, value: number, labels?: Labels): void;
	/** Logs a decision or a change of state. The rate is limited for each message. Fields must not contain secrets. */
	log(message: string, fields?: Readonly<Record<string, unknown>>): void;
	/** Returns the current value of a counter; 0 if it was never incremented. */
	getCounter(name: CounterName, labels?: Labels): number;
	/** Renders all metrics in the Prometheus text format. */
	render(): Promise<string>;
}>;

const metricPrefix = 'apricotdoor_';

/**
 * Creates the metrics registry and the logger of one instance. Counters and
 * gauges are held as plain numbers and copied to `prom-client` only when metrics
 * are collected, so that an increment during a request costs one map lookup.
 *
 * @example
 * ```ts
 * const telemetry = createTelemetry({level: 'silent'});
 * telemetry.count('refusals_total', {reason: 'rate_limited', ran: 'not_run'});
 * ```
 */
export function createTelemetry(options: TelemetryOptions = {}): Telemetry {
	const registry = new Registry();
	const counters = createFamilies(counterDefinitions, (name, definition, family) => {
		const counter: Counter = new Counter({
			...createMetricOptions(name, definition, registry), collect() {
				counter.reset();
				for (const {labels, value} of family.values()) {
					counter.inc({...labels}, value);
				}
			},
		});
	});
	const gauges = createFamilies(gaugeDefinitions, (name, definition, family) => {
		const gauge: Gauge = new Gauge({
			...createMetricOptions(name, definition, registry), collect() {
				gauge.reset();
				for (const {labels, value} of family.values()) {
					gauge.set({...labels}, value);
				}
			},
		});
	});
	const histograms = new Map<string, Histogram>();
	for (const [name, definition] of Object.entries(histogramDefinitions)) {
		histograms.set(name, new Histogram({...createMetricOptions(name, definition, registry), buckets: [...definition.buckets]}));
	}

	const log = createLogFunction(options);
	return {
		count(name, labels = {}, by = 1) {
			getOrCreateSeries(counters.get(name)!, counterDefinitions[name], labels).value += by;
		},
		set(name, value, labels = {}) {
			getOrCreateSeries(gauges.get(name)!, gaugeDefinitions[name], labels).value = value;
		},
		observe(name, value, labels = {}) {
			histograms.get(name)!.observe({...labels}, value);
		},
		log,
		getCounter: (name, labels = {}) => counters.get(name)!.get(formatSeriesKey(counterDefinitions[name], labels))?.value ?? 0,
		render: async () => registry.metrics(),
	};
}

/** The current value for one set of labels. */
type Series = {readonly labels: Labels; value: number};
/** All series of a counter or gauge, by the key that {@link formatSeriesKey} returns. */
type Family = Map<string, Series>;

function createFamilies(definitions: Readonly<Record<string, MetricDefinition>>, register: (name: string, definition: MetricDefinition, family: Family) => void): ReadonlyMap<string, Family> {
	const families = new Map<string, Family>();
	for (const [name, definition] of Object.entries(definitions)) {
		const family: Family = new Map();
		families.set(name, family);
		register(name, definition, family);
	}

	return families;
}

function createMetricOptions(name: string, definition: MetricDefinition, registry: Registry) {
	return {
		name: metricPrefix + name, help: definition.help, labelNames: [...definition.labels], registers: [registry],
	};
}

function getOrCreateSeries(family: Family, definition: MetricDefinition, labels: Labels): Series {
	const key = formatSeriesKey(definition, labels);
	let series = family.get(key);
	if (!series) {
		series = {labels: {...labels}, value: 0};
		family.set(key, series);
	}

	return series;
}

function formatSeriesKey(definition: MetricDefinition, labels: Labels): string {
	let key = '';
	for (const label of definition.labels) {
		key += `${labels[label] ?? ''}\n`;
	}

	return key;
}

function createLogFunction(options: TelemetryOptions): Telemetry['log'] {
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
			logger.info({dropped}, 'dropped log lines: rate limit reached or log consumer too slow');
		}

		if (limiter.admit(message, nowMs)) {
			logger.info({...fields}, message);
		}
	};
}
