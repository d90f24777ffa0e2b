/**
 * Counters, gauges, histograms and logs. Every metric is declared in `series.ts`,
 * from which the page docs/METRICS.md is generated.
 */
export {createTelemetry, type Telemetry, type TelemetryOptions} from './telemetry.ts';
export {
	counterRules, gaugeRules, histogramRules, type CounterName, type GaugeName, type HistogramName, type SeriesRule,
} from './series.ts';
