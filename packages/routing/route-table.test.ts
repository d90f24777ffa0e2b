import t from 'tap';
import {buildRouteTable, findRoute} from './route-table.ts';
import {pickPool} from './pick-pool.ts';
import type {RelayRoute} from '#core';

function makeRoute(name: string, host: string, pathPrefix: string): RelayRoute {
	return {
		name, host, pathPrefix, pools: [{pool: 'p', weight: 1}], isStream: false, repetition: 'any', maxTargets: 2,
		timeoutMs: 1000, promisedMs: 100, gapMs: 0, priority: 0, isPublic: false,
	};
}

const table = buildRouteTable([makeRoute('short', 'a.example', '/x/'), makeRoute('long', 'a.example', '/x/y/'), makeRoute('other', 'b.example', '/x/')]);

t.test('the longest prefix of the host wins', async t => {
	t.equal(findRoute(table, 'a.example', '/x/y/z')?.name, 'long');
	t.equal(findRoute(table, 'a.example', '/x/z')?.name, 'short');
	t.equal(findRoute(table, 'b.example', '/x/y/z')?.name, 'other');
});

t.test('hosts are compared without case', async t => {
	t.equal(findRoute(table, 'A.Example', '/x/')?.name, 'short');
});

t.test('a query is no part of the path', async t => {
	t.equal(findRoute(table, 'a.example', '/x/?to=/x/y/')?.name, 'short');
	t.equal(findRoute(table, 'a.example', '/x?a=/'), undefined);
});

t.test('no route for another host or path', async t => {
	t.equal(findRoute(table, 'c.example', '/x/'), undefined);
	t.equal(findRoute(table, 'a.example', '/xy/'), undefined);
});

t.test('pools are picked by their shares', async t => {
	const shares = [{pool: 'a', weight: 90}, {pool: 'b', weight: 10}];
	t.equal(pickPool(shares, 0), 'a');
	t.equal(pickPool(shares, 0.89), 'a');
	t.equal(pickPool(shares, 0.91), 'b');
	t.equal(pickPool([], 0.5), undefined);
	t.equal(pickPool([{pool: 'a', weight: 0}, {pool: 'b', weight: 1}], 0), 'b');
});
