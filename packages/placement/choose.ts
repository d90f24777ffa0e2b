/**
 * Ranks the targets of a pool for a request by expected time to first token and
 * by what the choice costs the pool: recomputation of what another target has,
 * and a new prefix away from its home.
 */
import type {PromptChain} from './chain.ts';
import {findEligible, type Eligibility, type EligibilityQuery} from './eligible.ts';
import {parseKeys, type KeyWords} from './_key-table.ts';
import {estimateLoad, type LoadTerms} from './_load-terms.ts';
import {pickHomes} from './rendezvous.ts';
import type {Random, Target} from '#core';

/** What a choice depends on. */
export type PlacementQuery = EligibilityQuery & Readonly<{
	/** Absent for plain services. */
	chain?: PromptChain;
	/** This instance's availability zone. */
	zone: string;
	random: Random;
	/** Present time on the instance's monotonic clock, in milliseconds. */
	nowMs: number;
	/** Homes that the prompt's prefix has by its rate. Default: 1. */
	replicas?: number;
}>;

/** The terms of a target's rank, each in milliseconds. */
export type PlacementTerms = Readonly<{
	/** Wait for the prefill of earlier prompts. */
	queueMs: number;
	/** Wait for a place in the batch. */
	slotMs: number;
	/** Prefill of what is neither cached nor imported. */
	prefillMs: number;
	/** Import from the kept store. */
	importMs: number;
	/** Distance between availability zones. */
	distanceMs: number;
	/** Price of recomputing or importing what another target has cached. */
	recomputeMs: number;
	/** Price of computing a new prefix away from its home. */
	awayMs: number;
}>;

/** A target with the terms of its rank. */
export type Candidate = PlacementTerms & Readonly<{
	target: Target;
	/** Tokens believed to be cached there. */
	cachedTokens: number;
	/** Those of them that rest on evidence from before a gap in its events. */
	suspectTokens: number;
	/** Piece keys to import from the kept store where the target does not have them cached. */
	importKeys: readonly string[];
	/** Whether the target is a home of the prompt's prefix. */
	home: boolean;
	/** Sum of all terms. */
	totalMs: number;
}>;

type Prepared = Readonly<{target: Target; load: LoadTerms; cached: number; suspect: number; pieces: number}>;

/** A chain's keys as words, and the tokens of its first pieces by their number. */
type ParsedChain = Readonly<{words: KeyWords; sums: readonly number[]}>;

/** What the candidates of one query have in common. */
type Context = Readonly<{
	query: PlacementQuery;
	/** Tokens of the first pieces, by their number. */
	sums: readonly number[];
	/** Most tokens that any candidate has cached. */
	bestCached: number;
	/** Leading pieces that the kept store is believed to hold. */
	keptPieces: number;
	homes: ReadonlySet<string>;
	/** Price of a recomputed millisecond of prefill, in milliseconds. */
	recomputePrice: number;
}>;

const otherZoneMs = 3;
const suspectTrust = 0.5;
const importTokensPerMs = 40;
const awayPrice = 0.25;
const leastRecomputePrice = 1;
const mostRecomputePrice = 4;
const fullQueueMs = 500;
const nearMs = 5;
const nearShare = 0.05;

/**
 * Ranks all eligible targets, best first. Among those whose totals are nearly
 * equal the prompt's own hash picks the first one, so that instances with the
 * same lagging reports do not all choose the same one, while copies of one
 * request that arrive at several instances meet on one target.
 *
 * @returns an empty list when no target may be chosen
 */
export function chooseTarget(query: PlacementQuery): readonly Candidate[] {
	const ranked = rankCandidates(query, findEligible(query)).toSorted((a, b) => a.totalMs - b.totalMs);
	const best = ranked[0];
	if (!best) {
		return ranked;
	}

	const limitMs = best.totalMs + Math.max(nearMs, best.totalMs * nearShare);
	let near = ranked.findIndex(({totalMs}) => totalMs > limitMs);
	near = near === -1 ? ranked.length : near;
	const first = pickNear(query, ranked.slice(0, near));
	return first === 0 ? ranked : [ranked[first]!, ...ranked.slice(0, first), ...ranked.slice(first + 1)];
}

/** Index of the candidate to put first; by chance where there is no prompt. */
function pickNear({chain, random}: PlacementQuery, near: readonly Candidate[]): number {
	const prompt = chain?.keys.at(-1);
	if (prompt === undefined) {
		return random.below(near.length);
	}

	const [home] = pickHomes(near.map(({target}) => target.name), prompt, {count: 1, getLoad: () => 0});
	return Math.max(0, near.findIndex(({target}) => target.name === home));
}

/** Rates all eligible targets, in the order of the pool. */
export function rankCandidates(query: PlacementQuery, {targets}: Eligibility): readonly Candidate[] {
	const parsed = parseChain(query.chain);
	const {words, sums} = parsed;
	const prepared = targets.map(target => prepare(query, target, parsed));
	const context: Context = {
		query, sums, bestCached: Math.max(0, ...prepared.map(({cached}) => cached)),
		keptPieces: query.pool.keptStore === undefined ? 0 : query.views.matchKept(words),
		homes: findHomes(query, prepared), recomputePrice: computeRecomputePrice(prepared),
	};
	return prepared.map(item => rate(context, item));
}

/** The key by whose hash a prompt's home is found: the end of its second message, or of the first of two. */
export function getAffinityKey(chain: PromptChain): string {
	const level = Math.min(2, Math.max(1, chain.ends.length - 1));
	return chain.keys[(chain.ends[level - 1] ?? 1) - 1] ?? '';
}

function parseChain(chain: PromptChain | undefined): ParsedChain {
	const sums = [0];
	for (const tokens of chain?.tokens ?? []) {
		sums.push(sums.at(-1)! + tokens);
	}

	return {words: parseKeys(chain?.keys ?? []), sums};
}

function prepare(query: PlacementQuery, target: Target, {words, sums}: ParsedChain): Prepared {
	const view = query.views.get(target.name);
	const {pieces, suspect} = view.match(words);
	return {
		target, load: estimateLoad(view, query.pool.slots, query.nowMs), pieces,
		cached: sums[pieces]!, suspect: sums[pieces]! - sums[pieces - suspect]!,
	};
}

function findHomes({chain, replicas}: PlacementQuery, prepared: readonly Prepared[]): ReadonlySet<string> {
	if (!chain) {
		return new Set();
	}

	const loads = new Map(prepared.map(({target, load}) => [target.name, load.queueMs + load.slotMs]));
	return new Set(pickHomes([...loads.keys()], getAffinityKey(chain), {count: replicas, getLoad: name => loads.get(name)!}));
}

/** The price rises with the pool's mean queue: recomputation delays everything that waits behind it. */
function computeRecomputePrice(prepared: readonly Prepared[]): number {
	const sum = prepared.reduce((total, {load}) => total + load.queueMs, 0);
	const fullness = Math.min(1, sum / Math.max(1, prepared.length) / fullQueueMs);
	return leastRecomputePrice + ((mostRecomputePrice - leastRecomputePrice) * fullness);
}

function rate(context: Context, {target, load, cached, suspect, pieces}: Prepared): Candidate {
	const {query, sums, bestCached, homes, keptPieces} = context;
	const {chain} = query;
	const total = sums.at(-1)!;
	const trusted = cached - (suspect * (1 - suspectTrust));
	const importKeys = query.pool.keptStore === undefined ? [] : chain?.keys ?? [];
	const imported = Math.max(0, sums[keptPieces]! - cached);
	const speed = load.prefillTokensPerMs;
	const home = homes.has(target.name);
	const missing = Math.max(0, bestCached - cached);
	const importedAgain = Math.min(imported, missing);
	const novel = Math.max(0, total - Math.max(bestCached, cached + imported));
	const {queueMs, slotMs} = load;
	const prefillMs = (total - trusted - imported) / speed;
	const importMs = imported / importTokensPerMs;
	const distanceMs = target.zone === query.zone ? 0 : otherZoneMs;
	const recomputeMs = context.recomputePrice * (((missing - importedAgain) / speed) + (importedAgain / importTokensPerMs));
	const awayMs = home ? 0 : awayPrice * novel / speed;
	return {
		target, cachedTokens: cached, suspectTokens: suspect, importKeys, home, queueMs, slotMs, prefillMs, importMs, distanceMs,
		recomputeMs, awayMs, totalMs: queueMs + slotMs + prefillMs + importMs + distanceMs + recomputeMs + awayMs,
	};
}
