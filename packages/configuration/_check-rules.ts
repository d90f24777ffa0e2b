/** Checks rules that relate the fields of one pool, route or customer to each other. */
import type {ConfigurationFault, ParsedFragment} from './fragment.ts';
import type {FieldFault} from './explain-issues.ts';
import type {Customer, Route, TargetPool} from '#core';

type Rule<Item> = Readonly<{
	field: string;
	isBroken: (item: Item) => boolean;
	message: string;
}>;

const poolRules: ReadonlyArray<Rule<TargetPool>> = [
	{field: 'model', isBroken: pool => pool.kind === 'engine' && pool.model === undefined, message: 'an engine pool needs the model that it serves; add "model"'},
	{field: 'model', isBroken: pool => pool.kind === 'service' && pool.model !== undefined, message: 'a service pool serves no model; remove "model" or set "kind" to "engine"'},
	{field: 'weights', isBroken: pool => pool.kind === 'service' && pool.weights !== undefined, message: 'a service pool loads no weights; remove "weights"'},
	{field: 'keptStore', isBroken: pool => pool.kind === 'service' && pool.keptStore !== undefined, message: 'a service pool has no KV cache; remove "keptStore"'},
	{field: 'minLoaded', isBroken: pool => pool.minLoaded > pool.targets.length, message: 'is more than the pool has targets; lower it or add targets'},
	{field: 'loadsAtOnce', isBroken: pool => pool.loadsAtOnce > pool.targets.length, message: 'is more than the pool has targets; lower it or add targets'},
];

const customerRules: ReadonlyArray<Rule<Customer>> = [
	{field: 'routes', isBroken: customer => new Set(customer.routes).size < customer.routes.length, message: 'names a route twice; remove one'},
	{field: 'limit.concurrent', isBroken: ({limit}) => limit.concurrent > maxConcurrent, message: 'is over 100000, which no pool can run; lower it'},
	{field: 'limit.requestsPerSecond', isBroken: ({limit}) => limit.requestsPerSecond > maxRequestsPerSecond, message: 'is over 100000, which no pool can run; lower it'},
];

const maxConcurrent = 100_000;
const maxRequestsPerSecond = 100_000;

/** Finds pools, routes and customers whose fields contradict each other. */
export function checkRules(files: readonly ParsedFragment[]): readonly ConfigurationFault[] {
	const pools = new Map(files.flatMap(({service}) => service.pools.map(pool => [pool.name, pool] as const)));
	const routeRules = createRouteRules(pools);
	return files.flatMap(({file, service}) => [
		...applyRules(poolRules, service.pools, 'pools'),
		...applyRules(routeRules, service.routes, 'routes'),
		...applyRules(customerRules, service.customers, 'customers'),
	].map(fault => ({file, ...fault})));
}

function createRouteRules(pools: ReadonlyMap<string, TargetPool>): ReadonlyArray<Rule<Route>> {
	const hasPoolOfKind = (route: Route, kind: TargetPool['kind']) => pools.get(route.pool)?.kind === kind;
	return [
		{field: 'calls', isBroken: route => hasPoolOfKind(route, 'engine') && route.calls.length > 0, message: 'the pool\'s engines take chats and no calls; remove "calls" or name a service pool'},
		{field: 'firstTokenMs', isBroken: route => route.firstTokenMs > route.timeoutMs, message: 'is longer than timeoutMs; raise timeoutMs or lower firstTokenMs'},
		{field: 'tokenGapMs', isBroken: route => route.tokenGapMs > route.timeoutMs, message: 'is longer than timeoutMs; raise timeoutMs or lower tokenGapMs'},
	];
}

function applyRules<Item>(rules: ReadonlyArray<Rule<Item>>, items: readonly Item[], field: string): readonly FieldFault[] {
	return items.flatMap((item, index) => rules
		.filter(rule => rule.isBroken(item))
		.map(rule => ({field: `${field}.${index}.${rule.field}`, message: rule.message})));
}
