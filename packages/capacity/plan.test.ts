import t from 'tap';
import fc from 'fast-check';
import {planCapacity, type EngineState} from './plan.ts';
import type {TargetPool} from '#core';

const engine = fc.record({
	weights: fc.constantFrom(undefined, 'v1', 'v2'),
	isLoading: fc.boolean(),
	isUsable: fc.boolean(),
	requestCount: fc.nat(12),
	pendingOrder: fc.constantFrom(undefined, undefined, 'load' as const, 'unload' as const),
});
const engines: fc.Arbitrary<EngineState[]> = fc.array(engine, {minLength: 1, maxLength: 12})
	.map(list => list.map((state, index) => ({...state, name: `e${index}`})));
const poolSizes = fc.record({loadsAtOnce: fc.integer({min: 1, max: 3}), minLoaded: fc.nat(4), slots: fc.integer({min: 1, max: 16})});

function createPool(options: Readonly<{loadsAtOnce?: number; minLoaded?: number; slots?: number}> = {}): TargetPool {
	return {
		name: 'p', kind: 'engine', model: 'm', weights: 'v2', pieceTokens: 2000, checksFencing: true, loadsAtOnce: 2, minLoaded: 1, slots: 8, targets: [], ...options,
	};
}

function createEngines(count: number, state: Partial<EngineState> = {}): EngineState[] {
	return Array.from({length: count}, (_, index) => ({
		name: `e${index}`, weights: 'v2', isLoading: false, isUsable: true, requestCount: 0, ...state,
	}));
}

t.test('concurrent loads stay within loadsAtOnce', async () => {
	fc.assert(fc.property(engines, poolSizes, fc.nat(200), (list, size, demand) => {
		const {orders} = planCapacity({
			pool: createPool(size), engines: list, demand, forecast: demand,
		});
		const running = list.filter(state => state.isLoading || state.pendingOrder === 'load').length;
		const ordered = orders.filter(order => order.kind === 'load').length;
		return ordered === 0 || running + ordered <= size.loadsAtOnce;
	}), {seed: 31, numRuns: 1000});
});

t.test('a roll-out never drops below the demand', async () => {
	fc.assert(fc.property(engines, poolSizes, fc.nat(100), (list, size, demand) => {
		const {orders} = planCapacity({
			pool: createPool(size), engines: list, demand, forecast: demand,
		});
		const ordered = new Set(orders.map(order => order.engine));
		const isServing = (state: EngineState) => state.isUsable && state.weights !== undefined && !state.isLoading && state.pendingOrder === undefined;
		const taken = list.filter(state => isServing(state) && ordered.has(state.name)).length;
		const left = list.filter(state => isServing(state) && !ordered.has(state.name)).length;
		return taken === 0 || left * size.slots >= demand;
	}), {seed: 32, numRuns: 1000});
});

t.test('only an idle engine is unloaded, and never below minLoaded', async () => {
	fc.assert(fc.property(engines, poolSizes, fc.nat(100), (list, size, demand) => {
		const plan = planCapacity({
			pool: createPool(size), engines: list, demand, forecast: demand,
		});
		const unloads = plan.orders.filter(order => order.kind === 'unload');
		const hasOnlyIdleUnloads = unloads.every(order => list.find(state => state.name === order.engine)!.requestCount === 0);
		return unloads.length <= 1 && hasOnlyIdleUnloads && (unloads.length === 0 || plan.serving - 1 >= size.minLoaded);
	}), {seed: 33, numRuns: 1000});
});

t.test('grows to the forecast with as many loads as allowed', async t => {
	const plan = planCapacity({
		pool: createPool(), engines: [...createEngines(1), ...createEngines(5, {weights: undefined}).map(state => ({...state, name: `x${state.name}`}))], demand: 8, forecast: 20,
	});
	t.equal(plan.desired, 4);
	t.equal(plan.orders.length, 2);
	t.ok(plan.orders.every(order => order.kind === 'load'));
});

t.test('rolls out new weights to one spare engine at a time', async t => {
	const plan = planCapacity({
		pool: createPool({minLoaded: 3}), engines: createEngines(3, {weights: 'v1'}), demand: 10, forecast: 10,
	});
	t.same(plan.orders, [{kind: 'load', engine: 'e0', weights: 'v2'}]);
});

t.test('delays a roll-out while the demand needs every engine', async t => {
	const plan = planCapacity({
		pool: createPool(), engines: createEngines(3, {weights: 'v1', requestCount: 8}), demand: 24, forecast: 24,
	});
	t.same(plan.orders, []);
});

t.test('replaces an engine that does not answer', async t => {
	const dead = createEngines(1, {isUsable: false, weights: undefined});
	const spare = createEngines(2, {weights: undefined}).map(state => ({...state, name: `x${state.name}`}));
	const plan = planCapacity({
		pool: createPool(), engines: [...dead, ...spare], demand: 0, forecast: 0,
	});
	t.same(plan.orders, [{kind: 'load', engine: 'xe0', weights: 'v2'}]);
});
