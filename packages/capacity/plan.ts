/**
 * Decides which engines of a pool load or unload weights. Reads only what it is
 * given, so that it can be tested and measured by itself.
 */
import type {TargetPool} from '#core';

/** What is known of one engine. */
export type EngineState = Readonly<{
	name: string;
	/** Weights that it serves; absent when none are loaded. */
	weights?: string;
	loading: boolean;
	/** Whether it may be used: it answers, and does not leave. */
	usable: boolean;
	/** Requests that run or wait there. */
	requests: number;
	/** An order that has not shown in its reports yet. */
	pending?: 'load' | 'unload';
}>;

/** What a plan is made from. */
export type PlanInput = Readonly<{
	pool: TargetPool;
	engines: readonly EngineState[];
	/** Requests in progress to be ready for. */
	forecast: number;
	/** Requests in progress or waiting right now. */
	demand: number;
}>;

/** One order to send. */
export type PlannedOrder = Readonly<{kind: 'load' | 'unload'; engine: string; weights: string}>;

/** A plan: the number of engines wanted, and the next orders. */
export type CapacityPlan = Readonly<{wanted: number; serving: number; orders: readonly PlannedOrder[]}>;

/** Share of an engine's slots that the forecast may fill. */
export const plannedUtilization = 0.7;

/** Share of the slots that may be filled while engines change weights. */
const rolloutUtilization = 0.9;

/**
 * Plans a pool's next orders: grow to the forecast, move to the configured
 * weights without dropping below the demand, then shrink by one engine at most.
 *
 * @returns at most `loadsAtOnce` loads counting those in progress, and at most one unload
 */
export function planCapacity(input: PlanInput): CapacityPlan {
	const {pool, engines} = input;
	const serving = engines.filter(engine => isServing(engine));
	const wanted = countWanted(input);
	const loadRoom = Math.max(0, pool.loadsAtOnce - engines.filter(engine => isLoading(engine)).length);
	const plan = {wanted, serving: serving.length};
	const coming = serving.length + engines.filter(engine => isLoading(engine) && engine.weights === undefined).length;
	const grow = planLoads(input, Math.min(loadRoom, wanted - coming));
	if (grow.length > 0 || coming < wanted) {
		return {...plan, orders: grow};
	}

	const rollout = planRollout(input, serving, loadRoom);
	if (rollout.length > 0) {
		return {...plan, orders: rollout};
	}

	return {...plan, orders: planUnload(input, serving, wanted)};
}

function countWanted({pool, engines, forecast}: PlanInput): number {
	const usable = engines.filter(engine => engine.usable).length;
	const needed = Math.ceil(forecast / (pool.slots * plannedUtilization));
	return Math.min(usable, Math.max(pool.minLoaded, needed));
}

function isServing(engine: EngineState): boolean {
	return engine.usable && engine.weights !== undefined && !isLoading(engine) && engine.pending !== 'unload';
}

function isLoading(engine: EngineState): boolean {
	return engine.loading || engine.pending === 'load';
}

function isEmpty(engine: EngineState): boolean {
	return engine.usable && engine.weights === undefined && !isLoading(engine);
}

function planLoads({pool, engines}: PlanInput, count: number): readonly PlannedOrder[] {
	return engines
		.filter(engine => isEmpty(engine))
		.slice(0, Math.max(0, count))
		.map(engine => ({kind: 'load', engine: engine.name, weights: getWeights(pool)}));
}

/** Loads the configured weights on an empty engine first, else on a serving one that can be spared. */
function planRollout(input: PlanInput, serving: readonly EngineState[], loadRoom: number): readonly PlannedOrder[] {
	const {pool, engines} = input;
	const outdated = serving.filter(engine => engine.weights !== getWeights(pool));
	if (outdated.length === 0 || loadRoom === 0) {
		return [];
	}

	const surge = planLoads(input, Math.min(loadRoom, outdated.length));
	if (surge.length > 0) {
		return surge;
	}

	const needed = Math.ceil(input.demand / (pool.slots * rolloutUtilization));
	const floor = Math.max(needed, Math.min(pool.minLoaded, engines.length - 1));
	const spare = Math.min(loadRoom, serving.length - floor);
	return outdated
		.toSorted((a, b) => a.requests - b.requests)
		.slice(0, Math.max(0, spare))
		.map(engine => ({kind: 'load', engine: engine.name, weights: getWeights(pool)}));
}

/** Unloads one engine beyond those wanted: outdated ones first, and only an idle one. */
function planUnload({pool, engines}: PlanInput, serving: readonly EngineState[], wanted: number): readonly PlannedOrder[] {
	if (serving.length <= wanted || engines.some(engine => engine.pending !== undefined)) {
		return [];
	}

	const rank = (engine: EngineState) => engine.weights === getWeights(pool) ? 1 : 0;
	const [idle] = serving.filter(engine => engine.requests === 0).toSorted((a, b) => rank(a) - rank(b));
	return idle ? [{kind: 'unload', engine: idle.name, weights: idle.weights!}] : [];
}

function getWeights(pool: TargetPool): string {
	return pool.weights ?? '';
}
