/** Decides where a stream that its caller resumes may go on. */
import type {OriginExchange} from './origin-exchange.ts';
import {
	computeStreamKey, originRetentionMs, type StreamOrigin, type StreamOrigins,
} from './stream-origins.ts';
import type {TargetSet} from './target-set.ts';
import type {VersionKnowledge, VersionRecord} from './version-record.ts';
import type {RelayRoute} from '#core';
import type {Telemetry} from '#telemetry';

export type OriginDependencies = Readonly<{
	origins: StreamOrigins;
	exchange: Pick<OriginExchange, 'request' | 'isUnderstood'>;
	targets: TargetSet;
	versionRecord: Pick<VersionRecord, 'getKnowledge'>;
	telemetry: Telemetry;
}>;

/** What a caller states about the stream that it resumes. */
export type ResumedStream = Readonly<{
	/** Id of the request, for the log. */
	requestId: string;
	route: RelayRoute;
	/** Name of the caller's customer. */
	customer: string | undefined;
	/** Id of the last event that the caller received; absent if it does not resume a stream. */
	lastEventId: string | undefined;
	/** Id of the request that brought the first event, if the caller states it. */
	resumedRequestId: string | undefined;
}>;

/**
 * Where a request may run:
 *
 * - `any`: at any target, as the request resumes no stream, or all targets have had the same software since the stream can have begun
 * - `origin`: at targets of its origin
 * - `unknown`: nowhere, as the stream may have begun at another software version than those it could go on at
 * - `moved`: nowhere, as the pool where the stream began does not serve its route any more
 */
export type OriginDecision
	= | Readonly<{kind: 'any'}> | Readonly<{kind: 'origin'; origin: StreamOrigin}> | Readonly<{kind: 'unknown'}> | Readonly<{kind: 'moved'}>;

/** A decision on a stream that its caller resumes, and what it rests on. */
type Resolution = Readonly<{
	decision: OriginDecision;
	/** What the decision rests on: an origin that this instance kept or that a peer stated, the versions of the route's pools, or nothing. */
	basis: 'kept' | 'peer' | 'pools' | 'none';
}> & PoolVersions;

/** What is known of the software versions of a route's pools. */
type PoolVersions = Readonly<{
	/** Versions that targets of the route's pools had in the retention time of origins. */
	softwareVersions: readonly string[];
	/** Whether a pool has had several of them. */
	areSeveral: boolean;
	/** How much these versions can be relied on: `observed` if this instance has seen the targets for the retention time, else what the record said at its start. */
	knowledge: 'observed' | VersionKnowledge;
}>;

/** Maximum number of software versions in a log line. */
const maxLoggedVersions = 8;

/** Resolves the origin of a stream, and counts and logs the decision; asks the peers only if this instance does not know the origin and it matters. */
export async function resolveOrigin(dependencies: OriginDependencies, stream: ResumedStream): Promise<OriginDecision> {
	const {requestId, route, lastEventId, resumedRequestId} = stream;
	if (route.retryPolicy !== 'resume' || lastEventId === undefined) {
		return {kind: 'any'};
	}

	const {telemetry} = dependencies;
	const {decision, basis, softwareVersions, knowledge} = await resolveResumed(dependencies, stream);
	telemetry.count('resumed_streams_total', {decision: decision.kind});
	telemetry.log('resumed stream resolved', {
		id: requestId, route: route.name, lastEventId, resumes: resumedRequestId, decision: decision.kind, ...(decision.kind === 'origin' && decision.origin), basis, knowledge,
		softwareVersions: softwareVersions.slice(0, maxLoggedVersions),
	});
	return decision;
}

async function resolveResumed(dependencies: OriginDependencies, {route, customer, resumedRequestId}: ResumedStream): Promise<Resolution> {
	const {origins, exchange} = dependencies;
	const key = resumedRequestId === undefined ? undefined : computeStreamKey(customer, resumedRequestId);
	const known = key === undefined ? undefined : origins.get(key);
	const before = findVersions(dependencies, route);
	if (!known && !before.areSeveral && isReliable(before)) {
		return {decision: {kind: 'any'}, basis: 'pools', ...before};
	}

	const shouldRequest = key !== undefined && (before.areSeveral || exchange.isUnderstood());
	const origin = known ?? (shouldRequest ? await exchange.request(key) : undefined);
	if (origin) {
		const decision: OriginDecision = route.pools.some(({pool}) => pool === origin.pool) ? {kind: 'origin', origin} : {kind: 'moved'};
		return {decision, basis: known ? 'kept' : 'peer', ...before};
	}

	// The record may have been read meanwhile.
	const after = findVersions(dependencies, route);
	return !before.areSeveral && !after.areSeveral && after.knowledge !== 'unread'
		? {decision: {kind: 'any'}, basis: 'pools', ...after}
		: {decision: {kind: 'unknown'}, basis: 'none', ...after};
}

function findVersions({targets, versionRecord}: OriginDependencies, {pools}: RelayRoute): PoolVersions {
	const versions = pools.map(({pool}) => targets.listVersions(pool, originRetentionMs));
	const fromRecord = new Set(pools.map(({pool}) => versionRecord.getKnowledge(pool)));
	const least = (['unread', 'partial'] as const).find(knowledge => fromRecord.has(knowledge)) ?? 'complete';
	return {
		softwareVersions: [...new Set(versions.flat())], areSeveral: versions.some(({length}) => length > 1),
		knowledge: targets.hasObserved(originRetentionMs) ? 'observed' : least,
	};
}

/** Whether there can have been no version in the retention time that is not known. */
function isReliable({knowledge}: PoolVersions): boolean {
	return knowledge === 'observed' || knowledge === 'complete';
}
