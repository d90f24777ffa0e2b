/**
 * Counters, gauges, histograms and logs. Every series is declared here, so that
 * the metrics page can be checked against this one list.
 */
export {createTelemetry, type Telemetry, type TelemetryOptions} from './telemetry.ts';
export {
	counterRules, gaugeRules, histogramRules, type CounterName, type GaugeName, type HistogramName, type SeriesRule,
} from './series.ts';
