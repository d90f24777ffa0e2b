/**
 * Where the parts of one prompt are, for one version of the weights: their keys,
 * the engine and the store on which they are kept by default, and the sources from
 * which other engines can fetch them. It is created once for all targets, so that
 * a choice takes a time in proportion to their number.
 */
import type {CachedParts} from './cached-parts.ts';
import type {TargetState} from './target-state.ts';
import type {KvCacheStore, Prompt, PromptPart} from '#core';
import {chooseHomes} from '#placement';

/** Where cached parts can be fetched from. */
export type CacheSource = Readonly<{
	/** Id of the target, or the address of the store. */
	id: string;
	/** `host:port`. */
	address: string;
	zone: string;
}>;

/** Sources that are believed to have the first `partCount` parts of a prompt cached. */
type PartSources = Readonly<{
	partCount: number;
	/** The best first. */
	sources: readonly CacheSource[];
	/** Number of sources that are known to have the parts; the others may have them. */
	knownCount: number;
}>;

export type PartLayout = Readonly<{
	/** Keys under which the parts are recorded, the outermost first. */
	keys: readonly string[];
	parts: readonly PromptPart[];
	/** Id of the target on which the part with the most tokens is read by default, as caching that part saves the most. */
	preferredHomeId: string | undefined;
	/** Store for these parts, by rendezvous hashing of the same part. */
	store: KvCacheStore | undefined;
	/** Sources by the number of leading parts, from all parts down. */
	sources: readonly PartSources[];
}>;

export type PartLayoutQuery = Readonly<{
	prompt: Prompt;
	targets: readonly TargetState[];
	/** Ids of the targets that may be homes. */
	targetIds: readonly string[];
	cachedParts: CachedParts;
	/** Stores that answer. */
	kvCacheStores: readonly KvCacheStore[];
	/** Scope within which cached parts may be shared, for these weights. */
	cacheScope: string | undefined;
	/** Version of the weights. */
	weights: number | undefined;
	nowMs: number;
}>;

/** A source that is believed to have the first `partCount` parts of a prompt cached. */
type FoundSource = Readonly<{source: CacheSource; partCount: number; isKnown: boolean}>;

export function createPartLayout(query: PartLayoutQuery): PartLayout {
	// The last part belongs to the request itself or to its session, so it is neither recorded nor fetched.
	const parts = query.prompt.parts.slice(0, -1);
	const keys = parts.map(({key}) => `${query.cacheScope ?? ''}/${key}`);
	const largestPart = findLargestPart(parts);
	const preferredHomeId = largestPart && chooseHomes(query.targetIds, largestPart.key)[0];
	const store = largestPart && chooseStore(query.kvCacheStores, largestPart.key);
	return {
		keys, parts, preferredHomeId, store, sources: listPartSources(query, {
			keys, parts, preferredHomeId, store,
		}),
	};
}

/** Finds the source that is believed to have the most of the prompt cached, and more of it than the target. */
export function findCachedSource({sources: bySize}: PartLayout, {target}: TargetState, cachedCount: number): FoundSource | undefined {
	for (const {partCount, sources, knownCount} of bySize) {
		const index = partCount > cachedCount ? sources.findIndex(({id}) => id !== target.id) : -1;
		if (index !== -1) {
			return {source: sources[index]!, partCount, isKnown: index < knownCount};
		}
	}

	return undefined;
}

/** Sums the tokens of the parts with indices from `from` to below `to`. */
export function sumTokens(parts: readonly PromptPart[], from: number, to: number): number {
	let sum = 0;
	for (let index = from; index < to; index++) {
		sum += parts[index]!.tokens;
	}

	return sum;
}

/** Chooses the store for a part, so that all instances choose the same one. */
function chooseStore(stores: readonly KvCacheStore[], key: string): KvCacheStore | undefined {
	const [address] = stores.length > 1 ? chooseHomes(stores.map(store => store.address), key) : stores.map(store => store.address);
	return stores.find(store => store.address === address);
}

/**
 * Lists where leading parts of a prompt can be fetched from: recorded holders,
 * then their home. With a store, only holders of all parts count, and the store
 * stands for the others: it has a part of what engines have lately read.
 */
function listPartSources(query: PartLayoutQuery, {keys, parts, preferredHomeId, store}: Omit<PartLayout, 'sources'>): readonly PartSources[] {
	const {prompt, cachedParts, nowMs, targets, targetIds, weights} = query;
	const isUsable = (state: TargetState | undefined): state is TargetState => state !== undefined && !state.isLeaving
		&& state.loadingUntilMs <= nowMs && state.suspectUntilMs <= nowMs && state.weights.get(prompt.model) === weights;
	const listHolders = (partCount: number) => cachedParts.listHolders(keys[partCount - 1]!, nowMs)
		.map(incarnation => targets.find(({target}) => target.incarnation === incarnation))
		.filter(state => isUsable(state))
		.map(({target}) => target);
	const listHome = (homeId: string | undefined) => {
		const home = targets.find(({target}) => target.id === homeId);
		return isUsable(home) ? [home.target] : [];
	};

	if (store) {
		const holders = listHolders(parts.length);
		return [{partCount: parts.length, knownCount: holders.length, sources: [...holders, ...listHome(preferredHomeId), {id: store.address, ...store}]}];
	}

	return parts.map((_part, index) => {
		const partCount = parts.length - index;
		const holders = listHolders(partCount);
		return {partCount, knownCount: holders.length, sources: [...holders, ...listHome(chooseHomes(targetIds, parts[partCount - 1]!.key)[0])]};
	});
}

function findLargestPart(parts: readonly PromptPart[]): PromptPart | undefined {
	let [largest] = parts;
	for (const part of parts) {
		largest = part.tokens > largest!.tokens ? part : largest;
	}

	return largest;
}
