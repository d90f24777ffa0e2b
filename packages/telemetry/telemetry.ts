/** Metrics by `prom-client` and log lines by `bunyan`, behind one small interface. */
import process from 'node:process';
import bunyan from 'bunyan';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {
	counterRules, gaugeRules, histogramRules, type CounterName, type GaugeName, type HistogramName,
} from './series.ts';

type Labels = Readonly<Record<string, string>>;

/** Options of {@link createTelemetry}. */
export type TelemetryOptions = Readonly<{
	/** Name that log lines carry. Default: `apricotdoor`. */
	name?: string;
	/** Where log lines go. Default: standard error. */
	stream?: NodeJS.WritableStream;
	/** Least level of lines written; `silent` writes none. Default: `info`. */
	level?: 'silent' | 'info' | 'warn' | 'error';
}>;

/** Counts, measures and logs. */
export type Telemetry = Readonly<{
	count(name: CounterName, labels?: Labels, by?: number): void;
	set(name: GaugeName, value: number, labels?: Labels): void;
	observe(name: HistogramName, value: number, labels?: Labels): void;
	/** Logs a change of state. Secrets must not be among the fields. */
	log(message: string, fields?: Readonly<Record<string, unknown>>): void;
	/** Present value of a counter; 0 when it never counted. */
	read(name: CounterName, labels?: Labels): number;
	/** All series in the Prometheus text format. */
	render(): Promise<string>;
}>;

const prefix = 'apricotdoor_';

/**
 * Creates the metrics registry and the logger of one instance.
 *
 * @example
 * ```ts
 * const telemetry = createTelemetry({level: 'silent'});
 * telemetry.count('refusals_total', {reason: 'rate_limited', ran: 'not_run'});
 * ```
 */
export function createTelemetry(options: TelemetryOptions = {}): Telemetry {
	const registry = new Registry();
	const counters = new Map<string, Counter>();
	const gauges = new Map<string, Gauge>();
	const histograms = new Map<string, Histogram>();
	const sums = new Map<string, number>();
	for (const [name, rule] of Object.entries(counterRules)) {
		counters.set(name, new Counter({
			name: prefix + name, help: rule.help, labelNames: [...rule.labels], registers: [registry],
		}));
	}

	for (const [name, rule] of Object.entries(gaugeRules)) {
		gauges.set(name, new Gauge({
			name: prefix + name, help: rule.help, labelNames: [...rule.labels], registers: [registry],
		}));
	}

	for (const [name, rule] of Object.entries(histogramRules)) {
		histograms.set(name, new Histogram({
			name: prefix + name, help: rule.help, labelNames: [...rule.labels], buckets: [...rule.buckets], registers: [registry],
		}));
	}

	const level = options.level ?? 'info';
	const logger = level === 'silent'
		? undefined
		: bunyan.createLogger({
			name: options.name ?? 'apricotdoor',
			streams: [{level, stream: options.stream ?? process.stderr}],
		});

	return {
		count(name, labels = {}, by = 1) {
			counters.get(name)!.inc({...labels}, by);
			const key = makeKey(name, labels);
			sums.set(key, (sums.get(key) ?? 0) + by);
		},
		set(name, value, labels = {}) {
			gauges.get(name)!.set({...labels}, value);
		},
		observe(name, value, labels = {}) {
			histograms.get(name)!.observe({...labels}, value);
		},
		log(message, fields = {}) {
			logger?.info({...fields}, message);
		},
		read: (name, labels = {}) => sums.get(makeKey(name, labels)) ?? 0,
		render: async () => registry.metrics(),
	};
}

function makeKey(name: string, labels: Labels): string {
	return JSON.stringify([name, ...Object.entries(labels).toSorted(([a], [b]) => a < b ? -1 : 1)]);
}
