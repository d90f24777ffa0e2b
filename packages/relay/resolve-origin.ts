/** Decides where a stream that its caller resumes may go on. */
import type {ArchivedOrigin} from './_archive-reader.ts';
import type {OriginArchive} from './origin-archive.ts';
import type {OriginAnswer, OriginExchange} from './origin-exchange.ts';
import {
	computeStreamKey, originRetentionMs, type StreamOrigin, type StreamOrigins,
} from './stream-origins.ts';
import type {TargetSet} from './target-set.ts';
import type {VersionKnowledge, VersionRecord, VersionsByPool} from './version-record.ts';
import type {RelayRoute} from '#core';
import type {Telemetry} from '#telemetry';

export type OriginDependencies = Readonly<{
	origins: StreamOrigins;
	exchange: Pick<OriginExchange, 'request'>;
	archive: Pick<OriginArchive, 'fetch'>;
	/** Reads the versions from the object store; see {@link VersionRefresh.refresh}. */
	refresh: () => Promise<VersionsByPool | undefined>;
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
 * - `any`: at any target, as the request resumes no stream; if it does, all targets of each pool have had the same software since the stream can have begun, and it runs only at that version
 * - `origin`: at targets of its origin
 * - `unknown`: nowhere, as the stream may have begun at another software version than those it could go on at
 * - `moved`: nowhere, as the pool where the stream began does not serve its route any more
 */
export type OriginDecision
	= | Readonly<{kind: 'any'; softwareVersions?: ReadonlyMap<string, string>}> | Readonly<{kind: 'origin'; origin: StreamOrigin}> | Readonly<{kind: 'unknown'}> | Readonly<{kind: 'moved'}>;

/** A decision on a stream that its caller resumes, and what it rests on. */
type Resolution = Readonly<{
	decision: OriginDecision;
	/** What the decision rests on: an origin that this instance kept, that a peer stated or that was archived, the versions of the route's pools, or nothing. */
	basis: 'kept' | 'peer' | 'archive' | 'pools' | 'none';
	/** Who has confirmed since the request arrived that no other versions are known; `unasked` if that does not matter. */
	confirmedBy: 'store' | 'peer' | 'none' | 'unasked';
	/** What the archive has said of the stream. */
	archive?: ArchivedOrigin['kind'];
}> & PoolVersions;

/** What is known of the software versions of a route's pools. */
type PoolVersions = Readonly<{
	/** Versions that targets of each of the route's pools had in the retention time of origins. */
	versions: VersionsByPool;
	/** Whether a pool has had several of them. */
	areSeveral: boolean;
	/** How much these versions can be relied on: `observed` if this instance has seen the targets for the retention time, else what the record said at its start. */
	knowledge: 'observed' | VersionKnowledge;
}>;

/** Maximum number of software versions in a log line. */
const maxLoggedVersions = 8;

/** Resolves the origin of a stream, and counts and logs the decision; asks the object store and the peers if this instance does not know the origin. */
export async function resolveOrigin(dependencies: OriginDependencies, stream: ResumedStream): Promise<OriginDecision> {
	const {requestId, route, lastEventId, resumedRequestId} = stream;
	if (route.retryPolicy !== 'resume' || lastEventId === undefined) {
		return {kind: 'any'};
	}

	const {telemetry} = dependencies;
	const {decision, basis, versions, knowledge, confirmedBy, archive} = await resolveResumed(dependencies, stream);
	telemetry.count('resumed_streams_total', {decision: decision.kind});
	telemetry.log('resumed stream resolved', {
		id: requestId, route: route.name, lastEventId, resumes: resumedRequestId, decision: decision.kind, ...(decision.kind === 'origin' && decision.origin), basis, knowledge, confirmedBy, archive,
		softwareVersions: [...new Set([...versions.values()].flat())].slice(0, maxLoggedVersions),
	});
	return decision;
}

async function resolveResumed(dependencies: OriginDependencies, {route, customer, resumedRequestId}: ResumedStream): Promise<Resolution> {
	const {origins, exchange, refresh} = dependencies;
	const key = resumedRequestId === undefined ? undefined : computeStreamKey(customer, resumedRequestId);
	const getKept = () => key === undefined ? undefined : origins.get(key);
	let known = findVersions(dependencies, route);
	if (getKept()) {
		return createResolution(route, {origin: getKept(), basis: 'kept', confirmedBy: 'unasked'}, known);
	}

	let confirmedBy: Resolution['confirmedBy'] = 'unasked';
	let answer: OriginAnswer | undefined;
	if (!known.areSeveral) {
		// This instance may have been cut off or suspended, so that silence says nothing.
		const recorded = await refresh();
		known = findVersions(dependencies, route, recorded);
		if (key !== undefined && !getKept() && !known.areSeveral) {
			answer = await exchange.request({
				key, pools: route.pools.map(({pool}) => pool), shouldRefresh: recorded === undefined, isForAll: false,
			});
			known = findVersions(dependencies, route, recorded, answer.versions);
		}

		confirmedBy = recorded ? 'store' : (answer?.isRefreshed ? 'peer' : 'none');
	}

	if (key !== undefined && !getKept() && !answer?.origin && known.areSeveral) {
		answer = await exchange.request({
			key, pools: [], shouldRefresh: false, isForAll: true,
		});
	}

	const resolution = createResolution(route, {origin: getKept() ?? answer?.origin, basis: 'peer', confirmedBy}, known);
	return key !== undefined && resolution.decision.kind === 'unknown' ? resolveArchived(dependencies, route, key, resolution) : resolution;
}

/** Looks up a stream in the archive that neither this instance nor its peers know. What is not archived stays unknown. */
async function resolveArchived({origins, archive}: OriginDependencies, route: RelayRoute, key: string, resolution: Resolution): Promise<Resolution> {
	const archived = await archive.fetch(key);
	if (archived.kind !== 'found') {
		return {...resolution, archive: archived.kind};
	}

	const {origin} = archived;
	origins.record({key, origin});
	return {...createResolution(route, {origin, basis: 'archive', confirmedBy: resolution.confirmedBy}, resolution), archive: 'found'};
}

type Findings = Readonly<{origin: StreamOrigin | undefined; basis: 'kept' | 'peer' | 'archive'; confirmedBy: Resolution['confirmedBy']}>;

function createResolution({pools}: RelayRoute, {origin, basis, confirmedBy}: Findings, known: PoolVersions): Resolution {
	if (origin) {
		const isServed = pools.some(({pool}) => pool === origin.pool);
		return {
			...known, confirmedBy, basis, decision: isServed ? {kind: 'origin', origin} : {kind: 'moved'},
		};
	}

	const softwareVersions = new Map([...known.versions].flatMap(([pool, [version]]) => version === undefined ? [] : [[pool, version]]));
	const isConfirmed = confirmedBy === 'peer' || (confirmedBy === 'store' && known.knowledge !== 'unread');
	return !known.areSeveral && isConfirmed && softwareVersions.size > 0
		? {
			...known, confirmedBy, basis: 'pools', decision: {kind: 'any', softwareVersions},
		}
		: {
			...known, confirmedBy, basis: 'none', decision: {kind: 'unknown'},
		};
}

function findVersions({targets, versionRecord}: OriginDependencies, {pools}: RelayRoute, ...others: ReadonlyArray<VersionsByPool | undefined>): PoolVersions {
	const versions = new Map(pools.map(({pool}) => [pool, [...new Set([...targets.listVersions(pool, originRetentionMs), ...others.flatMap(byPool => byPool?.get(pool) ?? [])])]]));
	const fromRecord = new Set(pools.map(({pool}) => versionRecord.getKnowledge(pool)));
	const least = (['unread', 'partial'] as const).find(knowledge => fromRecord.has(knowledge)) ?? 'complete';
	return {
		versions, areSeveral: [...versions.values()].some(({length}) => length > 1), knowledge: targets.hasObserved(originRetentionMs) ? 'observed' : least,
	};
}
