/**
 * Estimates the room that an engine has for a prompt: the wait for a slot and for
 * memory, and whether anything waits there. It counts the work that instances tell
 * each other and, as an instance hears of a part of its peers only, what the engine
 * has lately stated in a load header.
 */
import {computeOwnTokens} from './held-memory.ts';
import type {TargetState} from './target-state.ts';
import type {EngineTraits, Prompt} from '#core';

/** Work in progress on an engine, as far as known. */
export type EngineOccupancy = Readonly<{
	/** Requests that the engine runs or that wait there. */
	requests: number;
	/** Memory that these hold, in tokens; more than the engine has if requests wait for it. */
	heldTokens: number;
	/** The part of it that is held by requests as urgent as the prompt, or more. */
	aheadTokens: number;
	/** Whether requests wait for a slot or for memory. */
	isWaiting: boolean;
}>;

/** Time after which a stated load counts for nothing, in milliseconds; before, it counts less the older it is. */
const loadValidityMs = 1000;

/** Age up to which it holds that requests wait at an engine which has stated so, in milliseconds. */
const waitingValidityMs = 150;

/** Part of an engine's memory up to which it counts as having room. The rest covers outputs that are longer than expected and requests that this instance has not heard of. */
const usableMemory = 0.95;

/** Part of an engine's memory beyond which requests count as waiting for it; what is held is an estimate. */
const overfullMemory = 1.05;

/** Delay of a request by each request ahead of it while no slot of the engine is free, in milliseconds. */
export const slotWaitMs = 50;

/** Estimates the work in progress on an engine. */
export function estimateOccupancy(state: TargetState, knownRequests: number, engine: EngineTraits, {urgency, nowMs}: Readonly<{urgency: number; nowMs: number}>): EngineOccupancy {
	const {load, loadReceivedMs, held} = state;
	const ageMs = nowMs - loadReceivedMs;
	const statedRequests = load ? (load.running + load.waiting) * Math.max(0, 1 - (ageMs / loadValidityMs)) : 0;
	const requests = Math.max(knownRequests, statedRequests);
	// Requests of which only their number is known count as the mean of the others.
	const scale = knownRequests > 0 ? requests / knownRequests : 1;
	const heldTokens = held.total * scale;
	const hasStatedWait = load !== undefined && load.waiting > 0 && ageMs <= waitingValidityMs;
	return {
		requests, heldTokens, aheadTokens: held.sumAhead(urgency) * scale, isWaiting: hasStatedWait || requests > engine.slots || heldTokens > engine.cacheTokens * overfullMemory,
	};
}

/** Whether an engine has a slot and memory for a prompt now. */
export function hasRoom({requests, aheadTokens}: EngineOccupancy, engine: EngineTraits, prompt: Prompt): boolean {
	return requests < engine.slots && aheadTokens + computeOwnTokens(prompt, Math.max(0, prompt.parts.length - 1)) <= engine.cacheTokens * usableMemory;
}

/**
 * Computes the time until an engine can take a further request, in milliseconds,
 * apart from the prompts that it reads first. The size of the request does not
 * count, so that long prompts are not refused more than others of their kind.
 */
export function computeRoomWaitMs({requests, aheadTokens}: EngineOccupancy, {held}: TargetState, engine: EngineTraits): number {
	const slotsMs = Math.max(0, requests + 1 - engine.slots) * slotWaitMs;
	// By Little's law, as much memory is released in the time for which a request holds its memory as is held.
	const missingTokens = Math.max(0, aheadTokens - engine.cacheTokens);
	const memoryMs = missingTokens === 0 ? 0 : missingTokens * held.holdMs / aheadTokens;
	return Math.max(slotsMs, memoryMs);
}
