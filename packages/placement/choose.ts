/**
 * Ranks the targets of a pool for a request by expected time to first token.
 * Ties fall back on rendezvous hashing (Thaler and Ravishankar, 1998) of the
 * chain's first key, so that instances which know nothing agree.
 */
import type {PromptChain} from './chain.ts';
import type {TargetViews} from './views.ts';
import {
	hash64, type Random, type Target, type TargetPool,
} from '#core';

/** What a choice depends on. */
export type PlacementQuery = Readonly<{
	pool: TargetPool;
	views: TargetViews;
	/** Absent for plain services. */
	chain?: PromptChain;
	/** Names of targets that must not be chosen. */
	excluded: ReadonlySet<string>;
	/** This instance's availability zone. */
	zone: string;
	random: Random;
	/** Present time on the instance's monotonic clock, in milliseconds. */
	nowMs: number;
}>;

/** A target with the terms of its rank, each in milliseconds. */
export type Candidate = Readonly<{
	target: Target;
	cachedTokens: number;
	/** Piece keys to import from the kept store. */
	importKeys: readonly string[];
	prefillMs: number;
	queueMs: number;
	distanceMs: number;
	totalMs: number;
}>;

const defaultPrefillTokensPerMs = 8;
const otherZoneMs = 3;
const queuedRequestMs = 50;
const tieMs = 1;

/**
 * Ranks all eligible targets, best first.
 *
 * @returns an empty list when no target may be chosen
 */
export function chooseTarget(query: PlacementQuery): readonly Candidate[] {
	const affinity = query.chain?.keys[0] ?? '';
	return query.pool.targets
		.filter(target => !query.excluded.has(target.name) && isUsable(query, target))
		.map(target => ({candidate: rate(query, target), hash: hash64(`${affinity}|${target.name}`)}))
		.toSorted((a, b) => {
			const gap = a.candidate.totalMs - b.candidate.totalMs;
			return Math.abs(gap) > tieMs ? gap : (a.hash < b.hash ? -1 : 1);
		})
		.map(({candidate}) => candidate);
}

/** A target that leaves takes no new request, nor does an engine that reports no weights. */
function isUsable({pool, views}: PlacementQuery, target: Target): boolean {
	const {leaving, report} = views.get(target.name);
	const isEmpty = pool.kind === 'engine' && report !== undefined && report.weights === undefined;
	return !leaving && !isEmpty;
}

function rate(query: PlacementQuery, target: Target): Candidate {
	const view = query.views.get(target.name);
	const cachedTokens = countCachedTokens(query.chain, view);
	const uncached = (query.chain?.totalTokens ?? 0) - cachedTokens;
	const prefillMs = uncached / (view.report?.prefillTokensPerMs ?? defaultPrefillTokensPerMs);
	const waiting = Math.max(0, view.inFlight + (view.report?.queued ?? 0) - query.pool.slots + 1);
	const queueMs = waiting * queuedRequestMs;
	const distanceMs = target.zone === query.zone ? 0 : otherZoneMs;
	return {
		target, cachedTokens, importKeys: [], prefillMs, queueMs, distanceMs, totalMs: prefillMs + queueMs + distanceMs,
	};
}

function countCachedTokens(chain: PromptChain | undefined, view: ReturnType<TargetViews['get']>): number {
	let count = 0;
	for (const [index, key] of (chain?.keys ?? []).entries()) {
		if (!view.cached.has(key)) {
			break;
		}

		count += chain!.tokens[index]!;
	}

	return count;
}
