/** Decides where a stream that its caller resumes may go on. */
import type {OriginExchange} from './origin-exchange.ts';
import {
	computeStreamKey, originRetentionMs, type StreamOrigin, type StreamOrigins,
} from './stream-origins.ts';
import type {TargetSet} from './target-set.ts';
import type {RelayRoute} from '#core';

export type OriginDependencies = Readonly<{origins: StreamOrigins; exchange: Pick<OriginExchange, 'request'>; targets: TargetSet}>;

/** What a caller states about the stream that it resumes. */
export type ResumedStream = Readonly<{
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

/** Resolves the origin of a stream; asks the peers only if this instance does not know it and it matters. */
export async function resolveOrigin({origins, exchange, targets}: OriginDependencies, {route, customer, lastEventId, resumedRequestId}: ResumedStream): Promise<OriginDecision> {
	if (route.retryPolicy !== 'resume' || lastEventId === undefined) {
		return {kind: 'any'};
	}

	const key = resumedRequestId === undefined ? undefined : computeStreamKey(customer, resumedRequestId);
	const known = key === undefined ? undefined : origins.get(key);
	if (!known && route.pools.every(({pool}) => targets.listVersions(pool, originRetentionMs).length <= 1)) {
		return {kind: 'any'};
	}

	const origin = known ?? (key === undefined ? undefined : await exchange.request(key));
	if (!origin) {
		return {kind: 'unknown'};
	}

	return route.pools.some(({pool}) => pool === origin.pool) ? {kind: 'origin', origin} : {kind: 'moved'};
}
