/** The load and experiment tool: seeded workloads, an open-loop sender, and reports with histograms. */
export {
	createWorkload, type LoadCustomer, type LoadRequest, type Workload, type WorkloadOptions,
} from './workload.ts';
export {runLoad, type LoadOptions, type LoadSender} from './run-load.ts';
export {createHttpSender, type HttpSenderOptions} from './http-sender.ts';
export type {
	LoadFigures, LoadOutcome, LoadReport, Quantiles,
} from './report.ts';
