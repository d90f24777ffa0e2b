/** Runs requests on targets: attempts, retries, and the stream that the caller receives. */
export {Dispatcher, type DispatcherDependencies, type DispatcherOptions} from './dispatcher.ts';
export {
	causeRules, classifyRun, decideRetry, mergeRunStates, type AttemptCause, type RetryPlace,
} from './retry.ts';
export {RetryBudget, type RetryBudgetOptions} from './retry-budget.ts';
export {computeSilenceTimeoutMs, type SilenceTimeoutQuery} from './silence-timeout.ts';
export {StreamSplicer} from './stream-splicer.ts';
export {TargetLinks} from './target-links.ts';
