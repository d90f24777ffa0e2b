/**
 * Chooses the target of an attempt: by the expected time to the answer's
 * beginning, with a price for old weights and for leaving the own availability
 * zone. A function of read-only data, so that loads can be tried on it alone.
 */
import type {PlacedParts} from './placed-parts.ts';
import type {TargetState} from './target-state.ts';
import type {
	EngineTraits, Prompt, PromptPart, Random,
} from '#core';
import {pickHomes} from '#placement';

/** A version of a model's weights that was named. */
export type NamedVersion = Readonly<{
	version: number;
	/** Time since it was named, as far as this instance knows, in milliseconds. */
	ageMs: number;
}>;

/** Versions that were named for a model, the oldest first. Weights are out of date since the first one that is newer was named. */
export type NamedWeights = readonly NamedVersion[];

/** What a choice depends on. */
export type TargetQuery = Readonly<{
	targets: readonly TargetState[];
	/** Identities that must not be chosen. */
	excluded: ReadonlySet<string>;
	/** Present where the pool's targets are engines. */
	engine: EngineTraits | undefined;
	prompt: Prompt | undefined;
	/** Scope within which cached parts of the prompt may be shared. */
	cacheScope: string | undefined;
	/** Urgency that the engine is told; 0 is the most urgent. */
	urgency: number;
	/** Absent where none were named for the prompt's model. */
	named: NamedWeights | undefined;
	/** Time after which no request may begin on older weights, in milliseconds. */
	weightsMs: number;
	placed: PlacedParts;
	/** This instance's availability zone. */
	zone: string;
	/** This instance's share of the connections that a target accepts. */
	mostConnections: number;
	nowMs: number;
	random: Random;
}>;

/** A chosen target and what the choice assumes. */
export type TargetChoice = Readonly<{
	state: TargetState;
	/** Expected time until the target turns to the request, in milliseconds. */
	queueMs: number;
	/** Expected time until the answer begins, in milliseconds. */
	waitMs: number;
	/** The same with the prices of the choice. */
	costMs: number;
	/** Prompt tokens that the target is expected to read. */
	unreadTokens: number;
	/** Version of the weights that the target is believed to serve; absent where it is not known. */
	weights: number | undefined;
	/** Scope of cached parts under these weights. */
	cacheScope: string | undefined;
	/** Target from which parts of the prompt can be fetched. */
	source: TargetState | undefined;
	/** Keys under which the prompt's shared parts are remembered, outermost first. */
	partKeys: readonly string[];
}>;

/** Why no target could be chosen. */
export type NoTarget = 'none_listed' | 'old_weights' | 'connections_used';

/** Way to another availability zone and back, with the price of the bytes, in milliseconds. */
const otherZoneMs = 4;

/** Part of a request's time by which each other one in progress on an engine delays it, in milliseconds. */
const neighbourMs = 3;

/** Delay of a request for which no slot is free, for each one ahead of it, in milliseconds. */
const slotWaitMs = 50;

/** Price of a target other than those that hold the prompt's parts, in milliseconds: a copy takes memory there. */
const awayMs = 50;

/** Time to begin a fetch of cached parts, in milliseconds. */
const fetchStartMs = 2;

/** Time for which older weights cost nothing, in milliseconds; a fifth of a request's worth is lost after 1.5 s. */
const freeWeightsMs = 1300;

/** Price of older weights after that time, in milliseconds: about a fifth of the time in which an answer keeps its worth. */
const oldWeightsMs = 300;

/** Time before the bound at which older weights are not used any more, beside the expected wait, in milliseconds: requests wait longer than expected, too. */
const weightsMarginMs = 1500;

/** Span of chance between plain targets, in milliseconds, so that instances with the same view do not all choose the same one. */
const jitterMs = 2;

const bitsPerByte = 8;
const bitsPerMbpsMs = 1000;

/** Chooses a target. */
export function chooseRelayTarget(query: TargetQuery): TargetChoice | NoTarget {
	const listed = query.targets.filter(({target, isGone}) => !target.isLeaving && !isGone && !query.excluded.has(target.id));
	const current = listed.filter(state => !isTooOld(query, state));
	if (current.length === 0) {
		return listed.length > 0 ? 'old_weights' : 'none_listed';
	}

	const reachable = current.filter(({connections}) => connections.canStart(query.mostConnections));
	if (reachable.length === 0) {
		return 'connections_used';
	}

	const ready = preferIf(reachable, ({loadingUntilMs}) => loadingUntilMs <= query.nowMs);
	const open = preferIf(ready, ({suspectUntilMs}) => suspectUntilMs <= query.nowMs);
	const rate = query.prompt && query.engine ? ratePrompt(query, query.prompt, query.engine) : (state: TargetState) => ratePlain(query, state);
	let best: TargetChoice | undefined;
	for (const state of open) {
		const choice = rate(state);
		if (!best || choice.costMs < best.costMs) {
			best = choice;
		}
	}

	return best!;
}

/** Those that pass, or all where none does. */
function preferIf(states: readonly TargetState[], passes: (state: TargetState) => boolean): readonly TargetState[] {
	const passing = states.filter(state => passes(state));
	return passing.length > 0 ? passing : states;
}

function readWeights({prompt}: TargetQuery, state: TargetState): number | undefined {
	return prompt && state.weights.get(prompt.model);
}

/** Time since weights are out of date, in milliseconds; nothing where they are not. */
function readLagMs({named}: TargetQuery, weights: number | undefined): number | undefined {
	return weights === undefined ? undefined : named?.find(({version}) => version > weights)?.ageMs;
}

function isTooOld(query: TargetQuery, state: TargetState): boolean {
	const lagMs = readLagMs(query, readWeights(query, state));
	if (lagMs === undefined) {
		return false;
	}

	const waitMs = state.sumWork(query.nowMs, query.urgency).tokens * state.msPerToken;
	return lagMs + waitMs > query.weightsMs - weightsMarginMs;
}

/** A target that is no engine: its queue, its own pace and the way. */
function ratePlain({zone, nowMs, random}: TargetQuery, state: TargetState): TargetChoice {
	const requests = state.countRequests(nowMs);
	const {slots} = state.target;
	const queueMs = Math.max(0, requests + 1 - slots) * state.serviceMs / Math.max(1, slots);
	// A target slows down as its last slots fill, hardly before.
	const fullness = Math.min(1, requests / Math.max(1, slots)) ** 2;
	const waitMs = queueMs + state.serviceMs;
	return {
		state, queueMs, waitMs, costMs: waitMs + (state.serviceMs * fullness / 2) + computeWayMs(zone, state) + (random.next() * jitterMs),
		unreadTokens: 0, weights: undefined, cacheScope: undefined, source: undefined, partKeys: [],
	};
}

function computeWayMs(zone: string, {target}: TargetState): number {
	return target.zone === zone ? 0 : otherZoneMs;
}

/** Where cached parts of one prompt are, under one version of the weights. */
type PartView = Readonly<{
	keys: readonly string[];
	parts: readonly PromptPart[];
	/** The target that each part is read on where nothing else is known, by rendezvous hash. */
	homes: readonly string[];
	/** Home of the part with the most tokens: what is shared there saves most. */
	affinity: string | undefined;
}>;

/** Prepares the rating of an engine for a prompt. */
function ratePrompt(query: TargetQuery, prompt: Prompt, engine: EngineTraits): (state: TargetState) => TargetChoice {
	const views = new Map<number | undefined, PartView>();
	const stable = query.targets.filter(({target}) => !target.isLeaving);
	const names = stable.map(({target}) => target.id);
	const viewParts = (weights: number | undefined): PartView => {
		let view = views.get(weights);
		if (!view) {
			view = makePartView(query, prompt, names, weights);
			views.set(weights, view);
		}

		return view;
	};

	return state => {
		const weights = readWeights(query, state);
		const view = viewParts(weights);
		const kept = countKept(query, view, state);
		const source = kept < view.parts.length ? findSource(query, view, state, kept) : undefined;
		const keptTokens = sumTokens(view.parts, 0, kept);
		const fetchedTokens = source ? sumTokens(view.parts, kept, source.depth) : 0;
		const unreadTokens = Math.max(0, prompt.inputTokens - keptTokens - fetchedTokens);
		const {requests, tokens} = state.sumWork(query.nowMs, query.urgency);
		const queueMs = (tokens * state.msPerToken) + (Math.max(0, requests + 1 - engine.slots) * slotWaitMs);
		const waitMs = queueMs + (unreadTokens * state.msPerToken) + computeFetchMs(engine, fetchedTokens);
		const costMs = waitMs
			+ (requests * neighbourMs)
			+ (kept === view.parts.length || view.affinity === state.target.id ? 0 : awayMs)
			+ computeWayMs(query.zone, state)
			+ ((readLagMs(query, weights) ?? 0) > freeWeightsMs ? oldWeightsMs : 0);
		return {
			state, queueMs, waitMs, costMs, unreadTokens, weights, cacheScope: makeScope(query, weights), source: source?.state, partKeys: view.keys,
		};
	};
}

/** Parts made under one version never serve another: the version is part of the scope. */
function makeScope({cacheScope}: TargetQuery, weights: number | undefined): string | undefined {
	return cacheScope === undefined || weights === undefined ? cacheScope : `${cacheScope} ${weights}`;
}

function makePartView(query: TargetQuery, prompt: Prompt, names: readonly string[], weights: number | undefined): PartView {
	const parts = prompt.parts.slice(0, -1);
	const scope = makeScope(query, weights) ?? '';
	const keys = parts.map(({key}) => `${scope}/${key}`);
	const homes = parts.map(({key}) => pickHomes(names, key)[0] ?? '');
	return {
		keys, parts, homes, affinity: homes[findLargest(parts)],
	};
}

/** Leading parts that the target is believed to have cached. */
function countKept({placed, nowMs}: TargetQuery, {keys}: PartView, {target}: TargetState): number {
	let kept = 0;
	while (kept < keys.length && placed.has(keys[kept]!, target.incarnation, nowMs)) {
		kept++;
	}

	return kept;
}

type Source = Readonly<{state: TargetState; depth: number}>;

/** Another target that is believed to have more of the prompt cached: one that this instance sent it to, or the home of its innermost part. */
function findSource(query: TargetQuery, view: PartView, state: TargetState, kept: number): Source | undefined {
	const {placed, nowMs, targets} = query;
	const isUsable = (other: TargetState | undefined): other is TargetState => other !== undefined && other !== state
		&& other.loadingUntilMs <= nowMs && other.suspectUntilMs <= nowMs && readWeights(query, other) === readWeights(query, state);
	for (let depth = view.parts.length; depth > kept; depth--) {
		const holders = placed.listHolders(view.keys[depth - 1]!, nowMs);
		const holder = targets.find(other => holders.includes(other.target.incarnation) && isUsable(other));
		const home = targets.find(({target}) => target.id === view.homes[depth - 1]);
		const source = holder ?? (isUsable(home) ? home : undefined);
		if (source) {
			return {state: source, depth};
		}
	}

	return undefined;
}

function findLargest(parts: readonly PromptPart[]): number {
	let largest = 0;
	for (const [index, {tokens}] of parts.entries()) {
		largest = tokens > parts[largest]!.tokens ? index : largest;
	}

	return largest;
}

function sumTokens(parts: readonly PromptPart[], from: number, to: number): number {
	let sum = 0;
	for (let index = from; index < to; index++) {
		sum += parts[index]!.tokens;
	}

	return sum;
}

function computeFetchMs({bytesPerToken, linkMbps}: EngineTraits, tokens: number): number {
	return tokens === 0 ? 0 : fetchStartMs + (tokens * bytesPerToken * bitsPerByte / (linkMbps * bitsPerMbpsMs));
}
