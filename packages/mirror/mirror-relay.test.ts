import t from 'tap';
import {KindMirror} from './kind-mirror.ts';
import {MirrorRelay} from './mirror-relay.ts';
import {ManualClock} from '#clock';
import type {StoredObject} from '#object-store';
import type {Peer, PeerStatus} from '#peer-protocol';
import {PeerNetworkStandin} from '#standins';
import {createTelemetry} from '#telemetry';

const status: PeerStatus = {
	generation: 0, ready: true, running: 0, membersDigest: '',
};

function createObject(key: string, revision: number): StoredObject {
	return {
		key, value: String(revision), version: revision, revision,
	};
}

function start(isLargeFleet = false) {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const telemetry = createTelemetry({level: 'silent'});
	const join = (name: string) => {
		const peer: Peer = {name, zone: 'z', incarnation: name};
		const mirror = new KindMirror('k');
		const relay = new MirrorRelay({
			mirrors: [mirror], bus: network.join(peer), clock, telemetry, isLargeFleet: () => isLargeFleet,
		});
		return {peer, mirror, relay};
	};

	const [ahead, behind] = [join('ahead'), join('behind')];
	/** Adds an instance of the program before epochs were named: it knows none of their fields. */
	const joinOld = (objects: readonly StoredObject[], revision: number) => {
		const peer: Peer = {name: 'old', zone: 'z', incarnation: 'old'};
		const bus = network.join(peer);
		bus.setRequestHandler('changes', ({since}) => {
			const isWhole = since < objects[0]!.revision;
			return {
				kind: 'changes', isWhole, changed: isWhole ? [...objects] : objects.filter(object => object.revision > since), deleted: [], revision,
			};
		});
		return {peer, bus};
	};

	return {
		clock, network, ahead, behind, joinOld,
		countFetches: (result = 'fetched') => telemetry.getCounter('mirror_fetches_total', {kind: 'k', result}),
		sendHeartbeat() {
			behind.relay.handleHeartbeat(ahead.peer, {...status, revisions: ahead.relay.getRevisions(), epochs: ahead.relay.getEpochs()});
		},
	};
}

t.test('an instance that is behind requests the changes once from the peer that is ahead', async t => {
	const {clock, ahead, behind, sendHeartbeat, countFetches} = start();
	behind.mirror.replace([createObject('k/a', 1)], 1);
	ahead.mirror.replace([createObject('k/a', 1)], 1);
	ahead.mirror.apply({changed: [createObject('k/b', 4)], deleted: ['k/a'], revision: 4}, 1);
	sendHeartbeat();
	sendHeartbeat();
	await clock.advance(200);
	t.strictSame(behind.mirror.list().map(({key}) => key), ['k/b']);
	t.equal(behind.mirror.revision, 4);
	t.equal(countFetches(), 1);
});

t.test('an instance whose mirror is empty receives all objects', async t => {
	const {clock, ahead, behind, sendHeartbeat} = start();
	ahead.mirror.replace([createObject('k/a', 3), createObject('k/b', 2)], 7);
	sendHeartbeat();
	await clock.advance(200);
	t.equal(behind.mirror.list().length, 2);
	t.equal(behind.mirror.revision, 7);
});

t.test('an instance whose own watch receives the change sends no request', async t => {
	const {clock, ahead, behind, sendHeartbeat, countFetches} = start();
	ahead.mirror.replace([createObject('k/a', 3)], 3);
	sendHeartbeat();
	behind.mirror.replace([createObject('k/a', 3)], 3);
	await clock.advance(200);
	t.equal(countFetches(), 0);
	t.equal(countFetches('unanswered'), 0);
});

t.test('a peer that was unreachable is requested again after its next heartbeat', async t => {
	const {clock, network, ahead, behind, sendHeartbeat, countFetches} = start();
	ahead.mirror.replace([createObject('k/a', 3)], 3);
	sendHeartbeat();
	network.setIsolated('ahead', true);
	await clock.advance(5000);
	t.equal(behind.mirror.revision, 0);
	network.setIsolated('ahead', false);
	sendHeartbeat();
	await clock.advance(200);
	t.equal(behind.mirror.revision, 3);
	t.equal(countFetches(), 1);
	t.equal(countFetches('no_link'), 1);
});

t.test('in a large fleet, a burst of changes is broadcast at once, then every 200 ms', async t => {
	const {clock, network, ahead, behind} = start(true);
	behind.mirror.replace([], 1);
	for (let revision = 2; revision < 42; revision++) {
		ahead.mirror.replace([createObject('k/a', revision)], revision);
		await clock.advance(10);
	}

	t.ok(behind.mirror.revision >= 10, 'without any heartbeat');
	await clock.advance(500);
	t.equal(behind.mirror.revision, 41);
	t.ok(network.deliveredCounts.get('positions')! <= 8);
});

t.test('an instance whose mirror is empty does not answer requests', async t => {
	const {clock, ahead, behind, countFetches} = start();
	behind.relay.handleHeartbeat(ahead.peer, {...status, revisions: {k: 9}});
	await clock.advance(5000);
	t.equal(countFetches('unanswered'), 1);
	t.equal(behind.mirror.revision, 0);
});

// Guards against neighbours that tell each other again what both know, with each change of hundreds of targets.
t.test('in a large fleet the revisions go only to peers that have not stated them', async t => {
	const {clock, network, ahead, behind} = start(true);
	ahead.mirror.replace([createObject('k/a', 1)], 1);
	await clock.advance(1000);
	t.equal(behind.mirror.revision, 1);
	t.equal(network.deliveredCounts.get('positions'), 1, 'the peer that fetched a change does not send it back');
	for (let revision = 2; revision < 12; revision++) {
		ahead.mirror.apply({changed: [createObject('k/a', revision)], deleted: [], revision}, revision - 1);
		await clock.advance(1000);
	}

	t.equal(behind.mirror.revision, 11);
	t.equal(network.deliveredCounts.get('positions'), 11);
});

function listKeys(mirror: KindMirror): readonly string[] {
	return mirror.list().map(({key}) => key);
}

t.test('an instance of an earlier epoch receives all objects of the later one, whatever the revisions', async t => {
	const {clock, ahead, behind, sendHeartbeat, countFetches} = start();
	behind.mirror.replace([createObject('k/a', 90), createObject('k/b', 95)], 100, 1);
	ahead.mirror.replace([createObject('k/a', 90), createObject('k/c', 91)], 92, 2);
	sendHeartbeat();
	await clock.advance(200);
	t.strictSame(listKeys(behind.mirror), ['k/a', 'k/c']);
	t.equal(behind.mirror.epoch, 2);
	t.equal(behind.mirror.revision, 92);
	sendHeartbeat();
	await clock.advance(200);
	t.equal(countFetches(), 1);
});

t.test('nothing is taken from a peer of an earlier epoch, also by an instance that has just started', async t => {
	const {clock, ahead, behind, sendHeartbeat, countFetches} = start();
	ahead.mirror.replace([createObject('k/a', 90), createObject('k/b', 95)], 100, 1);
	behind.mirror.replace([createObject('k/a', 3)], 4, 2);
	sendHeartbeat();
	await clock.advance(200);
	t.strictSame(listKeys(behind.mirror), ['k/a']);
	t.equal(countFetches(), 0);
});

t.test('what an instance has taken from a peer of an earlier epoch is replaced by the store\'s list', async t => {
	const {clock, ahead, behind, sendHeartbeat} = start();
	ahead.mirror.replace([createObject('k/old', 95)], 100, 1);
	sendHeartbeat();
	await clock.advance(200);
	t.strictSame(listKeys(behind.mirror), ['k/old'], 'the store has not answered yet');
	behind.mirror.replace([createObject('k/a', 3)], 4, 2);
	t.strictSame(listKeys(behind.mirror), ['k/a']);
});

t.test('beside the build before: an instance that the store answers takes nothing from a peer that names no epoch', async t => {
	const {clock, behind, joinOld, countFetches} = start();
	const old = joinOld([createObject('k/old', 95)], 100);
	behind.mirror.replace([createObject('k/a', 3)], 4, 2);
	behind.mirror.setFollowingStore(true);
	behind.relay.handleHeartbeat(old.peer, {...status, revisions: {k: 95}});
	await clock.advance(200);
	t.strictSame(listKeys(behind.mirror), ['k/a']);
	t.equal(countFetches(), 0);
});

t.test('beside the build before: an instance that the store does not answer takes its changes, until the store does', async t => {
	const {clock, behind, joinOld} = start();
	const old = joinOld([createObject('k/a', 90), createObject('k/b', 95)], 100);
	behind.mirror.replace([createObject('k/a', 90)], 93, 2);
	behind.relay.handleHeartbeat(old.peer, {...status, revisions: {k: 95}});
	await clock.advance(200);
	t.strictSame(listKeys(behind.mirror), ['k/a', 'k/b']);
	t.strictSame(behind.relay.getEpochs(), {}, 'it does not tell them on as of its epoch');
	behind.mirror.replace([createObject('k/a', 90)], 94, 2);
	t.strictSame(listKeys(behind.mirror), ['k/a']);
});

t.test('beside the build before: it gets differences, and all objects after the epoch has changed', async t => {
	const {clock, ahead, joinOld} = start();
	const {bus} = joinOld([createObject('k/old', 95)], 100);
	const request = async () => {
		const response = bus.request(ahead.peer, {kind: 'changes', objects: 'k', since: 100});
		await clock.advance(10);
		return response;
	};

	ahead.mirror.replace([createObject('k/a', 90)], 100, 1);
	ahead.mirror.apply({
		changed: [createObject('k/b', 101)], deleted: [], revision: 101, epoch: 1,
	}, 100);
	t.match(await request(), {ok: true, value: {isWhole: false, changed: [{key: 'k/b'}]}});
	ahead.mirror.replace([createObject('k/a', 90)], 92, 2);
	ahead.mirror.apply({
		changed: [createObject('k/c', 102)], deleted: [], revision: 102, epoch: 2,
	}, 92);
	await clock.advance(1);
	t.match(await request(), {ok: true, value: {isWhole: true, changed: [{key: 'k/a'}, {key: 'k/c'}], revision: 102}});
});

// Guards against links that are closed again and again because of the entries of another writer.
t.test('changes that do not fit into one message are not sent', async t => {
	const {clock, ahead, behind, sendHeartbeat, countFetches} = start();
	ahead.mirror.replace(Array.from({length: 20}, (_item, index) => ({...createObject(`k/${index}`, 3), value: 'x'.repeat(65_536)})), 7);
	sendHeartbeat();
	await clock.advance(3000);
	t.equal(behind.mirror.revision, 0);
	t.equal(countFetches(), 0);
	t.equal(countFetches('unanswered'), 1);
});
