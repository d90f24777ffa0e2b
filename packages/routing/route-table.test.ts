import t from 'tap';
import {createRouteTable, findRoute} from './route-table.ts';
import {choosePool} from './choose-pool.ts';
import type {RelayRoute} from '#core';

function createRoute(name: string, host: string, pathPrefix: string): RelayRoute {
	return {
		name, host, pathPrefix, pools: [{pool: 'p', weight: 1}], isStream: false, retryPolicy: 'any', maxTargets: 2,
		timeoutMs: 1000, promisedMs: 100, promisedGapMs: 0, priority: 0, isPublic: false,
	};
}

const table = createRouteTable([createRoute('short', 'a.example', '/x/'), createRoute('long', 'a.example', '/x/y/'), createRoute('other', 'b.example', '/x/')]);

t.test('finds the longest matching prefix of the host', async t => {
	t.equal(findRoute(table, 'a.example', '/x/y/z')?.name, 'long');
	t.equal(findRoute(table, 'a.example', '/x/z')?.name, 'short');
	t.equal(findRoute(table, 'b.example', '/x/y/z')?.name, 'other');
});

t.test('compares hosts case-insensitively', async t => {
	t.equal(findRoute(table, 'A.Example', '/x/')?.name, 'short');
});

t.test('ignores the query', async t => {
	t.equal(findRoute(table, 'a.example', '/x/?to=/x/y/')?.name, 'short');
	t.equal(findRoute(table, 'a.example', '/x?a=/'), undefined);
});

t.test('finds no route for another host or path', async t => {
	t.equal(findRoute(table, 'c.example', '/x/'), undefined);
	t.equal(findRoute(table, 'a.example', '/xy/'), undefined);
});

t.test('chooses pools in proportion to their weights', async t => {
	const shares = [{pool: 'a', weight: 90}, {pool: 'b', weight: 10}];
	t.equal(choosePool(shares, 0), 'a');
	t.equal(choosePool(shares, 0.89), 'a');
	t.equal(choosePool(shares, 0.91), 'b');
	t.equal(choosePool([], 0.5), undefined);
	t.equal(choosePool([{pool: 'a', weight: 0}, {pool: 'b', weight: 1}], 0), 'b');
});
