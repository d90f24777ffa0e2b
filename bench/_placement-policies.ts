/** Policies that the placement bench compares; each ranks the targets of a query. */
import type {Cluster, PolicyFactory} from './_placement-cluster.ts';
import {hash64, type Target} from '#core';
import type {Candidate, PlacementPolicy, PlacementQuery} from '#placement';

/** Policies by name; `apricotdoor` is the policy of the product. */
export const policies = {
	roundRobin: createRoundRobin,
	leastLoaded: () => rankLeastLoaded,
	prefixHash: () => rankByPrefixHash,
	apricotdoor: () => undefined,
	oracle: createOracle,
} as const satisfies Readonly<Record<string, PolicyFactory>>;

/** Makes one uncached token outweigh the load of any engine. */
const uncachedTokenWeight = 1e6;
const zeroTerms = {
	cachedTokens: 0, suspectTokens: 0, home: false, queueMs: 0, slotMs: 0, prefillMs: 0, importMs: 0, distanceMs: 0,
	recomputeMs: 0, awayMs: 0,
};

export type PolicyName = keyof typeof policies;

/** Ranks the targets that are neither excluded nor draining by ascending cost. */
function rankByCost(query: PlacementQuery, computeCost: (target: Target) => number): readonly Candidate[] {
	return query.pool.targets
		.filter(target => !query.excluded.has(target.name) && !query.views.get(target.name).isDraining)
		.map(target => ({
			...zeroTerms, target, importKeys: query.pool.keptStore === undefined ? [] : query.chain?.keys ?? [], totalMs: computeCost(target),
		}))
		.toSorted((a, b) => a.totalMs - b.totalMs);
}

function createRoundRobin(): PlacementPolicy {
	let turn = 0;
	return query => {
		const count = query.pool.targets.length;
		const first = turn++ % count;
		return rankByCost(query, target => (query.pool.targets.indexOf(target) - first + count) % count);
	};
}

/** Ranks by the number of requests: those in the report of the target, plus those that this instance has in progress. Ties are broken at random. */
function rankLeastLoaded(query: PlacementQuery): readonly Candidate[] {
	return rankByCost(query, ({name}) => {
		const {report, inFlight} = query.views.get(name);
		return inFlight + (report?.queued ?? 0) + (report?.running ?? 0) + query.random.next();
	});
}

/** Ranks by rendezvous hashing of preamble and dossier, that is of all messages but the last. */
function rankByPrefixHash(query: PlacementQuery): readonly Candidate[] {
	const key = query.chain?.keys.at(-2) ?? '';
	return rankByCost(query, ({name}) => Number.parseInt(hash64(`${key}|${name}`).slice(0, 8), 16));
}

/**
 * Ranks by the actual cache contents of the engines: fewest uncached tokens
 * first, whatever the queue, then lowest load. It is an upper bound for the hit
 * rate, not for the time to the first token.
 */
function createOracle(cluster: Cluster): PlacementPolicy {
	return query => rankByCost(query, target => {
		const engine = cluster.engines.get(target.name)!;
		const {queuedTokens, running, queued} = engine.measureLoad();
		const load = queuedTokens + running + queued;
		return (engine.isDown ? Number.MAX_SAFE_INTEGER : 0) + (countUncachedTokens(query, key => engine.isCached(key)) * uncachedTokenWeight) + load;
	});
}

function countUncachedTokens({chain}: PlacementQuery, isCached: (key: string) => boolean): number {
	if (!chain) {
		return 0;
	}

	const missing = chain.keys.findIndex(key => !isCached(key));
	return missing === -1 ? 0 : chain.tokens.slice(missing).reduce((sum, count) => sum + count, 0);
}
