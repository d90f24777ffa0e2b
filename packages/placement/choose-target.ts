/**
 * Ranks the targets of a pool for a request by the expected time to first token
 * plus the costs of the choice to the pool: recomputation of a prefix that another
 * target has cached, and computation of a new prefix away from its home targets,
 * which are the targets that rendezvous hashing assigns to the prefix.
 */
import type {PromptChain} from './chain.ts';
import {findEligible, type Eligibility, type EligibilityQuery} from './eligibility.ts';
import {parseKeys, type KeyWords} from './_key-table.ts';
import {estimateLoad, type LoadEstimate} from './_estimate-load.ts';
import {chooseHomes} from './rendezvous.ts';
import type {Random, Target} from '#core';

/** The input of a choice. */
export type PlacementQuery = EligibilityQuery & Readonly<{
	/** Absent for plain services. */
	chain?: PromptChain;
	/** This instance's availability zone. */
	zone: string;
	random: Random;
	/** Current time on the instance's monotonic clock, in milliseconds. */
	nowMs: number;
	/** Number of home targets of the prompt's prefix, which depends on its request rate. Default: 1. */
	homeCount?: number;
}>;

/** The terms whose sum ranks a target, each in milliseconds. */
export type PlacementTerms = Readonly<{
	/** Wait for the prefill of earlier prompts. */
	queueMs: number;
	/** Wait for a slot in the batch. */
	slotMs: number;
	/** Prefill of the tokens that are neither cached nor imported. */
	prefillMs: number;
	/** Import from the KV cache store. */
	importMs: number;
	/** Extra network time if the target is in another availability zone. */
	distanceMs: number;
	/** Cost to the pool of recomputing or importing tokens that another target has cached. */
	recomputeMs: number;
	/** Cost to the pool of computing a new prefix on a target that is not its home. */
	awayMs: number;
}>;

/** A target with the terms that rank it. */
export type Candidate = PlacementTerms & Readonly<{
	target: Target;
	/** Tokens of the prompt that are believed to be cached on the target. */
	cachedTokens: number;
	/** The part of `cachedTokens` that was last confirmed before cache events were lost. */
	suspectTokens: number;
	/** Piece keys that the target imports from the KV cache store if it does not have them cached. */
	importKeys: readonly string[];
	/** Whether the target is a home of the prompt's prefix. */
	home: boolean;
	/** Sum of all terms. */
	totalMs: number;
}>;

/** The load of a target, and the part of the prompt that is believed to be cached there. */
type TargetEstimate = Readonly<{target: Target; load: LoadEstimate; cachedTokens: number; suspectTokens: number; pieces: number}>;

/** The keys of a chain as words, and the number of tokens in its first `n` pieces at index `n`. */
type ParsedChain = Readonly<{words: KeyWords; prefixTokens: readonly number[]}>;

/** Values that all candidates of one query share. */
type RankingContext = Readonly<{
	query: PlacementQuery;
	/** Number of tokens in the first `n` pieces of the chain, at index `n`. */
	prefixTokens: readonly number[];
	/** Largest number of tokens that any candidate has cached. */
	maxCachedTokens: number;
	/** Number of leading pieces that the KV cache store is believed to hold. */
	storedPieces: number;
	homes: ReadonlySet<string>;
	/** Cost of one millisecond of repeated prefill, in milliseconds. */
	recomputePrice: number;
}>;

const crossZoneMs = 3;
/** Fraction of the suspect tokens that counts as cached. */
const suspectWeight = 0.5;
const importTokensPerMs = 40;
/** Cost of one millisecond of new prefill away from a home, in milliseconds. */
const awayPrice = 0.25;
const minRecomputePrice = 1;
const maxRecomputePrice = 4;
/** Mean queue of a pool at which the cost of repeated prefill reaches its maximum. */
const fullQueueMs = 500;
/** Totals within this distance of the lowest one, or within `nearTieRatio` of it if that is more, count as nearly equal. */
const nearTieMs = 5;
const nearTieRatio = 0.05;

/**
 * Ranks all eligible targets, best first. Among targets with nearly equal totals
 * the hash of the prompt chooses the first one: instances that have the same
 * outdated reports spread different prompts over these targets, and copies of one
 * request that arrive at several instances go to the same target.
 *
 * @returns an empty list if no target is eligible
 */
export function chooseTarget(query: PlacementQuery): readonly Candidate[] {
	const ranked = computeCandidates(query, findEligible(query)).toSorted((a, b) => a.totalMs - b.totalMs);
	const best = ranked[0];
	if (!best) {
		return ranked;
	}

	const limitMs = best.totalMs + Math.max(nearTieMs, best.totalMs * nearTieRatio);
	let nearTieCount = ranked.findIndex(({totalMs}) => totalMs > limitMs);
	nearTieCount = nearTieCount === -1 ? ranked.length : nearTieCount;
	const firstIndex = chooseNearTieIndex(query, ranked.slice(0, nearTieCount));
	return firstIndex === 0 ? ranked : [ranked[firstIndex]!, ...ranked.slice(0, firstIndex), ...ranked.slice(firstIndex + 1)];
}

/** Chooses the index of the candidate to put first; at random if the request has no prompt. */
function chooseNearTieIndex({chain, random}: PlacementQuery, nearTies: readonly Candidate[]): number {
	const promptKey = chain?.keys.at(-1);
	if (promptKey === undefined) {
		return random.integerBelow(nearTies.length);
	}

	const [chosen] = chooseHomes(nearTies.map(({target}) => target.name), promptKey, {count: 1, getLoad: () => 0});
	return Math.max(0, nearTies.findIndex(({target}) => target.name === chosen));
}

/** Computes the terms of all eligible targets, in the order of the pool. */
export function computeCandidates(query: PlacementQuery, {targets}: Eligibility): readonly Candidate[] {
	const parsed = parseChain(query.chain);
	const {words, prefixTokens} = parsed;
	const estimates = targets.map(target => estimateTarget(query, target, parsed));
	const context: RankingContext = {
		query, prefixTokens, maxCachedTokens: Math.max(0, ...estimates.map(({cachedTokens}) => cachedTokens)),
		storedPieces: query.pool.keptStore === undefined ? 0 : query.views.countStoredPieces(words),
		homes: findHomes(query, estimates), recomputePrice: computeRecomputePrice(estimates),
	};
	return estimates.map(estimate => computeCandidate(context, estimate));
}

/**
 * Returns the key that determines the homes of a prompt: the key at the end of its
 * second message, or of its first message if there are fewer than three. Prompts
 * with the same key are assigned the same homes, whatever messages follow.
 */
export function getAffinityKey(chain: PromptChain): string {
	const messageCount = Math.min(2, Math.max(1, chain.messageEnds.length - 1));
	return chain.keys[(chain.messageEnds[messageCount - 1] ?? 1) - 1] ?? '';
}

function parseChain(chain: PromptChain | undefined): ParsedChain {
	const prefixTokens = [0];
	for (const tokens of chain?.tokens ?? []) {
		prefixTokens.push(prefixTokens.at(-1)! + tokens);
	}

	return {words: parseKeys(chain?.keys ?? []), prefixTokens};
}

function estimateTarget(query: PlacementQuery, target: Target, {words, prefixTokens}: ParsedChain): TargetEstimate {
	const view = query.views.get(target.name);
	const {pieces, suspect} = view.findCachedPrefix(words);
	return {
		target, load: estimateLoad(view, query.pool.slots, query.nowMs), pieces,
		cachedTokens: prefixTokens[pieces]!, suspectTokens: prefixTokens[pieces]! - prefixTokens[pieces - suspect]!,
	};
}

function findHomes({chain, homeCount}: PlacementQuery, estimates: readonly TargetEstimate[]): ReadonlySet<string> {
	if (!chain) {
		return new Set();
	}

	const loads = new Map(estimates.map(({target, load}) => [target.name, load.queueMs + load.slotMs]));
	return new Set(chooseHomes([...loads.keys()], getAffinityKey(chain), {count: homeCount, getLoad: name => loads.get(name)!}));
}

/** Computes the cost of repeated prefill. It rises with the pool's mean queue, because recomputation delays all requests that wait behind it. */
function computeRecomputePrice(estimates: readonly TargetEstimate[]): number {
	const totalQueueMs = estimates.reduce((sum, {load}) => sum + load.queueMs, 0);
	const fullness = Math.min(1, totalQueueMs / Math.max(1, estimates.length) / fullQueueMs);
	return minRecomputePrice + ((maxRecomputePrice - minRecomputePrice) * fullness);
}

function computeCandidate(context: RankingContext, {target, load, cachedTokens, suspectTokens, pieces}: TargetEstimate): Candidate {
	const {query, prefixTokens, maxCachedTokens, homes, storedPieces} = context;
	const {chain} = query;
	const totalTokens = prefixTokens.at(-1)!;
	const trustedTokens = cachedTokens - (suspectTokens * (1 - suspectWeight));
	const importKeys = query.pool.keptStore === undefined ? [] : chain?.keys ?? [];
	const importedTokens = Math.max(0, prefixTokens[storedPieces]! - cachedTokens);
	const tokensPerMs = load.prefillTokensPerMs;
	const home = homes.has(target.name);
	// Tokens that another candidate has cached and this one has not, and the part of them that it imports.
	const missingTokens = Math.max(0, maxCachedTokens - cachedTokens);
	const reimportedTokens = Math.min(importedTokens, missingTokens);
	// Tokens that neither a candidate nor the KV cache store holds.
	const newTokens = Math.max(0, totalTokens - Math.max(maxCachedTokens, cachedTokens + importedTokens));
	const {queueMs, slotMs} = load;
	const prefillMs = (totalTokens - trustedTokens - importedTokens) / tokensPerMs;
	const importMs = importedTokens / importTokensPerMs;
	const distanceMs = target.zone === query.zone ? 0 : crossZoneMs;
	const recomputeMs = context.recomputePrice * (((missingTokens - reimportedTokens) / tokensPerMs) + (reimportedTokens / importTokensPerMs));
	const awayMs = home ? 0 : awayPrice * newTokens / tokensPerMs;
	return {
		target, cachedTokens, suspectTokens, importKeys, home, queueMs, slotMs, prefillMs, importMs, distanceMs,
		recomputeMs, awayMs, totalMs: queueMs + slotMs + prefillMs + importMs + distanceMs + recomputeMs + awayMs,
	};
}
