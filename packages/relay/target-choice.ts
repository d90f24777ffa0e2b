/** What a choice of a target takes into account, and what it returns. */
import type {CachedParts} from './cached-parts.ts';
import type {CacheSource} from './_part-layout.ts';
import type {LimitSharing} from './_limit-share.ts';
import type {TargetState} from './target-state.ts';
import type {
	EngineTraits, KvCacheStore, Prompt, Random, RelayTarget,
} from '#core';

/** A published version of a model's weights. */
export type PublishedVersion = Readonly<{
	version: number;
	/** Time since this instance learned of it, in milliseconds. */
	ageMs: number;
}>;

/** Published versions of a model, the oldest first. Weights become stale when the first newer version is published. */
export type PublishedVersions = readonly PublishedVersion[];

/** Input of a choice. */
export type TargetQuery = Readonly<{
	targets: readonly TargetState[];
	/** Ids of targets that must not be chosen. */
	excluded: ReadonlySet<string>;
	/** Only version of the targets' software that may run the request; absent if any version may. */
	softwareVersion?: string | undefined;
	/** Present if the pool's targets are engines. */
	engine: EngineTraits | undefined;
	prompt: Prompt | undefined;
	/** Scope within which cached parts of the prompt may be shared. */
	cacheScope: string | undefined;
	/** Urgency sent to the engine; 0 is the most urgent. */
	urgency: number;
	/** Whether the configuration limits the work of customers, so that the memory of engines and the time to read shared parts again count in the choice. */
	isRationed: boolean;
	/** Absent if none is known for the prompt's model. */
	publishedVersions: PublishedVersions | undefined;
	/** Time for which requests may still start on stale weights, in milliseconds. */
	maxStaleWeightsMs: number;
	cachedParts: CachedParts;
	/** Stores that keep parts which engines read; only those that answer. */
	kvCacheStores: readonly KvCacheStore[];
	/** This instance's availability zone. */
	zone: string;
	/** Maximum number of connections from this instance to one target: its share of those that a target accepts. */
	maxConnections: number;
	/** Returns the place of this instance among those that share what a target takes. */
	getLimitSharing: (target: RelayTarget) => LimitSharing;
	nowMs: number;
	random: Random;
}>;

/** A chosen target and the estimates behind the choice. */
export type TargetChoice = Readonly<{
	state: TargetState;
	/** Expected time until the target starts to process the request, in milliseconds. */
	queueMs: number;
	/** Expected time until the answer starts, in milliseconds. */
	waitMs: number;
	/** Cost of the target: `waitMs` plus cost terms, in milliseconds. */
	costMs: number;
	/** Time that the target is expected to take for shared parts of the prompt that it does not have, in milliseconds. */
	rereadMs: number;
	/** Prompt tokens that the target is expected to read, as they are not cached. */
	unreadTokens: number;
	/** Version of the weights that the target must serve: the one that it is believed to serve, else the newest published one; absent if neither is known. */
	weights: number | undefined;
	/** Time for which these weights have been stale, in milliseconds; absent if they are not. */
	stalenessMs?: number | undefined;
	/** Scope within which cached parts may be shared, for these weights. */
	cacheScope: string | undefined;
	/** Target or store from which parts of the prompt can be fetched. */
	source: CacheSource | undefined;
	/** Store that may be given the parts which the target reads; absent if it reads none or fetches them from another target, or if there is no store. */
	keeper: KvCacheStore | undefined;
	/** Keys under which the prompt's shared parts are recorded, the outermost first. */
	partKeys: readonly string[];
}>;

/**
 * Why no target could be chosen:
 *
 * - `none_listed`: all targets are excluded, draining or replaced, or there are none.
 * - `other_software`: none of the remaining targets has the software version at which the stream began.
 * - `old_weights`: the weights of all remaining targets are too stale.
 * - `unreachable`: this instance reaches none of them.
 * - `connections_used`: all connections that this instance may open to the others are in use.
 * - `limits_reached`: the others have stated that they want no request from this instance now.
 */
export type NoTarget = 'none_listed' | 'other_software' | 'old_weights' | 'unreachable' | 'connections_used' | 'limits_reached';
