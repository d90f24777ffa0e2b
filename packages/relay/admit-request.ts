/**
 * Decides whether a prompt is sent to the engine that was chosen for it, or refused
 * at once because it would wait there for too long.
 */
import {estimateOccupancy} from './engine-room.ts';
import type {TargetState} from './target-state.ts';
import type {EngineTraits, Random} from '#core';

/** Input of the decision. */
export type AdmissionQuery = Readonly<{
	/** Expected time until the chosen engine starts to process the prompt, at the urgency of requests that are in time, in milliseconds. */
	queueMs: number;
	/** Factor by which the wait is longer if more urgent requests go on to arrive as they do now. */
	overtakingFactor: number;
	/** Estimates the wait with that factor at the urgency of late requests; called only if the request will be late. */
	estimateLateQueueMs: () => number;
	/** Promised time to the first event, in milliseconds. */
	promisedMs: number;
	/** Time since the caller first sent the request, in milliseconds: it may have returned after a refusal. */
	elapsedMs: number;
	/** Time until the deadline of the request, in milliseconds. */
	remainingMs: number;
	/** Measures the use of the engines that may serve the request; called only if the wait is too long. */
	measureUse: () => EngineUse;
	random: Random;
}>;

/** Use of a pool's engines. */
export type EngineUse = Readonly<{
	requests: number;
	slots: number;
	/** Whether requests wait at an engine for a slot or for memory. */
	isWaiting: boolean;
}>;

/**
 * Decision on a request:
 *
 * - `in_time`: it is sent, as the engine is expected to start it within the promised time.
 * - `late`: it is sent behind those that are in time; it will be late, but its wait is short.
 * - `spare_slots`: it is sent although its wait is long, as fewer than half of the slots are in use and nothing waits. It goes behind those that are in time if it will be late whether more urgent requests arrive or not.
 * - `refused`: it is not sent.
 */
export type AdmissionDecision = Readonly<{kind: 'in_time' | 'late' | 'spare_slots'; isLate: boolean}> | Readonly<{kind: 'refused'; retryAfterMs: number}>;

/** Part of the promised time that is left for reading the prompt, and its maximum, in milliseconds. */
const readShare = 0.3;
const maxReadMs = 300;

/** Part of the time until the deadline that a late request may wait; the rest is left for its answer. */
const maxWaitShare = 0.5;

/** Part of the slots that must be in use before a request is refused, unless requests wait: half of them, and a margin for requests that have just ended. */
const minUsedSlots = 0.55;

/** Part of the time left after which callers no longer return; a little less than a third. */
const maxReturnShare = 0.3;

/** Part of the time for which a request can still be in time after which its caller returns at the earliest. */
const returnShare = 0.3;

/** Shortest time after which a refused caller is asked to return, in milliseconds. */
const minRetryAfterMs = 100;

/** Decides on one request. */
export function admitRequest(query: AdmissionQuery): AdmissionDecision {
	const {queueMs, overtakingFactor, estimateLateQueueMs, promisedMs, elapsedMs, remainingMs, measureUse} = query;
	const maxWaitMs = computeMaxWaitMs(promisedMs);
	const isLate = queueMs + elapsedMs > maxWaitMs;
	if ((queueMs * overtakingFactor) + elapsedMs <= maxWaitMs) {
		return {kind: 'in_time', isLate};
	}

	if (estimateLateQueueMs() <= Math.min(maxWaitMs, remainingMs * maxWaitShare)) {
		return {kind: 'late', isLate: true};
	}

	const {requests, slots, isWaiting} = measureUse();
	if (!isWaiting && requests < slots * minUsedSlots) {
		return {kind: 'spare_slots', isLate};
	}

	return {kind: 'refused', retryAfterMs: computeRetryAfterMs(query)};
}

/** Computes the longest wait at an engine after which a request can still be in time, in milliseconds. */
function computeMaxWaitMs(promisedMs: number): number {
	return promisedMs - Math.min(promisedMs * readShare, maxReadMs);
}

/** Measures the use of engines. Those that are about to stop count for nothing. */
export function measureEngineUse(states: readonly TargetState[], engine: EngineTraits, nowMs: number): EngineUse {
	let requests = 0;
	let slots = 0;
	let isWaiting = false;
	for (const state of states) {
		if (!state.isLeaving && !state.isReplaced) {
			const occupancy = estimateOccupancy(state, state.countRequests(nowMs), engine, {urgency: 0, nowMs});
			requests += occupancy.requests;
			slots += engine.slots;
			isWaiting ||= occupancy.isWaiting;
		}
	}

	return {requests, slots, isWaiting};
}

/**
 * Computes when a refused caller should return, spread over a range: while its
 * request can still be in time, after a part of that time; then a few times before
 * the deadline. In the second half of its time, it is told to return after its
 * deadline only, as each return costs an instance time and few would be served.
 */
function computeRetryAfterMs({promisedMs, elapsedMs, remainingMs, random}: AdmissionQuery): number {
	const spread = 1 + random.next();
	const usefulMs = promisedMs - elapsedMs;
	if (usefulMs > minRetryAfterMs) {
		return Math.max(minRetryAfterMs, Math.min(usefulMs * returnShare, remainingMs * maxReturnShare / 2)) * spread;
	}

	return elapsedMs < remainingMs ? Math.max(minRetryAfterMs, remainingMs * maxReturnShare / 2) * spread : remainingMs * spread;
}
