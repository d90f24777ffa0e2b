/**
 * Chooses the target of an attempt by its cost: the expected time until the
 * answer starts, plus cost terms, such as for stale weights or for another
 * availability zone. The choice only reads its input, except that limits which
 * targets state are brought up to date, so that tests can simulate loads without
 * sending requests.
 */
import {
	computeRoomWaitMs, estimateOccupancy, hasRoom, slotWaitMs, type EngineOccupancy,
} from './engine-room.ts';
import {
	createPartLayout, findCachedSource, sumTokens, type PartLayout,
} from './_part-layout.ts';
import {chooseCheapest} from './_spread-choice.ts';
import type {NoTarget, TargetChoice, TargetQuery} from './target-choice.ts';
import type {TargetState} from './target-state.ts';
import type {EngineTraits, Prompt} from '#core';

export type {
	NoTarget, PublishedVersion, PublishedVersions, TargetChoice, TargetQuery,
} from './target-choice.ts';

/** Cost of a target in another availability zone, in milliseconds: the round trip and the price of the traffic. */
const crossZoneCostMs = 4;

/** Delay of a request by each other request in progress on the engine, in milliseconds. */
const concurrentRequestMs = 3;

/** Cost of a target that does not have all of the prompt's parts cached and is not their preferred home, in milliseconds: a further copy takes up cache memory there. */
const duplicateCacheMs = 50;

/** Cost of the second home of the parts, in milliseconds, so that the requests for which the first has no room meet on one engine. */
const secondHomeMs = 25;

/** Mean wait at the targets for which reading a shared part again costs once more its time, in milliseconds, and the maximum of that cost, in multiples of the time: the longer the queues, the more requests wait for it. */
const rereadPriceStepMs = 50;
const maxRereadPrice = 5;

/** Factor by which a fetch from another availability zone takes longer. */
const crossZoneFetchFactor = 2;

/** Part of the tokens that a home or a store is expected to have, if this instance does not know. */
const likelyCachedRatio = 0.5;

/** Fixed time of a fetch of cached parts, in milliseconds. */
const fetchStartMs = 2;

/** Time for which stale weights cost nothing, in milliseconds. It is shorter than 1.5 s, as an answer from weights that have been stale for that time loses a fifth of its value. */
const staleWeightsGraceMs = 1300;

/** Cost of stale weights after that time, in milliseconds. As the answer loses a fifth of its value, this is about a fifth of the time for which an answer keeps its value. */
const staleWeightsCostMs = 300;

/** Margin by which the expected start must precede the limit for stale weights, in milliseconds: requests may wait longer than expected, and this instance may have learned late of the newer weights. */
const staleWeightsMarginMs = 2500;

/** Range of the random cost added to plain services, in milliseconds, so that instances with the same data do not all choose the same service. */
const jitterMs = 2;

/** Cost of a target without room at its pace whose answers were late, in milliseconds; less than that of the second home of a prompt's parts, so that it does not cause a further copy. */
const lateCostMs = 15;

/** Time in which a load that a target stated counts for a third, in milliseconds. */
const statedLoadMs = 1000;

const bitsPerByte = 8;
/** Bits that a link of 1 Mbit/s transfers in a millisecond. */
const bitsPerMbpsMs = 1000;

/** Chooses the target with the lowest cost, or returns why there is none. */
export function chooseRelayTarget(query: TargetQuery): TargetChoice | NoTarget {
	const listed = query.targets.filter(({target, isLeaving, isReplaced}) => !isLeaving && !isReplaced && !query.excluded.has(target.id));
	const fitting = listed.filter(({target}) => query.softwareVersion === undefined || target.softwareVersion === query.softwareVersion);
	if (fitting.length === 0) {
		return listed.length > 0 ? 'other_software' : 'none_listed';
	}

	const usable = fitting.filter(state => !isTooStale(query, state));
	if (usable.length === 0) {
		return 'old_weights';
	}

	const reachable = usable.filter(({isUnreachable, connections}) => !isUnreachable || connections.hasIdle);
	if (reachable.length === 0) {
		return 'unreachable';
	}

	const startable = reachable.filter(({connections}) => connections.canStart(query.maxConnections));
	if (startable.length === 0) {
		return 'connections_used';
	}

	const permitted = startable.filter(state => computeSendDelayMs(query, state) === 0);
	if (permitted.length === 0) {
		return 'limits_reached';
	}

	const welcoming = preferIf(permitted, ({statements}) => statements.computeAvoidanceMs(query.nowMs) === 0);
	const ready = preferIf(welcoming, ({loadingUntilMs}) => loadingUntilMs <= query.nowMs);
	const responsive = preferIf(ready, ({suspectUntilMs}) => suspectUntilMs <= query.nowMs);
	const {prompt, engine, isRationed} = query;
	const paced = preferIf(responsive, state => state.pace.isMild || hasRoomAtPace(query, state));
	const roomy = prompt && engine && isRationed ? preferIf(paced, state => hasRoom(getOccupancy(query, state, engine), engine, prompt)) : paced;
	const createChoice = prompt && engine ? prepareEngineChoices(query, prompt, engine) : prepareServiceChoices(query);
	const choices = roomy.map(state => createChoice(state));
	return chooseCheapest(query, isRationed ? addRereadCosts(choices) : choices);
}

/** Adds to each cost that of reading shared parts again, which is the higher the longer the queues are: more requests wait for it. */
function addRereadCosts(choices: readonly TargetChoice[]): readonly TargetChoice[] {
	let sumQueueMs = 0;
	for (const {queueMs} of choices) {
		sumQueueMs += queueMs;
	}

	const price = Math.min(maxRereadPrice, sumQueueMs / choices.length / rereadPriceStepMs);
	return price === 0 ? choices : choices.map(choice => ({...choice, costMs: choice.costMs + (choice.rereadMs * price)}));
}

/** Computes the time until this instance may send a request to a target by what the target states, in milliseconds. */
export function computeSendDelayMs({getLimitSharing, nowMs}: Pick<TargetQuery, 'getLimitSharing' | 'nowMs'>, {statements, target, inFlight}: TargetState): number {
	return statements.computeDelayMs(() => getLimitSharing(target), {inFlight, slots: target.slots}, nowMs);
}

/** Whether this instance may have one more request in progress on a target that is finding its pace. */
function hasRoomAtPace({getLimitSharing, nowMs}: TargetQuery, {pace, target, inFlight}: TargetState): boolean {
	return pace.window === Infinity || inFlight < pace.computeLimit(getLimitSharing(target).instances, target.slots, nowMs);
}

/** Computes the cost of a target whose answers were late, in milliseconds. */
function computeLateCostMs(query: TargetQuery, state: TargetState): number {
	return state.pace.isMild && !hasRoomAtPace(query, state) ? lateCostMs : 0;
}

/** Returns the targets that pass, or all if none does. */
function preferIf(states: readonly TargetState[], passes: (state: TargetState) => boolean): readonly TargetState[] {
	const passing = states.filter(state => passes(state));
	return passing.length > 0 ? passing : states;
}

/** Returns the version that the target serves as far as known. Where nothing is known, the newest one is stated with the request, so that a target with another one refuses it. */
function getWeights({prompt, publishedVersions}: TargetQuery, state: TargetState): number | undefined {
	return prompt && (state.weights.get(prompt.model) ?? publishedVersions?.at(-1)?.version);
}

/** Returns the time for which weights have been stale, in milliseconds, or `undefined` if they are not stale. */
function getStalenessMs({publishedVersions}: TargetQuery, weights: number | undefined): number | undefined {
	return weights === undefined ? undefined : publishedVersions?.find(({version}) => version > weights)?.ageMs;
}

function isTooStale(query: TargetQuery, state: TargetState): boolean {
	const stalenessMs = getStalenessMs(query, getWeights(query, state));
	if (stalenessMs === undefined) {
		return false;
	}

	const queue = estimateQueue(query, state, state.sumWork(query.nowMs, query.urgency), state.speed.getMsPerToken(query.nowMs));
	return stalenessMs + computeWaitMs(query, state, queue) > query.maxStaleWeightsMs - staleWeightsMarginMs;
}

/** What a prompt waits for at an engine: work that takes so long at the lasting speed, and room that is free after some time at any speed; both in milliseconds. */
type EngineQueue = Readonly<{lastingMs: number; roomMs: number}>;

function estimateQueue({engine, nowMs, urgency, isRationed}: TargetQuery, state: TargetState, {requests, tokens}: ReturnType<TargetState['sumWork']>, msPerToken: number): EngineQueue {
	const lastingMs = tokens * msPerToken;
	if (!isRationed) {
		return {lastingMs: lastingMs + (Math.max(0, requests + 1 - (engine?.slots ?? Infinity)) * slotWaitMs), roomMs: 0};
	}

	return {lastingMs, roomMs: engine ? computeRoomWaitMs(estimateOccupancy(state, requests, engine, {urgency, nowMs}), state, engine) : 0};
}

/** Computes the time until an engine has finished its queue and then `readMs` of reading at the lasting speed, in milliseconds. A slow spell ends in the meantime. */
function computeWaitMs({nowMs}: TargetQuery, {speed}: TargetState, {lastingMs, roomMs}: EngineQueue, readMs = 0): number {
	return Math.max(speed.computeMs(lastingMs + readMs, nowMs), roomMs + speed.computeMs(readMs, nowMs));
}

function getOccupancy({nowMs, urgency}: TargetQuery, state: TargetState, engine: EngineTraits): EngineOccupancy {
	return estimateOccupancy(state, state.sumWork(nowMs, urgency).requests, engine, {urgency, nowMs});
}

/** Returns a function that creates the choice of one plain service. */
function prepareServiceChoices(query: TargetQuery): (state: TargetState) => TargetChoice {
	const typicalMs = computeTypicalMs(query, 'service');
	return state => createServiceChoice(query, state, typicalMs);
}

/** Computes the mean lasting time of the targets that state how fast they work: the expectation for those that are not measured yet, which would otherwise be left out. */
function computeTypicalMs({targets, nowMs}: TargetQuery, kind: 'token' | 'service'): number | undefined {
	let sumMs = 0;
	let count = 0;
	for (const {speed} of targets) {
		if (speed.isStated && speed.isMeasured(kind)) {
			sumMs += kind === 'token' ? speed.getMsPerToken(nowMs) : speed.getServiceMs(nowMs);
			count++;
		}
	}

	return count > 0 ? sumMs / count : undefined;
}

/** Creates the choice of a plain service; its queue, its service time and its availability zone determine the cost. */
function createServiceChoice(query: TargetQuery, state: TargetState, typicalMs: number | undefined): TargetChoice {
	const {zone, nowMs, random} = query;
	const requests = state.countRequests(nowMs);
	const {slots} = state.target;
	const serviceMs = state.speed.getServiceMs(nowMs, typicalMs);
	const lastingQueueMs = Math.max(0, requests + 1 - slots) * serviceMs / Math.max(1, slots);
	const queueMs = state.speed.computeMs(lastingQueueMs, nowMs);
	// A service slows down as its last slots fill, and hardly before.
	const utilization = Math.min(1, requests / Math.max(1, slots)) ** 2;
	const waitMs = state.speed.computeMs(lastingQueueMs + serviceMs, nowMs);
	return {
		state, queueMs, waitMs, costMs: waitMs + (serviceMs * utilization / 2) + computeZoneCostMs(zone, state) + computeLateCostMs(query, state) + (random.next() * jitterMs),
		rereadMs: 0, unreadTokens: 0, weights: undefined, cacheScope: undefined, source: undefined, keeper: undefined, partKeys: [],
	};
}

function computeZoneCostMs(zone: string, {target}: TargetState): number {
	return target.zone === zone ? 0 : crossZoneCostMs;
}

/** Returns a function that creates the choice of one engine for a prompt. The layout of the prompt's parts is created once per version of the weights. */
function prepareEngineChoices(query: TargetQuery, prompt: Prompt, engine: EngineTraits): (state: TargetState) => TargetChoice {
	const layouts = new Map<number | undefined, PartLayout>();
	const typicalMs = computeTypicalMs(query, 'token');
	const staying = query.targets.filter(({isLeaving}) => !isLeaving);
	const targetIds = staying.map(({target}) => target.id);
	const getPartLayout = (weights: number | undefined): PartLayout => {
		let layout = layouts.get(weights);
		if (!layout) {
			layout = createPartLayout({
				...query, prompt, targetIds, weights, cacheScope: formatCacheScope(query, weights),
			});
			layouts.set(weights, layout);
		}

		return layout;
	};

	return state => {
		const weights = getWeights(query, state);
		const stalenessMs = getStalenessMs(query, weights);
		const layout = getPartLayout(weights);
		const cachedCount = countCachedParts(query, layout, state);
		const found = cachedCount < layout.parts.length ? findCachedSource(layout, state, cachedCount) : undefined;
		const cachedTokens = sumTokens(layout.parts, 0, cachedCount);
		const isHome = layout.preferredHomeIds[0] === state.target.id;
		const fetchedTokens = found ? sumTokens(layout.parts, cachedCount, found.partCount) * (found.isKnown ? 1 : likelyCachedRatio) : 0;
		const ownTokens = prompt.parts.at(-1)?.tokens ?? 0;
		const unreadTokens = Math.max(0, prompt.inputTokens - cachedTokens - fetchedTokens);
		// A home that others may fetch parts from is as likely to have them for its own requests.
		const likelyTokens = isHome && !found ? sumTokens(layout.parts, cachedCount, layout.parts.length) * likelyCachedRatio : 0;
		const work = state.sumWork(query.nowMs, query.urgency);
		const msPerToken = state.speed.getMsPerToken(query.nowMs, typicalMs);
		const queue = estimateQueue(query, state, work, msPerToken);
		const queueMs = computeWaitMs(query, state, queue);
		const fetchMs = found ? computeFetchMs(engine, fetchedTokens) * (found.source.zone === state.target.zone ? 1 : crossZoneFetchFactor) : 0;
		const waitMs = computeWaitMs(query, state, queue, (unreadTokens - likelyTokens) * msPerToken) + fetchMs;
		const costMs = waitMs
			+ (Math.max(work.requests, estimateStatedRequests(state, query.nowMs)) * concurrentRequestMs)
			+ (cachedCount === layout.parts.length || isHome ? 0 : getDuplicateCostMs(query, layout, state))
			+ computeZoneCostMs(query.zone, state)
			+ computeLateCostMs(query, state)
			+ ((stalenessMs ?? 0) > staleWeightsGraceMs ? staleWeightsCostMs : 0);
		return {
			state, queueMs, waitMs, costMs, rereadMs: Math.max(0, unreadTokens - ownTokens) * msPerToken, unreadTokens,
			weights, stalenessMs, cacheScope: formatCacheScope(query, weights), source: found?.source,
			keeper: found && found.source.id === layout.store?.address ? layout.store : undefined, partKeys: layout.keys,
		};
	};
}

/** Returns the cost of a further copy of the prompt's parts on a target, in milliseconds. */
function getDuplicateCostMs({isRationed}: TargetQuery, {preferredHomeIds}: PartLayout, {target}: TargetState): number {
	return isRationed && preferredHomeIds.includes(target.id) ? secondHomeMs : duplicateCacheMs;
}

/** Estimates the requests that a target has in progress by the load that it stated last, which passes with time; 0 unless it also states how fast it works. */
function estimateStatedRequests({load, loadReceivedMs, speed}: TargetState, nowMs: number): number {
	return load && speed.isStated ? (load.running + load.waiting) * Math.exp((loadReceivedMs - nowMs) / statedLoadMs) : 0;
}

/** Appends the version of the weights to the scope, as parts cached under one version cannot be used under another. */
function formatCacheScope({cacheScope}: TargetQuery, weights: number | undefined): string | undefined {
	return cacheScope === undefined || weights === undefined ? cacheScope : `${cacheScope} ${weights}`;
}

/** Counts the leading parts that the target is believed to have cached. */
function countCachedParts({cachedParts, nowMs}: TargetQuery, {keys}: PartLayout, {target}: TargetState): number {
	let count = 0;
	while (count < keys.length && cachedParts.has(keys[count]!, target.incarnation, nowMs)) {
		count++;
	}

	return count;
}

function computeFetchMs({bytesPerToken, linkMbps}: EngineTraits, tokens: number): number {
	return tokens === 0 ? 0 : fetchStartMs + (tokens * bytesPerToken * bitsPerByte / (linkMbps * bitsPerMbpsMs));
}
