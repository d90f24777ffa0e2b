/** The policies that the placement bench compares, each a function that ranks the targets of a query. */
import type {Cluster, PolicyFactory} from './_placement-cluster.ts';
import {hash64, type Target} from '#core';
import type {Candidate, PlacementPolicy, PlacementQuery} from '#placement';

/** Policies by name; one without a function is the router's own. */
export const policies = {
	roundRobin: makeRoundRobin,
	leastLoaded: () => rankLeastLoaded,
	prefixHash: () => rankByPrefixHash,
	apricotdoor: () => undefined,
	oracle: makeOracle,
} as const satisfies Readonly<Record<string, PolicyFactory>>;

const loadWeight = 1e6;
const noTerms = {
	cachedTokens: 0, suspectTokens: 0, home: false, queueMs: 0, slotMs: 0, prefillMs: 0, importMs: 0, distanceMs: 0,
	recomputeMs: 0, awayMs: 0,
};

/** Name of a policy. */
export type PolicyName = keyof typeof policies;

function rankBy(query: PlacementQuery, cost: (target: Target) => number): readonly Candidate[] {
	return query.pool.targets
		.filter(target => !query.excluded.has(target.name) && !query.views.get(target.name).leaving)
		.map(target => ({
			...noTerms, target, importKeys: query.pool.keptStore === undefined ? [] : query.chain?.keys ?? [], totalMs: cost(target),
		}))
		.toSorted((a, b) => a.totalMs - b.totalMs);
}

function makeRoundRobin(): PlacementPolicy {
	let turn = 0;
	return query => {
		const count = query.pool.targets.length;
		const first = turn++ % count;
		return rankBy(query, target => (query.pool.targets.indexOf(target) - first + count) % count);
	};
}

/** Fewest requests: those reported, plus this instance's own in progress; at random among equals. */
function rankLeastLoaded(query: PlacementQuery): readonly Candidate[] {
	return rankBy(query, ({name}) => {
		const {report, inFlight} = query.views.get(name);
		return inFlight + (report?.queued ?? 0) + (report?.running ?? 0) + query.random.next();
	});
}

/** Rendezvous hashing of all but the last message, that is of preamble and dossier. */
function rankByPrefixHash(query: PlacementQuery): readonly Candidate[] {
	const key = query.chain?.keys.at(-2) ?? '';
	return rankBy(query, ({name}) => Number.parseInt(hash64(`${key}|${name}`).slice(0, 8), 16));
}

/**
 * Knows every cache at the moment of choice and recomputes as little as it can,
 * whatever the queue; among equals it takes the least loaded. It bounds the hit
 * rate, not the time to the first token.
 */
function makeOracle(cluster: Cluster): PlacementPolicy {
	return query => rankBy(query, target => {
		const engine = cluster.engines.get(target.name)!;
		const {queuedTokens, running, queued} = engine.measureLoad();
		const load = queuedTokens + running + queued;
		return (engine.down ? Number.MAX_SAFE_INTEGER : 0) + (countUncached(query, key => engine.hasCached(key)) * loadWeight) + load;
	});
}

function countUncached({chain}: PlacementQuery, has: (key: string) => boolean): number {
	if (!chain) {
		return 0;
	}

	const missing = chain.keys.findIndex(key => !has(key));
	return missing === -1 ? 0 : chain.tokens.slice(missing).reduce((sum, count) => sum + count, 0);
}
