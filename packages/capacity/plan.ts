/**
 * Plans which engines of a pool load or unload weights. Its functions are pure,
 * so that they can be tested and measured in isolation.
 */
import type {TargetPool} from '#core';

/** State of one engine, from its latest load report and the orders sent to it. */
export type EngineState = Readonly<{
	name: string;
	/** Version of the loaded weights; absent if none are loaded. */
	weights?: string;
	isLoading: boolean;
	/** Whether the engine answers and is not draining. */
	isUsable: boolean;
	/** Number of requests that run or wait on the engine. */
	requestCount: number;
	/** Kind of an order whose effect the engine's reports do not show yet. */
	pendingOrder?: 'load' | 'unload';
}>;

/** Input of {@link planCapacity}. */
export type PlanInput = Readonly<{
	pool: TargetPool;
	engines: readonly EngineState[];
	/** Number of requests to provide capacity for. */
	forecast: number;
	/** Number of requests that are in progress or waiting now. */
	demand: number;
}>;

/** An order to be sent to an engine. */
export type PlannedOrder = Readonly<{kind: 'load' | 'unload'; engine: string; weights: string}>;

/** The desired number of engines, the number that serve now, and the next orders. */
export type CapacityPlan = Readonly<{desired: number; serving: number; orders: readonly PlannedOrder[]}>;

/** Maximum share of an engine's slots that the forecast demand may fill. */
export const plannedUtilization = 0.7;

/** Maximum share of the slots that the present demand may fill while engines change weights. */
const rolloutUtilization = 0.9;

/**
 * Plans a pool's next orders. Growth to the forecast comes first, then the
 * roll-out of the configured weights without dropping below the demand, then
 * the unload of an engine that is no longer needed.
 *
 * @returns at most `loadsAtOnce` loads, including those in progress, and at most one unload
 */
export function planCapacity(input: PlanInput): CapacityPlan {
	const {pool, engines} = input;
	const serving = engines.filter(engine => isServing(engine));
	const desired = countDesiredEngines(input);
	const maxNewLoads = Math.max(0, pool.loadsAtOnce - engines.filter(engine => hasLoadInProgress(engine)).length);
	const plan = {desired, serving: serving.length};
	const expectedServing = serving.length + engines.filter(engine => hasLoadInProgress(engine) && engine.weights === undefined).length;
	const growthOrders = chooseLoadOrders(input, Math.min(maxNewLoads, desired - expectedServing));
	if (growthOrders.length > 0 || expectedServing < desired) {
		return {...plan, orders: growthOrders};
	}

	const rolloutOrders = chooseRolloutOrders(input, serving, maxNewLoads);
	if (rolloutOrders.length > 0) {
		return {...plan, orders: rolloutOrders};
	}

	return {...plan, orders: chooseUnloadOrders(input, serving, desired)};
}

function countDesiredEngines({pool, engines, forecast}: PlanInput): number {
	const usableCount = engines.filter(engine => engine.isUsable).length;
	const neededCount = Math.ceil(forecast / (pool.slots * plannedUtilization));
	return Math.min(usableCount, Math.max(pool.minLoaded, neededCount));
}

function isServing(engine: EngineState): boolean {
	return engine.isUsable && engine.weights !== undefined && !hasLoadInProgress(engine) && engine.pendingOrder !== 'unload';
}

function hasLoadInProgress(engine: EngineState): boolean {
	return engine.isLoading || engine.pendingOrder === 'load';
}

function isEmpty(engine: EngineState): boolean {
	return engine.isUsable && engine.weights === undefined && !hasLoadInProgress(engine);
}

function chooseLoadOrders({pool, engines}: PlanInput, count: number): readonly PlannedOrder[] {
	return engines
		.filter(engine => isEmpty(engine))
		.slice(0, Math.max(0, count))
		.map(engine => ({kind: 'load', engine: engine.name, weights: getConfiguredWeights(pool)}));
}

/** Chooses empty engines to load the configured weights. If there are none, chooses outdated serving engines that the demand does not need. */
function chooseRolloutOrders(input: PlanInput, serving: readonly EngineState[], maxNewLoads: number): readonly PlannedOrder[] {
	const {pool, engines} = input;
	const outdated = serving.filter(engine => engine.weights !== getConfiguredWeights(pool));
	if (outdated.length === 0 || maxNewLoads === 0) {
		return [];
	}

	const surgeOrders = chooseLoadOrders(input, Math.min(maxNewLoads, outdated.length));
	if (surgeOrders.length > 0) {
		return surgeOrders;
	}

	const neededCount = Math.ceil(input.demand / (pool.slots * rolloutUtilization));
	// `minLoaded` counts for at most all engines but one, since a pool whose `minLoaded` includes every engine could not change weights otherwise.
	const minServing = Math.max(neededCount, Math.min(pool.minLoaded, engines.length - 1));
	const spareCount = Math.min(maxNewLoads, serving.length - minServing);
	return outdated
		.toSorted((a, b) => a.requestCount - b.requestCount)
		.slice(0, Math.max(0, spareCount))
		.map(engine => ({kind: 'load', engine: engine.name, weights: getConfiguredWeights(pool)}));
}

/** Chooses one idle engine to unload if more engines serve than desired; prefers one with outdated weights. */
function chooseUnloadOrders({pool, engines}: PlanInput, serving: readonly EngineState[], desired: number): readonly PlannedOrder[] {
	if (serving.length <= desired || engines.some(engine => engine.pendingOrder !== undefined)) {
		return [];
	}

	const rank = (engine: EngineState) => engine.weights === getConfiguredWeights(pool) ? 1 : 0;
	const [idle] = serving.filter(engine => engine.requestCount === 0).toSorted((a, b) => rank(a) - rank(b));
	return idle ? [{kind: 'unload', engine: idle.name, weights: idle.weights!}] : [];
}

function getConfiguredWeights(pool: TargetPool): string {
	return pool.weights ?? '';
}
