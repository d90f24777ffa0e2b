/** Runs a request on targets: attempts, retries, and the stream that the caller sees. */
export {Dispatcher, type DispatcherDeps, type DispatcherOptions} from './dispatcher.ts';
export {
	causeRules, classifyRun, decideRetry, mergeRunStates, type AttemptCause, type RetryPlace,
} from './retry.ts';
export {RetryBudget, type RetryBudgetOptions} from './retry-budget.ts';
export {computeSilenceMs, type SilenceQuery} from './silence.ts';
export {StreamSplicer} from './splice.ts';
export {TargetLinks} from './links.ts';
