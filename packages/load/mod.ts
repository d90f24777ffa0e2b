/** The load generator: seeded workloads, an open-loop runner, an HTTP sender, and reports with latency quantiles. */
export {
	createWorkload, type LoadCustomer, type LoadRequest, type Workload, type WorkloadOptions,
} from './workload.ts';
export {runLoad, type LoadOptions, type LoadSender} from './run-load.ts';
export {createHttpSender, type HttpSenderOptions} from './http-sender.ts';
export type {
	LoadOutcome, LoadReport, LoadStatistics, Quantiles,
} from './report.ts';
