/** The archive of origins: what it holds after all instances have ended, and what it costs. */
import {Buffer} from 'node:buffer';
import t, {type Test} from 'tap';
import {OriginArchive} from './origin-archive.ts';
import {OriginExchange} from './origin-exchange.ts';
import {computeStreamKey, originRetentionMs, StreamOrigins} from './stream-origins.ts';
import {runArchiveFleet} from './testing/archive-fleet.ts';
import {ManualClock} from '#clock';
import {createRandom, prepareHash} from '#core';
import {PeerNetworkStandin, PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

t.before(prepareHash);

const origin = {pool: 'p', softwareVersion: 'v1'};
const telemetry = createTelemetry({level: 'silent'});

/** Starts instances with an archive. */
function start(t: Test, names: readonly string[], writesPerSecond = 400) {
	const clock = new ManualClock();
	const store = new PlatformStandin(clock, {writesPerSecond});
	const network = new PeerNetworkStandin(clock);
	const state = {areSeveral: true, epoch: 1};
	const startInstance = (name: string, rank = 0) => {
		const stopping = new AbortController();
		const origins = new StreamOrigins(clock);
		const bus = network.join({name, zone: 'z', incarnation: name});
		const hasSeveralVersions = () => state.areSeveral;
		const epochStore = {
			put: async (...parameters: Parameters<PlatformStandin['put']>) => store.put(...parameters), get: async (key: string) => store.get(key),
			remove: async (...parameters: Parameters<PlatformStandin['remove']>) => store.remove(...parameters), list: async (prefix: string) => store.list(prefix),
			watch: async (...parameters: Parameters<PlatformStandin['watch']>) => store.watch(...parameters), listInstances: async () => store.listInstances(), getEpoch: () => state.epoch,
		};
		const archive = new OriginArchive({
			clock, telemetry, store: epochStore, urgentStore: store, kind: 'origins', incarnation: name, origins, bus, hasSeveralVersions,
			countInstances: () => names.length, writesPerSecond, getRank: () => rank,
		});
		const exchange = new OriginExchange({
			origins, bus, clock, random: createRandom(1), archive, hasSeveralVersions, listVersions: () => [], refresh: async () => undefined, isStoreAnswering: () => true,
		});
		void archive.run(stopping.signal);
		void exchange.run(stopping.signal);
		const stop = () => {
			stopping.abort();
			network.leave(name);
		};

		t.teardown(stop);
		return {origins, archive, stop};
	};

	/** Looks a stream up as an instance does that has just started. */
	const find = async (id: string) => {
		const {archive, stop} = startInstance('next', 1);
		const found = archive.fetch(computeStreamKey('ann', id));
		await clock.advance(1500);
		stop();
		return found;
	};

	const listObjects = async () => {
		const listed = store.list('origins/');
		await clock.advance(5);
		const result = await listed;
		return result.ok ? result.value.objects : [];
	};

	const countObjects = async () => {
		const {length} = await listObjects();
		return length;
	};

	return {
		clock, store, network, state, startInstance, find, listObjects, countObjects, instances: names.map((name, rank) => startInstance(name, rank)),
	};
}

const begin = ({origins}: Readonly<{origins: StreamOrigins}>, id: string) => {
	origins.recordOwn(computeStreamKey('ann', id), origin);
};

t.test('the streams of every instance are found after all have ended', async t => {
	const {clock, instances, find} = start(t, ['a', 'b', 'c', 'd']);
	for (const [index, instance] of instances.entries()) {
		begin(instance, `stream ${index}`);
	}

	await clock.advance(300);
	for (const {stop} of instances) {
		stop();
	}

	for (const index of instances.keys()) {
		t.strictSame(await find(`stream ${index}`), {kind: 'found', origin});
	}

	t.strictSame(await find('another'), {kind: 'absent'});
});

t.test('an archive that cannot be read says so', async t => {
	const {clock, store, instances, find} = start(t, ['a']);
	begin(instances[0]!, 'stream');
	await clock.advance(300);
	store.setDown(true);
	t.strictSame(await find('stream'), {kind: 'unread'});
	store.setDown(false);
	t.strictSame(await find('stream'), {kind: 'found', origin});
});

t.test('two of all instances write, at most ten times a second each', async t => {
	const {clock, store, instances} = start(t, ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']);
	for (let step = 0; step < 500; step++) {
		begin(instances[step % instances.length]!, `stream ${step}`);
		await clock.advance(10);
	}

	t.ok(store.served.write <= 2 * (1 + (10 * 5)), `${store.served.write} writes in 5 s`);
});

// Guards against the loss of what another write of the same object replaces after its answer was lost.
t.test('a write whose answer is lost is repeated in another object', async t => {
	const {clock, store, instances, find, countObjects} = start(t, ['a']);
	begin(instances[0]!, 'first');
	await clock.advance(200);
	store.delayWrites(1, 2000);
	begin(instances[0]!, 'second');
	await clock.advance(500);
	begin(instances[0]!, 'third');
	await clock.advance(3000);
	t.ok(await countObjects() >= 2);
	for (const id of ['first', 'second', 'third']) {
		t.match(await find(id), {kind: 'found'}, id);
	}
});

t.test('origins are written after an outage of the store', async t => {
	const {clock, store, instances, find} = start(t, ['a']);
	store.setDown(true);
	begin(instances[0]!, 'stream');
	await clock.advance(5000);
	store.setDown(false);
	await clock.advance(1000);
	t.match(await find('stream'), {kind: 'found'});
});

t.test('a store that has come back from an older copy gets all origins again', async t => {
	const {clock, store, state, instances, find, listObjects} = start(t, ['a']);
	begin(instances[0]!, 'stream');
	await clock.advance(300);
	for (const {key} of await listObjects()) {
		const removed = store.remove(key);
		await clock.advance(5);
		await removed;
	}

	state.epoch = 2;
	await clock.advance(500);
	t.match(await find('stream'), {kind: 'found'});
});

t.test('streams of the retention time are written when several versions begin to serve', async t => {
	const {clock, store, state, instances, find} = start(t, ['a', 'b']);
	state.areSeveral = false;
	await clock.advance(300);
	const {write} = store.served;
	begin(instances[0]!, 'a stream');
	begin(instances[1]!, 'b stream');
	await clock.advance(5000);
	t.equal(store.served.write, write, 'nothing is written before');
	state.areSeveral = true;
	begin(instances[0]!, 'another');
	begin(instances[1]!, 'yet another');
	await clock.advance(500);
	for (const id of ['a stream', 'b stream', 'another', 'yet another']) {
		t.match(await find(id), {kind: 'found'}, id);
	}
});

t.test('an instance that takes over from an archivist archives the streams of the retention time', async t => {
	const {clock, instances, network, listObjects, store, find} = start(t, ['a', 'b', 'c', 'd']);
	for (const [index, instance] of instances.entries()) {
		begin(instance, `stream ${index}`);
	}

	await clock.advance(300);
	const names = ['a', 'b', 'c', 'd'];
	const archivists = instances[0]!.archive.listArchivists();
	for (const name of archivists) {
		instances[names.indexOf(name)]!.stop();
		network.leave(name);
	}

	for (const {key} of await listObjects()) {
		const removed = store.remove(key);
		await clock.advance(5);
		await removed;
	}

	const left = names.filter(name => !archivists.includes(name));
	for (const name of left) {
		begin(instances[names.indexOf(name)]!, `later ${name}`);
	}

	await clock.advance(1000);
	for (const name of left) {
		t.match(await find(`stream ${names.indexOf(name)}`), {kind: 'found'});
	}
});

// Guards against the loss of streams of instances whose program hands nothing to archivists, while builds are replaced.
t.test('the streams of a neighbour with an older program are archived, but not what peers answer', async t => {
	const clock = new ManualClock();
	const store = new PlatformStandin(clock);
	const network = new PeerNetworkStandin(clock);
	const stopping = new AbortController();
	t.teardown(() => {
		stopping.abort();
	});
	const archive = new OriginArchive({
		clock, telemetry, store, urgentStore: store, kind: 'origins', incarnation: 'new', origins: new StreamOrigins(clock), hasSeveralVersions: () => true,
		bus: {...network.join({name: 'new', zone: 'z', incarnation: 'new'}), listArchivingPeers: () => []}, countInstances: () => 2, writesPerSecond: 400, getRank: () => 0,
	});
	void archive.run(stopping.signal);
	await clock.advance(300);
	const older = network.join({name: 'old', zone: 'z', incarnation: 'old'});
	const [announced, answered] = ['announced', 'answered'].map(id => ({key: computeStreamKey('ann', id), ...origin}));
	older.broadcast({kind: 'origins', origins: [announced!]});
	older.broadcast({kind: 'origins', origins: [answered!], answer: {number: 0, versions: [], isRefreshed: false}});
	await clock.advance(500);
	const found = archive.fetch(announced!.key);
	await clock.advance(10);
	t.strictSame(await found, {kind: 'found', origin});
	const absent = archive.fetch(answered!.key);
	await clock.advance(1000);
	t.strictSame(await absent, {kind: 'absent'});
});

t.test('objects are removed after the retention time by their writer, or by the first instance if that has ended', async t => {
	const {clock, state, instances, countObjects, startInstance} = start(t, ['a', 'b', 'c']);
	for (const instance of instances) {
		begin(instance, `stream ${instances.indexOf(instance)}`);
	}

	await clock.advance(300);
	t.ok(await countObjects() > 0);
	for (const {stop} of instances) {
		stop();
	}

	startInstance('next', 0);
	await clock.advance(1000);
	state.areSeveral = false;
	await clock.advance(originRetentionMs / 2);
	t.ok(await countObjects() > 0, 'kept for the retention time');
	await clock.advance(2 * originRetentionMs);
	t.equal(await countObjects(), 0);
});

t.test('an object of another writer hides no other, and of two origins of a stream neither counts', async t => {
	const {clock, store, instances, find} = start(t, ['a']);
	begin(instances[0]!, 'stream');
	await clock.advance(300);
	const key = Buffer.from(computeStreamKey('ann', 'doubtful'), 'hex').toString('base64');
	for (const [index, value] of [
		'null', '{"origins":3}', '"text"', `{"origins":[{"pool":"p","softwareVersion":"v1","keys":"${key}"}]}`, `{"origins":[{"pool":"p","softwareVersion":"v2","keys":"${key}"}]}`,
	].entries()) {
		const put = store.put(`origins/other-${index}`, value);
		await clock.advance(5);
		await put;
	}

	t.strictSame(await find('stream'), {kind: 'found', origin});
	t.strictSame(await find('doubtful'), {kind: 'absent'});
});

// Guards against fewer than half of the streams going on after all instances have ended (LOST), in a small fleet and at the size of the target.
t.test('most streams that began a moment before the end of all instances are archived, and none at another version', async t => {
	const writesPerSecond = 400;
	for (const [instances, streamsPerSecond, ageMs] of [[4, 36, 300], [390, 1275, 3000]] as const) {
		const fleet = await runArchiveFleet({
			instances, streamsPerSecond, writesPerSecond, durationMs: 5000, seed: 5,
		});
		const {begun, right, wrong} = fleet.countArchived(ageMs, 200);
		t.ok(right > begun / 2, `${right} of ${begun} streams at ${instances} instances`);
		t.equal(wrong, 0);
		t.ok(fleet.writes / fleet.durationS <= writesPerSecond / 4, `${fleet.writes} writes in ${fleet.durationS} s`);
	}
});
