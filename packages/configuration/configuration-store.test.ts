import fc from 'fast-check';
import t from 'tap';
import {parseHead} from './head.ts';
import {headKey} from './keys.ts';
import {publishFragments} from './publish.ts';
import {ConfigurationStore} from './configuration-store.ts';
import {ManualClock} from '#clock';
import {succeed, type Result} from '#core';
import type {ObjectStore, StoreFailure, StoredObject} from '#object-store';
import {PeerNetworkStandin, PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

const createFiles = (version: number) => [{
	file: 'stock.json', text: JSON.stringify({
		service: 'stock', customers: [],
		pools: [{name: 'ledger', kind: 'service', targets: [{name: 's1', address: `10.0.0.${version % 250}:1`, zone: 'esbjerg'}]}],
		routes: [{name: 'ledger', pool: 'ledger'}],
	}),
}];

function createFleet() {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock);
	const network = new PeerNetworkStandin(clock);
	const stopping = new AbortController();
	const start = (name: string, isWatcher: boolean, source: ObjectStore = platform) => {
		const bus = network.join({name, zone: 'esbjerg', incarnation: name});
		const store = new ConfigurationStore(source, clock, createTelemetry({level: 'silent'}), {bus, isWatcher: () => isWatcher});
		void store.run(stopping.signal);
		return store;
	};

	const publish = async (version: number) => {
		const published = publishFragments(platform, createFiles(version));
		await clock.advance(50);
		return published;
	};

	return {
		clock, platform, network, stopping, start, publish,
	};
}

/** Creates a platform whose reads of the head are outdated, while its watches are not. */
function createLaggingPlatform(platform: ObjectStore, readHead: () => Result<StoredObject | undefined, StoreFailure>): ObjectStore {
	return {
		get: async key => key === headKey ? readHead() : platform.get(key),
		put: async (key, value, options) => platform.put(key, value, options),
		remove: async (key, options) => platform.remove(key, options),
		list: async prefix => platform.list(prefix),
		watch: async (prefix, revision, signal) => platform.watch(prefix, revision, signal),
		listInstances: async () => platform.listInstances(),
	};
}

t.test('peers receive a new generation while the platform is down', async t => {
	const {clock, platform, stopping, start, publish} = createFleet();
	const watcher = start('r1', true);
	const others = ['r2', 'r3', 'r4'].map(name => start(name, false));
	await publish(1);
	await clock.advance(20_000);
	const {read} = platform.served;
	const published = publishFragments(platform, createFiles(2));
	await clock.advanceUntil(() => watcher.current?.generation === 2, 1000);
	platform.setDown(true);
	const receipt = await published;
	t.ok(receipt.ok);
	await clock.advance(20);
	t.same(others.map(store => store.current?.generation), [2, 2, 2]);
	t.equal(platform.served.read - read < 8, true);
	stopping.abort();
});

t.test('an instance that starts during an outage fetches the configuration from a peer', async t => {
	const {clock, platform, stopping, start, publish} = createFleet();
	const firstStore = start('r1', true);
	await publish(1);
	platform.setDown(true);
	const lateStore = start('r2', true);
	lateStore.handlePeerGeneration({name: 'r1', zone: 'esbjerg', incarnation: 'r1'}, firstStore.current!.generation);
	t.ok(lateStore.isBehind);
	await clock.advance(20);
	t.equal(lateStore.current?.generation, 1);
	t.notOk(lateStore.isBehind);
	stopping.abort();
});

t.test('a generation found by a watch is applied although reads of the head are outdated', async t => {
	const {clock, platform, stopping, start, publish} = createFleet();
	await publish(1);
	const oldHead = await Promise.all([platform.get(headKey), clock.advance(10)]);
	const lagging = createLaggingPlatform(platform, () => oldHead[0]);
	const store = start('r1', true, lagging);
	await publish(2);
	await clock.advance(50);
	t.equal(store.current?.generation, 2);
	stopping.abort();
});

t.test('a fragment with a wrong checksum is not applied', async t => {
	const {clock, platform, network, stopping, start} = createFleet();
	platform.setDown(true);
	const faultyPeer = network.join({name: 'faulty', zone: 'esbjerg', incarnation: 'faulty'});
	faultyPeer.setRequestHandler('head', () => ({kind: 'head', generation: 9, fragments: {stock: '00'}}));
	faultyPeer.setRequestHandler('fragment', () => ({kind: 'fragment', text: createFiles(9)[0]!.text}));
	const store = start('r1', false);
	store.handlePeerGeneration({name: 'faulty', zone: 'esbjerg', incarnation: 'faulty'}, 9);
	await clock.advance(100);
	t.equal(store.current, undefined);
	t.equal(network.deliveredCounts.size, 0);
	stopping.abort();
});

t.test('generations never decrease under outdated reads, messages from peers and restarts', async t => {
	const step = fc.oneof(
		fc.record({kind: fc.constant('read'), age: fc.nat(5)}),
		fc.record({kind: fc.constant('peer message'), age: fc.nat(5)}),
		fc.record({kind: fc.constant('publish'), age: fc.constant(0)}),
		fc.record({kind: fc.constant('restart'), age: fc.constant(0)}),
	);
	const steps = fc.array(step, {minLength: 1, maxLength: 25});
	await fc.assert(fc.asyncProperty(steps, async list => {
		const {clock, platform, network, stopping, start, publish} = createFleet();
		const heads: Array<Result<StoredObject | undefined, StoreFailure>> = [];
		let age = 0;
		const lagging = createLaggingPlatform(platform, () => heads[Math.max(0, heads.length - 1 - age)] ?? succeed(undefined));
		const peerBus = network.join({name: 'peer', zone: 'esbjerg', incarnation: 'peer'});
		peerBus.setRequestHandler('fragment', () => undefined);
		peerBus.setRequestHandler('head', () => {
			const head = heads[Math.max(0, heads.length - 1 - age)];
			const parsed = head?.ok && head.value ? parseHead(head.value.value) : undefined;
			return parsed && {kind: 'head', generation: parsed.generation, fragments: parsed.fragments};
		});
		const otherStore = start('r0', false, lagging);
		let store = start('r1', false, lagging);
		let highestGeneration = 0;
		let version = 0;
		for (const step of list) {
			age = step.age;
			if (step.kind === 'publish') {
				await publish(++version);
				const [head] = await Promise.all([platform.get(headKey), clock.advance(10)]);
				heads.push(head);
			}

			if (step.kind === 'peer message') {
				store.handlePeerGeneration({name: 'peer', zone: 'esbjerg', incarnation: 'peer'}, heads.length);
			}

			if (step.kind === 'read') {
				void store.refresh();
			}

			await clock.advance(30);
			if (step.kind === 'restart') {
				store = start('r1', false, lagging);
				store.handlePeerGeneration({name: 'r0', zone: 'esbjerg', incarnation: 'r0'}, otherStore.current?.generation ?? 0);
				await clock.advance(30);
			}

			t.ok((store.current?.generation ?? 0) >= highestGeneration);
			highestGeneration = store.current?.generation ?? 0;
		}

		stopping.abort();
	}), {seed: 31, numRuns: 60});
});
