/**
 * Types that every package shares: the configured topology, requests, attempts
 * and their outcomes, refusals, and results. This package imports no other.
 */
export {succeed, fail, type Result} from './result.ts';
export {getErrorMessage} from './error-message.ts';
export {
	formatAddress, normalizeAddress, parseAddress, type Address,
} from './address.ts';
export type {
	CallRule, Configuration, Customer, CustomerLimit, Route, Target, TargetKind, TargetPool,
} from './topology.ts';
export type {
	AnswerEvent, ChatMessage, ChatWork, RoutedRequest, ServiceWork, Usage, Work,
} from './request.ts';
export type {
	CacheEvent, CacheEventBatch, EngineOrder, LoadReport, OrderReceipt, TargetCall, TargetConnector, TargetFailure,
	TargetFrame, TargetLink, ToolCall,
} from './target.ts';
export type {
	CallerLimits, EngineTraits, KvCacheStore, PoolShare, Prompt, PromptPart, RelayConfiguration, RelayCustomer, RelayPool, RelayRequest,
	RelayRoute, RelayTarget, RetryPolicy, WorkLimit,
} from './relay.ts';
export {attemptOutcomes, type AttemptOutcome} from './outcome.ts';
export {
	refusalRules, createRefusal, type Refusal, type RefusalOptions, type RefusalReason, type RunState,
} from './refusal.ts';
export {createRandom, createSystemRandom, type Random} from './random.ts';
export {Channel} from './channel.ts';
export {hash64, prepareHash} from './hash.ts';
export {waitForAbort} from './wait-for-abort.ts';
export {readArrivedInput} from './read-arrived-input.ts';
