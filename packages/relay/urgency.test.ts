import t from 'tap';
import {UrgencyScale} from './urgency.ts';
import type {RelayCustomer, RelayRoute} from '#core';

function createRoute(priority: number, isPublic = false): RelayRoute {
	return {
		name: `r${priority}`, host: 'h', pathPrefix: '/', pools: [], isStream: true, retryPolicy: 'once', maxTargets: 1, timeoutMs: 1, promisedMs: 1, promisedGapMs: 0, priority, isPublic,
	};
}

function createCustomer(priority: number | undefined, index: number): RelayCustomer {
	return {name: `c${index}`, isIsolated: false, ...(priority === undefined ? {} : {priority})};
}

function createScale(customers: ReadonlyArray<number | undefined> | undefined, routes: readonly number[], isPublic = false): UrgencyScale {
	return new UrgencyScale({
		...(customers && {customers: new Map(customers.map((priority, index) => [`k${index}`, createCustomer(priority, index)]))}),
		routes: routes.map(priority => createRoute(priority, isPublic)),
	});
}

const get = (scale: UrgencyScale, customer: number | undefined, route: number) => scale.get(customer === undefined ? undefined : {priority: customer}, {priority: route});

// Guards against a change of the order in deployments that state no priorities of customers.
t.test('if all customers have the same priority, the route decides alone', async t => {
	for (const [scale, customer] of [[createScale(undefined, [0, 2]), undefined], [createScale([undefined, undefined], [0, 2]), undefined], [createScale([3, 3], [0, 2]), 3]] as const) {
		t.strictSame([0, 2, 12, -1].map(route => get(scale, customer, route)), [0, 2, 2, 0]);
	}

	t.strictSame([0, 1, 2, 3, 4].map(route => get(createScale(undefined, [0, 1, 2, 3, 4]), undefined, route)), [0, 2, 4, 6, 8]);
	t.strictSame([0, 3, 11].map(route => get(createScale(undefined, Array.from({length: 12}, (_item, index) => index)), undefined, route)), [0, 2, 9]);
	t.equal(get(new UrgencyScale(undefined), 3, 7), 0, 'without a configuration, all requests are alike');
});

// Guards against a route's priority hidden by the customer's when customers compete for engines.
t.test('scarce capacity: the customer decides first, the route between customers of equal priority', async t => {
	const scale = createScale([0, 1, 4], [0, 2]);
	const levels = [0, 1, 4].flatMap(customer => [0, 2].map(route => get(scale, customer, route)));
	t.strictSame(levels, [0, 1, 2, 3, 4, 5]);
});

// Guards against customers without a priority that go before all those with one, whatever their route.
t.test('a customer without a priority stands where its route does among customers with one', async t => {
	const scale = createScale([undefined, 1], [0, 2]);
	t.strictSame([get(scale, undefined, 0), get(scale, 1, 0), get(scale, 1, 2), get(scale, undefined, 2)], [0, 2, 4, 6]);
});

// Guards against late requests that delay those which are in time, and against those of a short objective that fall behind a less urgent kind.
t.test('a burst: late requests stand behind those as urgent that are in time, and before less urgent ones', async t => {
	const scale = createScale([0, 1], [0, 2]);
	const levels = [0, 1].flatMap(customer => [0, 2].flatMap(route => [scale.get({priority: customer}, {priority: route}), scale.getLate({priority: customer}, {priority: route})]));
	t.strictSame(levels, [0, 1, 2, 3, 4, 5, 6, 7]);
	const crowded = createScale([0, 1, 2], [0, 1]);
	t.equal(crowded.getLate({priority: 1}, {priority: 0}), crowded.get({priority: 1}, {priority: 0}), 'with too few levels, late requests share that of their kind');
});

t.test('with many priorities, the order of customers is kept and all levels are accepted by engines', async t => {
	for (const count of [1, 4, 9, 10, 11, 25]) {
		const priorities = Array.from({length: count}, (_item, index) => index * 3);
		const scale = createScale(priorities, [0, 1, 2, 3]);
		const ranks = priorities.flatMap(customer => [0, 1, 2, 3].flatMap(route => [get(scale, customer, route), scale.getLate({priority: customer}, {priority: route})]));
		t.strictSame(ranks, ranks.toSorted((a, b) => a - b));
		t.ok(ranks.every(level => Number.isInteger(level) && level >= 0 && level <= 9), `${count} priorities`);
		t.ok(count === 1 || count > 10 || get(scale, 0, 3) < get(scale, 3, 0), 'no less urgent customer shares a level while there are enough levels');
	}
});

// Guards against an urgency outside the levels while instances have different configurations in force.
t.test('a priority that the configuration does not hold gets the level of the next less urgent one', async t => {
	const scale = createScale([1, 4], [0, 2]);
	t.equal(get(scale, 0, 0), 0);
	t.equal(get(scale, 3, 1), 6);
	t.equal(get(scale, 99, 99), 6);
	t.equal(createScale([1, 1], [0], true).get(undefined, {priority: 0}), 0);
});
