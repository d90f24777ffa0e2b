import t from 'tap';
import fc from 'fast-check';
import {planCapacity, type EngineState} from './plan.ts';
import type {TargetPool} from '#core';

const engine = fc.record({
	weights: fc.constantFrom(undefined, 'v1', 'v2'),
	loading: fc.boolean(),
	usable: fc.boolean(),
	requests: fc.nat(12),
	pending: fc.constantFrom(undefined, undefined, 'load' as const, 'unload' as const),
});
const engines: fc.Arbitrary<EngineState[]> = fc.array(engine, {minLength: 1, maxLength: 12})
	.map(list => list.map((state, index) => ({...state, name: `e${index}`})));
const sizes = fc.record({loadsAtOnce: fc.integer({min: 1, max: 3}), minLoaded: fc.nat(4), slots: fc.integer({min: 1, max: 16})});

function makePool(options: Readonly<{loadsAtOnce?: number; minLoaded?: number; slots?: number}> = {}): TargetPool {
	return {
		name: 'p', kind: 'engine', model: 'm', weights: 'v2', pieceTokens: 2000, checksFencing: true, loadsAtOnce: 2, minLoaded: 1, slots: 8, targets: [], ...options,
	};
}

function makeEngines(count: number, state: Partial<EngineState> = {}): EngineState[] {
	return Array.from({length: count}, (_, index) => ({
		name: `e${index}`, weights: 'v2', loading: false, usable: true, requests: 0, ...state,
	}));
}

t.test('loads at once stay within the bound', async () => {
	fc.assert(fc.property(engines, sizes, fc.nat(200), (list, size, demand) => {
		const {orders} = planCapacity({
			pool: makePool(size), engines: list, demand, forecast: demand,
		});
		const running = list.filter(state => state.loading || state.pending === 'load').length;
		const ordered = orders.filter(order => order.kind === 'load').length;
		return ordered === 0 || running + ordered <= size.loadsAtOnce;
	}), {seed: 31, numRuns: 1000});
});

t.test('a roll-out never drops below the demand', async () => {
	fc.assert(fc.property(engines, sizes, fc.nat(100), (list, size, demand) => {
		const {orders} = planCapacity({
			pool: makePool(size), engines: list, demand, forecast: demand,
		});
		const ordered = new Set(orders.map(order => order.engine));
		const isServing = (state: EngineState) => state.usable && state.weights !== undefined && !state.loading && state.pending === undefined;
		const taken = list.filter(state => isServing(state) && ordered.has(state.name)).length;
		const left = list.filter(state => isServing(state) && !ordered.has(state.name)).length;
		return taken === 0 || left * size.slots >= demand;
	}), {seed: 32, numRuns: 1000});
});

t.test('only an idle engine is unloaded, and never below the least', async () => {
	fc.assert(fc.property(engines, sizes, fc.nat(100), (list, size, demand) => {
		const plan = planCapacity({
			pool: makePool(size), engines: list, demand, forecast: demand,
		});
		const unloads = plan.orders.filter(order => order.kind === 'unload');
		const idle = unloads.every(order => list.find(state => state.name === order.engine)!.requests === 0);
		return unloads.length <= 1 && idle && (unloads.length === 0 || plan.serving - 1 >= size.minLoaded);
	}), {seed: 33, numRuns: 1000});
});

t.test('grows to the forecast as fast as loads allow', async t => {
	const plan = planCapacity({
		pool: makePool(), engines: [...makeEngines(1), ...makeEngines(5, {weights: undefined}).map(state => ({...state, name: `x${state.name}`}))], demand: 8, forecast: 20,
	});
	t.equal(plan.wanted, 4);
	t.equal(plan.orders.length, 2);
	t.ok(plan.orders.every(order => order.kind === 'load'));
});

t.test('moves to new weights one spare engine at a time', async t => {
	const plan = planCapacity({
		pool: makePool({minLoaded: 3}), engines: makeEngines(3, {weights: 'v1'}), demand: 10, forecast: 10,
	});
	t.same(plan.orders, [{kind: 'load', engine: 'e0', weights: 'v2'}]);
});

t.test('a full pool keeps its weights until the demand falls', async t => {
	const plan = planCapacity({
		pool: makePool(), engines: makeEngines(3, {weights: 'v1', requests: 8}), demand: 24, forecast: 24,
	});
	t.same(plan.orders, []);
});

t.test('an engine that does not answer is replaced by another', async t => {
	const dead = makeEngines(1, {usable: false, weights: undefined});
	const spare = makeEngines(2, {weights: undefined}).map(state => ({...state, name: `x${state.name}`}));
	const plan = planCapacity({
		pool: makePool(), engines: [...dead, ...spare], demand: 0, forecast: 0,
	});
	t.same(plan.orders, [{kind: 'load', engine: 'xe0', weights: 'v2'}]);
});
