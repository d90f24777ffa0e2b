/**
 * Counters, gauges, histograms and logs. Every metric is declared in `series.ts`,
 * from which the page docs/METRICS.md is generated.
 */
export {recordEscapedError, type EscapedActivity} from './escaped-errors.ts';
export {createTelemetry, type Telemetry, type TelemetryOptions} from './telemetry.ts';
export {
	counterDefinitions, gaugeDefinitions, histogramDefinitions, type CounterName, type GaugeName, type HistogramName, type MetricDefinition,
} from './series.ts';
