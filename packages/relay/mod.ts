/**
 * The relay: sends callers' HTTP requests to targets over pooled keep-alive
 * connections and returns the answers byte for byte. A request is retried only
 * as the retry table (`causeRules` in `#dispatch`) allows.
 */
export {
	Exchange, findHeader, type AnswerHead, type BodyRead, type ExchangeFault, type ExchangeRequest, type HeadRead, type HeaderLines,
} from './exchange.ts';
export type {ConnectionOptions} from './connection.ts';
export {TargetConnections} from './connections.ts';
export {
	watchEngines, type EngineWatchDependencies, type PartCacheEvent, type PartCacheEventBatch, type ReadPartCacheEvents,
} from './engine-watch.ts';
export type {ProbeTarget} from './_silence.ts';
export {TargetListing} from './target-listing.ts';
export {TargetSet} from './target-set.ts';
export {TargetPace, type PaceReport} from './target-pace.ts';
export {TargetSpeed, type PresentSpeed, type SpeedReport} from './target-speed.ts';
export {TargetState, type TargetLoad, type InstanceWork} from './target-state.ts';
export type {
	AttemptParameters, TargetAnswer, TargetDialect, TargetStatement,
} from './dialect.ts';
export type {RelayCaller} from './caller.ts';
export {EventSplitter, type StreamEvent} from './event-splitter.ts';
export {
	chooseRelayTarget, type PublishedVersion, type PublishedVersions, type NoTarget, type TargetChoice, type TargetQuery,
} from './choose-target.ts';
export {PublishedWeights, type WeightsStatement} from './published-weights.ts';
export {CachedParts, type CachedPart} from './cached-parts.ts';
export {
	computeStreamKey, originRetentionMs, StreamOrigins, type StreamOrigin, type StreamOriginRecord,
} from './stream-origins.ts';
export {KvCacheStores, type CheckKvCacheStore} from './kv-cache-stores.ts';
export {OpenRequests} from './open-requests.ts';
export {OriginArchive, type OriginArchiveDependencies} from './origin-archive.ts';
export type {ArchivedOrigin} from './_archive-reader.ts';
export {
	OriginExchange, type OriginAnswer, type OriginExchangeDependencies, type OriginQuestion,
} from './origin-exchange.ts';
export {
	resolveOrigin, type OriginDecision, type OriginDependencies, type ResumedStream,
} from './resolve-origin.ts';
export {
	VersionRecord, type VersionKnowledge, type VersionRecordDependencies, type VersionsByPool,
} from './version-record.ts';
export {VersionRefresh, type VersionRefreshDependencies} from './version-refresh.ts';
export {runPartExchange, type PartExchangeDependencies} from './part-exchange.ts';
export {Relay, type RelayDependencies} from './relay.ts';
export {PeerPaths, type PeerPathsDependencies} from './peer-paths.ts';
export {serveRelayedRequests, type PeerRelayDependencies, type RelayedWork} from './peer-relay-server.ts';
export {TargetReach, type CheckReach, type TargetReachDependencies} from './target-reach.ts';
export type {TargetMismatch} from './_attempt.ts';
