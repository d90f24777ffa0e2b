/**
 * The relay: callers' HTTP requests to targets and the answers back, byte for
 * byte, over kept connections, with the attempts that the retry table allows.
 */
export {
	Exchange, findHeader, type AnswerHead, type BodyRead, type ExchangeFault, type ExchangeRequest, type HeadRead, type HeaderLines,
} from './exchange.ts';
export type {ConnectionOptions} from './connection.ts';
export {TargetConnections} from './connections.ts';
export {
	watchEngines, type EngineWatchDeps, type PartEvent, type PartEvents, type ReadPartEvents,
} from './engine-watch.ts';
export type {ProbeTarget} from './_silence.ts';
export {TargetListing} from './target-listing.ts';
export {TargetSet} from './target-set.ts';
export {TargetState, type TargetLoad, type TargetWork} from './target-state.ts';
export type {AttemptFacts, TargetAnswer, TargetDialect} from './dialect.ts';
export type {RelayCaller} from './caller.ts';
export {EventSplitter, type StreamEvent} from './event-splitter.ts';
export {
	chooseRelayTarget, type NamedVersion, type NamedWeights, type NoTarget, type TargetChoice, type TargetQuery,
} from './choose-target.ts';
export {WeightsBoard} from './named-weights.ts';
export {PlacedParts, type PlacedPart} from './placed-parts.ts';
export {runPartExchange, type PartExchangeDeps} from './part-exchange.ts';
export {Relay, type RelayDeps} from './relay.ts';
export type {Surprise} from './_attempt.ts';
