import t from 'tap';
import {KindMirror} from './kind-mirror.ts';
import {MirrorRelay} from './relay-mirrors.ts';
import {ManualClock} from '#clock';
import type {StoredObject} from '#object-store';
import type {Peer, PeerStatus} from '#peer-protocol';
import {PeerNetworkStandin} from '#standins';
import {createTelemetry} from '#telemetry';

const status: PeerStatus = {
	generation: 0, ready: true, running: 0, membersDigest: '',
};

function makeObject(key: string, revision: number): StoredObject {
	return {
		key, value: String(revision), version: revision, revision,
	};
}

function start(isFleet = false) {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const telemetry = createTelemetry({level: 'silent'});
	const join = (name: string) => {
		const peer: Peer = {name, zone: 'z', incarnation: name};
		const mirror = new KindMirror('k');
		const relay = new MirrorRelay({
			mirrors: [mirror], bus: network.join(peer), clock, telemetry, isFleet: () => isFleet,
		});
		return {peer, mirror, relay};
	};

	const [ahead, behind] = [join('ahead'), join('behind')];
	return {
		clock, network, ahead, behind,
		countFetches: (result = 'fetched') => telemetry.read('mirror_fetches_total', {kind: 'k', result}),
		tell() {
			behind.relay.hear(ahead.peer, {...status, revisions: ahead.relay.readRevisions()});
		},
	};
}

t.test('an instance that stays behind asks the peer that is ahead, once', async t => {
	const {clock, ahead, behind, tell, countFetches} = start();
	behind.mirror.replace([makeObject('k/a', 1)], 1);
	ahead.mirror.replace([makeObject('k/a', 1)], 1);
	ahead.mirror.apply({changed: [makeObject('k/b', 4)], deleted: ['k/a'], revision: 4}, 1);
	tell();
	tell();
	await clock.advance(200);
	t.strictSame(behind.mirror.list().map(({key}) => key), ['k/b']);
	t.equal(behind.mirror.revision, 4);
	t.equal(countFetches(), 1);
});

t.test('an instance that knows nothing is given the whole copy', async t => {
	const {clock, ahead, behind, tell} = start();
	ahead.mirror.replace([makeObject('k/a', 3), makeObject('k/b', 2)], 7);
	tell();
	await clock.advance(200);
	t.equal(behind.mirror.list().length, 2);
	t.equal(behind.mirror.revision, 7);
});

t.test('an instance whose own watch brings the change asks nobody', async t => {
	const {clock, ahead, behind, tell, countFetches} = start();
	ahead.mirror.replace([makeObject('k/a', 3)], 3);
	tell();
	behind.mirror.replace([makeObject('k/a', 3)], 3);
	await clock.advance(200);
	t.equal(countFetches(), 0);
	t.equal(countFetches('unanswered'), 0);
});

t.test('a peer that is cut off meanwhile is asked again when it is heard again', async t => {
	const {clock, network, ahead, behind, tell, countFetches} = start();
	ahead.mirror.replace([makeObject('k/a', 3)], 3);
	tell();
	network.setCut('ahead', true);
	await clock.advance(5000);
	t.equal(behind.mirror.revision, 0);
	network.setCut('ahead', false);
	tell();
	await clock.advance(200);
	t.equal(behind.mirror.revision, 3);
	t.equal(countFetches(), 1);
	t.equal(countFetches('no_link'), 1);
});

t.test('many instances: a burst of changes is announced at once, then once in 200 ms', async t => {
	const {clock, network, ahead, behind} = start(true);
	behind.mirror.replace([], 1);
	for (let revision = 2; revision < 42; revision++) {
		ahead.mirror.replace([makeObject('k/a', revision)], revision);
		await clock.advance(10);
	}

	t.ok(behind.mirror.revision >= 10, 'without any heartbeat');
	await clock.advance(500);
	t.equal(behind.mirror.revision, 41);
	t.ok(network.delivered.get('positions')! <= 8);
});

t.test('an instance without a copy answers nobody', async t => {
	const {clock, ahead, behind, countFetches} = start();
	behind.relay.hear(ahead.peer, {...status, revisions: {k: 9}});
	await clock.advance(5000);
	t.equal(countFetches('unanswered'), 1);
	t.equal(behind.mirror.revision, 0);
});
