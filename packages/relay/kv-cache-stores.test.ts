/** A store of KV cache that crashes and returns while instances use it. */
import t from 'tap';
import {KvCacheStores} from './kv-cache-stores.ts';
import {ManualClock} from '#clock';
import type {KvCacheStore} from '#core';
import {PeerNetworkStandin} from '#standins';
import {createTelemetry} from '#telemetry';

const near: KvCacheStore = {address: '10.0.0.1:1', zone: 'a', capacityTokens: 1};
const far: KvCacheStore = {address: '10.0.0.2:1', zone: 'b', capacityTokens: 1};

function startInstances(stores: readonly KvCacheStore[]) {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const silent = new Set<string>();
	const stopping = new AbortController();
	let checks = 0;
	const instances = ['n0', 'n1', 'n2'].map((name, index) => {
		const bus = network.join({name, zone: 'a', incarnation: name});
		const kvCacheStores = new KvCacheStores({
			clock, bus, telemetry: createTelemetry({level: 'silent'}), listStores: () => stores, isChecker: () => index === 0,
			async checkStore({address}) {
				checks++;
				await clock.sleep(200);
				return !silent.has(address);
			},
		});
		void kvCacheStores.run(stopping.signal);
		return kvCacheStores;
	});
	return {
		clock, network, silent, stopping, instances, countChecks: () => checks,
	};
}

// Guards against engines that wait for a dead store with each prompt.
t.test('a store that does not answer is used by no instance within a second, and again after it returns', async t => {
	const {clock, silent, stopping, instances} = startInstances([near]);
	await clock.advance(1000);
	t.strictSame(instances.map(stores => stores.listAnswering()), [[near], [near], [near]]);
	silent.add(near.address);
	await clock.advance(1000);
	t.strictSame(instances.map(stores => stores.listAnswering()), [[], [], []]);
	await clock.advance(10_000);
	t.strictSame(instances.map(stores => stores.listAnswering()), [[], [], []]);
	silent.clear();
	await clock.advance(2500);
	t.strictSame(instances.map(stores => stores.listAnswering()), [[near], [near], [near]]);
	stopping.abort();
});

t.test('while one of two stores does not answer, only the other is used', async t => {
	const {clock, silent, stopping, instances} = startInstances([far, near]);
	t.strictSame(instances[1]!.listAnswering(), [far, near]);
	silent.add(near.address);
	await clock.advance(1000);
	t.strictSame(instances[1]!.listAnswering(), [far]);
	stopping.abort();
});

// Guards against checks whose number grows with the fleet.
t.test('one instance checks a store for all', async t => {
	const {clock, stopping, countChecks} = startInstances([near]);
	await clock.advance(4500);
	t.ok(countChecks() <= 11, `${countChecks()} checks in 4.5 s`);
	stopping.abort();
});
