/** Runs a request on targets: attempts, retries, and the stream that the caller sees. */
export {Dispatcher, type DispatcherDeps} from './dispatcher.ts';
export {decideRetry, type RetryDecision} from './retry.ts';
export {StreamSplicer} from './splice.ts';
export {TargetLinks} from './links.ts';
