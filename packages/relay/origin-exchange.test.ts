import t, {type Test} from 'tap';
import {OriginExchange} from './origin-exchange.ts';
import {resolveOrigin, type ResumedStream} from './resolve-origin.ts';
import {computeStreamKey, originRetentionMs, StreamOrigins} from './stream-origins.ts';
import {TargetSet} from './target-set.ts';
import {ManualClock} from '#clock';
import {
	createRandom, prepareHash, type RelayRoute, type RelayTarget,
} from '#core';
import type {PeerBus} from '#peer-protocol';
import {PeerNetworkStandin} from '#standins';
import {createTelemetry} from '#telemetry';

t.before(prepareHash);

const origin = {pool: 'p', softwareVersion: 'v2'};
const route: RelayRoute = {
	name: 'r', host: 'h', pathPrefix: '/', pools: [{pool: 'p', weight: 1}], isStream: true, retryPolicy: 'resume', maxTargets: 2,
	timeoutMs: 3000, promisedMs: 500, promisedGapMs: 400, priority: 0, isPublic: true,
};
const resumed: ResumedStream = {
	requestId: 'again', route, customer: 'ann', lastEventId: '4', resumedRequestId: 'first',
};
const getKey = () => computeStreamKey('ann', 'first');

function createTargets(versions: readonly string[]): readonly RelayTarget[] {
	return versions.map((softwareVersion, index) => ({
		id: `t${index}`, incarnation: `t${index}@1`, startedWallMs: 0, pool: 'p', address: `127.0.0.1:${index + 1}`, zone: 'z', slots: 4,
		isDraining: false, softwareVersion, weights: new Map(),
	}));
}

/** An archive that keeps nothing. */
const archive = {listArchivists: () => [], listOwn: () => [], fetch: async () => ({kind: 'absent' as const})};

/** Starts instances before targets of these versions. */
function start(t: Test, names: readonly string[], versions: readonly string[]) {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const stopping = new AbortController();
	const instances = names.map((name, index) => {
		const origins = new StreamOrigins(clock);
		const targets = new TargetSet(clock, {connectTimeoutMs: 1, idleTimeoutMs: 1});
		targets.update(createTargets(versions));
		const store = {isAnswering: true, reads: 0};
		const refresh = async () => {
			store.reads++;
			return store.isAnswering ? new Map([['p', ['v0']]]) : undefined;
		};

		const exchange = new OriginExchange({
			origins, clock, random: createRandom(index + 1), bus: network.join({name, zone: 'z', incarnation: name}), hasSeveralVersions: withinMs => targets.hasSeveralVersions(withinMs),
			listVersions: pool => targets.listVersions(pool, originRetentionMs), refresh, isStoreAnswering: () => store.isAnswering, archive,
		});
		void exchange.run(stopping.signal);
		return {
			origins, targets, exchange, archive, store, telemetry: createTelemetry({level: 'silent'}), versionRecord: {getKnowledge: () => 'complete' as const}, refresh: async () => new Map(),
		};
	});
	t.teardown(() => {
		stopping.abort();
	});
	return {
		clock, network, a: instances[0]!, b: instances[1]!, instances,
	};
}

t.test('origins are announced only while several software versions serve', async t => {
	const {clock, network, a, b} = start(t, ['a', 'b'], ['v2', 'v2']);
	a.origins.recordOwn(getKey(), origin);
	await clock.advance(500);
	t.equal(network.deliveredCounts.get('origins'), undefined);
	a.targets.update(createTargets(['v2', 'v3']));
	await clock.advance(100);
	t.strictSame(b.origins.get(getKey()), origin);
	await clock.advance(500);
	t.equal(network.deliveredCounts.get('origins'), 1, 'an origin is announced once');
});

// Guards against the refusal of streams whose instance ends during an outage of the store (LOST): nobody can say then that there is only one version.
t.test('origins are announced while the store does not answer', async t => {
	const {clock, a, b} = start(t, ['a', 'b'], ['v2', 'v2']);
	a.origins.recordOwn(getKey(), origin);
	await clock.advance(500);
	t.equal(b.origins.get(getKey()), undefined);
	a.store.isAnswering = false;
	await clock.advance(100);
	t.strictSame(b.origins.get(getKey()), origin);
});

// Guards against streams of unknown origin while a version that has left still counts: their callers were refused.
t.test('origins are announced until the retention time after several software versions served', async t => {
	const {clock, network, a, b} = start(t, ['a', 'b'], ['v1', 'v2']);
	a.targets.update(createTargets(['v2', 'v2']));
	await clock.advance(originRetentionMs - 1000);
	a.origins.recordOwn(getKey(), origin);
	await clock.advance(100);
	t.strictSame(b.origins.get(getKey()), origin);
	await clock.advance(2000);
	a.origins.recordOwn(computeStreamKey('ann', 'second'), origin);
	await clock.advance(500);
	t.equal(network.deliveredCounts.get('origins'), 1);
});

t.test('an unknown origin is requested from the peers, and answered to the one that asks', async t => {
	const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
	const {clock, network, a, instances} = start(t, names, ['v2', 'v2']);
	for (const {origins} of instances.slice(1)) {
		origins.record({key: getKey(), origin});
	}

	const found = a.exchange.request({
		key: getKey(), pools: ['p'], shouldRefresh: false, isForAll: true,
	});
	await clock.advance(5);
	const {origin: foundOrigin} = await found;
	t.strictSame(foundOrigin, origin);
	t.equal(network.deliveredCounts.get('origins'), names.length - 1);
});

// Guards against peers whose program knows the question, but not that it is to be answered in any case.
t.test('a question of an older program is answered to all by mostly one of the peers that know the origin', async t => {
	const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
	const {clock, network, a, instances} = start(t, names, ['v2', 'v2']);
	for (const {origins} of instances.slice(1)) {
		origins.record({key: getKey(), origin});
	}

	network.join({name: 'older', zone: 'z', incarnation: 'older'}).broadcast({kind: 'origin_wanted', key: getKey()});
	await clock.advance(100);
	t.strictSame(a.origins.get(getKey()), origin);
	const answers = (network.deliveredCounts.get('origins') ?? 0) / names.length;
	t.ok(answers <= 2, `${answers} answers`);
});

t.test('peers that do not know the origin answer at once with the versions that they know of', async t => {
	const {clock, a, b} = start(t, ['a', 'b', 'c'], ['v1']);
	b.targets.recordVersions('p', ['v2']);
	const question = {
		key: getKey(), pools: ['p'], shouldRefresh: false, isForAll: false,
	};
	const answer = a.exchange.request(question);
	await clock.advance(5);
	t.strictSame(await answer, {origin: undefined, versions: new Map([['p', ['v1', 'v2']]]), isRefreshed: false});
	t.equal(b.store.reads, 0);
	const refreshed = a.exchange.request({...question, shouldRefresh: true});
	await clock.advance(5);
	t.strictSame(await refreshed, {origin: undefined, versions: new Map([['p', ['v1', 'v2', 'v0']]]), isRefreshed: true});
	t.equal(b.store.reads, 1);
});

t.test('a peer that the store does not answer says so', async t => {
	const {clock, a, b} = start(t, ['a', 'b'], ['v1']);
	b.store.isAnswering = false;
	const answer = a.exchange.request({
		key: getKey(), pools: ['p'], shouldRefresh: true, isForAll: false,
	});
	await clock.advance(5);
	t.strictSame(await answer, {origin: undefined, versions: new Map([['p', ['v1']]]), isRefreshed: false});
});

// Guards against an answer that has waited since before a suspension.
t.test('an answer to an earlier question does not count', async t => {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const targets = new TargetSet(clock, {connectTimeoutMs: 1, idleTimeoutMs: 1});
	const exchange = new OriginExchange({
		origins: new StreamOrigins(clock), clock, random: createRandom(1), bus: network.join({name: 'a', zone: 'z', incarnation: 'a'}), hasSeveralVersions: () => false,
		listVersions: pool => targets.listVersions(pool, originRetentionMs), refresh: async () => undefined, isStoreAnswering: () => true, archive,
	});
	const peer = network.join({name: 'b', zone: 'z', incarnation: 'b'});
	const numbers: number[] = [];
	peer.subscribe('origin_wanted', ({question}) => {
		numbers.push(question!.number);
	});
	const question = {
		key: getKey(), pools: ['p'], shouldRefresh: true, isForAll: false,
	};
	const first = exchange.request(question);
	await clock.advance(1000);
	t.match(await first, {isRefreshed: false});
	const second = exchange.request(question);
	await clock.advance(5);
	peer.broadcast({kind: 'origins', origins: [], answer: {number: numbers[0]!, versions: [], isRefreshed: true}});
	await clock.advance(1000);
	t.match(await second, {isRefreshed: false});
	t.equal(new Set(numbers).size, 2);
});

// Guards against links that older programs close on messages that they do not know.
t.test('a question that is not for all goes only to neighbours that state the extension', async t => {
	const clock = new ManualClock();
	const sent: string[] = [];
	const neighbours = ['b', 'c'].map(name => ({name, zone: 'z', incarnation: name}));
	const bus: PeerBus = {
		...new PeerNetworkStandin(clock).join({name: 'a', zone: 'z', incarnation: 'a'}), listPeers: () => neighbours, listNeighbours: () => neighbours, listChannelPeers: () => neighbours.slice(1),
		sendToSample(_message, isReceiver = () => true) {
			sent.push(...neighbours.filter(peer => isReceiver(peer)).map(({name}) => name));
		},
		broadcast() {
			sent.push('all');
		},
	};
	const exchange = new OriginExchange({
		origins: new StreamOrigins(clock), clock, random: createRandom(1), bus,
		hasSeveralVersions: () => false, listVersions: () => [], refresh: async () => undefined, isStoreAnswering: () => true, archive,
	});
	void exchange.request({
		key: getKey(), pools: ['p'], shouldRefresh: false, isForAll: false,
	});
	t.strictSame(sent, ['c']);
	void exchange.request({
		key: getKey(), pools: ['p'], shouldRefresh: false, isForAll: true,
	});
	t.strictSame(sent, ['c', 'all']);
	await clock.advance(1000);
});

t.test('a request that no peer answers ends after a bounded time', async t => {
	for (const [shouldRefresh, timeoutMs] of [[false, 300], [true, 400]] as const) {
		const {clock, network, a} = start(t, ['a'], ['v2', 'v3']);
		network.join({name: 'silent', zone: 'z', incarnation: 'silent'});
		let found: unknown = 'waiting';
		void a.exchange.request({
			key: getKey(), pools: ['p'], shouldRefresh, isForAll: true,
		}).then(({origin}) => {
			found = origin;
		});
		await clock.advance(timeoutMs - 1);
		t.equal(found, 'waiting');
		await clock.advance(2);
		t.equal(found, undefined);
	}
});

t.test('the first origin of a stream stays, for the retention time at least', async t => {
	const {clock, a} = start(t, ['a', 'b'], ['v2', 'v3']);
	a.origins.recordOwn(getKey(), origin);
	a.origins.record({key: getKey(), origin: {pool: 'p', softwareVersion: 'v3'}});
	t.strictSame(a.origins.get(getKey()), origin);
	await clock.advance(originRetentionMs);
	a.origins.record({key: 'other', origin});
	t.strictSame(a.origins.get(getKey()), origin);
	await clock.advance(originRetentionMs);
	a.origins.record({key: 'other', origin});
	t.equal(a.origins.get(getKey()), undefined);
});

t.test('a stream may go on anywhere only while its pool has had one software version for the retention time', async t => {
	const {clock, a} = start(t, ['a'], ['v2', 'v2']);
	const dependencies = {...a, exchange: {request: async () => ({versions: new Map(), isRefreshed: false})}};
	t.strictSame(await resolveOrigin(dependencies, resumed), {kind: 'any', softwareVersions: new Map([['p', 'v2']])});
	a.targets.update(createTargets(['v3', 'v3']));
	t.strictSame(await resolveOrigin(dependencies, resumed), {kind: 'unknown'}, 'v2 has left just now');
	await clock.advance(originRetentionMs + 1);
	t.strictSame(await resolveOrigin(dependencies, resumed), {kind: 'any', softwareVersions: new Map([['p', 'v3']])});
});

t.test('a stream goes on at its origin, unless its route has left that pool; other requests run anywhere', async t => {
	const {a} = start(t, ['a'], ['v2', 'v3']);
	a.origins.recordOwn(getKey(), origin);
	t.strictSame(await resolveOrigin(a, resumed), {kind: 'origin', origin});
	t.strictSame(await resolveOrigin(a, {...resumed, route: {...route, pools: [{pool: 'q', weight: 1}]}}), {kind: 'moved'});
	t.strictSame(await resolveOrigin(a, {...resumed, customer: 'bo'}), {kind: 'unknown'}, 'streams of another customer are not found');
	t.strictSame(await resolveOrigin(a, {...resumed, lastEventId: undefined}), {kind: 'any'});
	t.strictSame(await resolveOrigin(a, {...resumed, route: {...route, retryPolicy: 'once'}}), {kind: 'any'});
});

t.test('origins go to the archivists to be archived, and again to those that are new', async t => {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const stopping = new AbortController();
	t.teardown(() => {
		stopping.abort();
	});
	const received = new Map<string, unknown[]>();
	for (const name of ['b', 'c']) {
		received.set(name, []);
		network.join({name, zone: 'z', incarnation: name}).subscribe('origins', ({origins: announced, shouldArchive}) => {
			received.get(name)!.push(...announced.map(({key}) => [key, shouldArchive]));
		});
	}

	const origins = new StreamOrigins(clock);
	const state = {archivists: ['a', 'b']};
	const exchange = new OriginExchange({
		origins, clock, random: createRandom(1), bus: network.join({name: 'a', zone: 'z', incarnation: 'a'}), hasSeveralVersions: () => true,
		listVersions: () => [],
		refresh: async () => undefined, isStoreAnswering: () => true, archive: {listArchivists: () => state.archivists, listOwn: () => [{key: 'first', origin}]},
	});
	void exchange.run(stopping.signal);
	origins.recordOwn('first', origin);
	await clock.advance(200);
	t.strictSame([...received.values()], [[['first', true]], [['first', undefined]]]);
	state.archivists = ['a', 'c'];
	origins.recordOwn('second', origin);
	await clock.advance(200);
	t.strictSame(received.get('c')!.slice(1), [['second', true], ['first', true]]);
});
