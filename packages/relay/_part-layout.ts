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
	/** Ids of the targets on which the part with the most tokens is read by default, as caching that part saves the most; the first one unless it is full. */
	preferredHomeIds: readonly string[];
	/** Store for these parts, by rendezvous hashing of the same part. */
	store: KvCacheStore | undefined;
	/** Sources by the number of leading parts, from all parts down. */
	sources: readonly PartSources[];
}>;

/** Number of homes of a part: the second one takes what the first has no room for. */
const homeCount = 2;

export type PartLayoutQuery = Readonly<{
	/** Whether homes that cannot read a part now are replaced. */
	isRationed: boolean;
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
	const homeIds = listHomeIds(query);
	const preferredHomeIds = largestPart ? chooseHomes(homeIds, largestPart.key, {count: homeCount}) : [];
	const store = largestPart && chooseStore(query.kvCacheStores, largestPart.key);
	return {
		keys, parts, preferredHomeIds, store, sources: listPartSources(query, homeIds, {
			keys, parts, preferredHomeIds, store,
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
function listPartSources(query: PartLayoutQuery, homeIds: readonly string[], {keys, parts, preferredHomeIds, store}: Omit<PartLayout, 'sources'>): readonly PartSources[] {
	const {cachedParts, nowMs, targets} = query;
	const listUsable = (state: TargetState | undefined) => state && isUsable(query, state) ? [state.target] : [];
	const listHolders = (partCount: number) => cachedParts.listHolders(keys[partCount - 1]!, nowMs)
		.flatMap(incarnation => listUsable(targets.find(({target}) => target.incarnation === incarnation)));
	const listHome = (homeId: string | undefined) => listUsable(targets.find(({target}) => target.id === homeId));

	if (store) {
		const holders = listHolders(parts.length);
		return [{partCount: parts.length, knownCount: holders.length, sources: [...holders, ...listHome(preferredHomeIds[0]), {id: store.address, ...store}]}];
	}

	return parts.map((_part, index) => {
		const partCount = parts.length - index;
		const holders = listHolders(partCount);
		return {partCount, knownCount: holders.length, sources: [...holders, ...listHome(chooseHomes(homeIds, parts[partCount - 1]!.key)[0])]};
	});
}

/**
 * Lists the targets that may be homes: those that can read the part now. A home
 * that is down or serves other weights is replaced by the next one in the order of
 * the hash, which is the same for all instances, and takes its place again when it
 * is back.
 */
function listHomeIds(query: PartLayoutQuery): readonly string[] {
	if (!query.isRationed) {
		return query.targetIds;
	}

	const usableIds = query.targets.filter(state => isUsable(query, state)).map(({target}) => target.id);
	return usableIds.length > 0 ? usableIds : query.targetIds;
}

/** Whether a target answers, as far as known, and serves these weights. */
function isUsable({prompt, nowMs, weights}: PartLayoutQuery, state: TargetState): boolean {
	return !state.isLeaving && state.loadingUntilMs <= nowMs && state.suspectUntilMs <= nowMs && state.weights.get(prompt.model) === weights;
}

function findLargestPart(parts: readonly PromptPart[]): PromptPart | undefined {
	let [largest] = parts;
	for (const part of parts) {
		largest = part.tokens > largest!.tokens ? part : largest;
	}

	return largest;
}
