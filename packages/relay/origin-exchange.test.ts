import t, {type Test} from 'tap';
import {OriginExchange} from './origin-exchange.ts';
import {resolveOrigin, type ResumedStream} from './resolve-origin.ts';
import {computeStreamKey, originRetentionMs, StreamOrigins} from './stream-origins.ts';
import {TargetSet} from './target-set.ts';
import {ManualClock} from '#clock';
import {
	createRandom, prepareHash, type RelayRoute, type RelayTarget,
} from '#core';
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

/** Starts instances before targets of these versions. */
function start(t: Test, names: readonly string[], versions: readonly string[]) {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const stopping = new AbortController();
	const instances = names.map((name, index) => {
		const origins = new StreamOrigins(clock);
		const targets = new TargetSet(clock, {connectTimeoutMs: 1, idleTimeoutMs: 1});
		targets.update(createTargets(versions));
		const exchange = new OriginExchange({
			origins, clock, random: createRandom(index + 1), bus: network.join({name, zone: 'z', incarnation: name}), hasSeveralVersions: withinMs => targets.hasSeveralVersions(withinMs),
		});
		void exchange.run(stopping.signal);
		return {
			origins, targets, exchange, telemetry: createTelemetry({level: 'silent'}), versionRecord: {getKnowledge: () => 'complete' as const},
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

t.test('an unknown origin is requested from the peers, and mostly one of them answers', async t => {
	const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
	const {clock, network, a, instances} = start(t, names, ['v2', 'v2']);
	for (const {origins} of instances.slice(1)) {
		origins.record({key: getKey(), origin});
	}

	const found = a.exchange.request(getKey());
	await clock.advance(100);
	t.strictSame(await found, origin);
	const answers = (network.deliveredCounts.get('origins') ?? 0) / (names.length - 1);
	t.ok(answers <= 2, `${answers} answers`);
});

// Guards against links that older programs close on messages that they do not know, also where only a peer of a peer is older.
t.test('messages are understood if all peers are linked and state the extension', async t => {
	const names = Array.from({length: 14}, (_item, index) => `n${index}`);
	t.ok(start(t, names.slice(0, 4), ['v2']).a.exchange.isUnderstood());
	t.notOk(start(t, names, ['v2']).a.exchange.isUnderstood());
	const clock = new ManualClock();
	const bus = {...new PeerNetworkStandin(clock).join({name: 'a', zone: 'z', incarnation: 'a'}), listNeighbours: () => [{name: 'b', zone: 'z', incarnation: 'b'}]};
	t.notOk(new OriginExchange({
		origins: new StreamOrigins(clock), clock, random: createRandom(1), bus, hasSeveralVersions: () => false,
	}).isUnderstood(), 'a neighbour that states no extension');
});

t.test('a request that no peer can answer ends after a bounded time', async t => {
	const {clock, a} = start(t, ['a', 'b'], ['v2', 'v3']);
	let found: unknown = 'waiting';
	void a.exchange.request(getKey()).then(result => {
		found = result;
	});
	await clock.advance(299);
	t.equal(found, 'waiting');
	await clock.advance(2);
	t.equal(found, undefined);
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
	const dependencies = {...a, exchange: {request: async () => undefined, isUnderstood: () => true}};
	t.strictSame(await resolveOrigin(dependencies, resumed), {kind: 'any'});
	a.targets.update(createTargets(['v3', 'v3']));
	t.strictSame(await resolveOrigin(dependencies, resumed), {kind: 'unknown'}, 'v2 has left just now');
	await clock.advance(originRetentionMs + 1);
	t.strictSame(await resolveOrigin(dependencies, resumed), {kind: 'any'});
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
