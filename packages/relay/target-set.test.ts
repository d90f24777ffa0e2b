import t from 'tap';
import {TargetSet} from './target-set.ts';
import {ManualClock} from '#clock';
import {prepareHash, type RelayTarget} from '#core';
import {peerMessageSchema} from '#peer-protocol';

/** Creates a target. Ids of different lengths get different addresses. */
function createTarget(id: string, options: Partial<RelayTarget> = {}): RelayTarget {
	return {
		id, incarnation: `${id}@1`, startedWallMs: 1, pool: 'p', address: `10.0.0.1:${id.length}`, zone: 'z', slots: 4, isDraining: false, softwareVersion: 'v1', weights: new Map(), ...options,
	};
}

function start() {
	const clock = new ManualClock();
	return {clock, targets: new TargetSet(clock, {connectTimeoutMs: 1, idleTimeoutMs: 1})};
}

t.test('of two targets at one address, only the one that started last is kept', async t => {
	const {targets} = start();
	targets.update([createTarget('old', {address: '10.0.0.1:80'}), createTarget('new', {address: '10.0.0.1:80', startedWallMs: 5, pool: 'q'}), createTarget('other')]);
	t.strictSame(targets.list().map(({target}) => target.id), ['new', 'other']);
	t.equal(targets.listPool('p').length, 1);
});

t.test('two targets at one address without start times are both kept', async t => {
	const {targets} = start();
	targets.update([createTarget('a', {address: '10.0.0.1:80', startedWallMs: 0}), createTarget('b', {address: '10.0.0.1:80', startedWallMs: 0})]);
	t.equal(targets.list().length, 2);
});

t.test('a restarted target with the same id gets a new state', async t => {
	const {targets} = start();
	targets.update([createTarget('a', {weights: new Map([['m', 2]])})]);
	const before = targets.get('a')!;
	before.markReplaced();
	targets.update([createTarget('a', {incarnation: 'a@2', startedWallMs: 2, weights: new Map([['m', 1]])})]);
	const after = targets.get('a')!;
	t.not(after, before);
	t.notOk(after.isReplaced);
	t.equal(after.weights.get('m'), 1);
});

t.test('an updated entry of the same process keeps its state', async t => {
	const {targets} = start();
	targets.update([createTarget('a', {weights: new Map([['m', 1]])})]);
	targets.get('a')!.recordWeights('m', 3);
	targets.update([createTarget('a', {weights: new Map([['m', 2]]), isDraining: true})]);
	t.equal(targets.get('a')!.weights.get('m'), 3);
	t.ok(targets.get('a')!.target.isDraining);
});

t.test('the newest report of each peer\'s work counts until it expires', async t => {
	const {clock, targets} = start();
	targets.update([createTarget('a')]);
	const state = targets.get('a')!;
	state.inFlight = 1;
	targets.applyPeerWork('one', [{
		target: 'a', requests: 2, tokens: 50, byUrgency: [20, 30],
	}], clock.now());
	targets.applyPeerWork('two', [{target: 'a', requests: 3, tokens: 10}], clock.now());
	t.equal(state.countRequests(clock.now()), 6);
	t.equal(state.sumWork(clock.now(), 0).tokens, 30);
	t.equal(state.sumWork(clock.now(), 9).tokens, 60);
	targets.applyPeerWork('one', [], clock.now());
	t.equal(state.countRequests(clock.now()), 4);
	targets.removePeersExcept(['one']);
	t.equal(state.countRequests(clock.now()), 1);
	targets.applyPeerWork('one', [{target: 'a', requests: 2, tokens: 0}], clock.now());
	await clock.advance(3000);
	t.equal(state.countRequests(clock.now()), 1);
});

// Guards against instances that fill an engine's memory together, and against what an instance has held that counts after it is gone.
t.test('long prompts through two instances: what a peer\'s requests hold on a target counts until its report expires', async t => {
	await prepareHash();
	const {clock, targets} = start();
	const other = start().targets;
	for (const instance of [targets, other]) {
		instance.update([createTarget('a')]);
	}

	const prompt = {
		model: 'm', inputTokens: 12_000, maxOutputTokens: 48, parts: [{key: 'dossier', tokens: 5392}, {key: 'own', tokens: 6608}],
	};
	other.get('a')!.inFlight++;
	other.get('a')!.held.add(prompt, ['s/dossier'], 2);
	const message = peerMessageSchema.parse({kind: 'sent', targets: other.listWork()});
	const state = targets.get('a')!;
	if (message.kind === 'sent') {
		targets.applyPeerWork('one', message.targets, clock.now());
		targets.applyPeerWork('two', message.targets, clock.now());
	}

	t.equal(state.held.total, 5392 + (2 * 6656));
	t.equal(state.held.sumAhead(1), 5392);
	targets.applyPeerWork('two', [], clock.now());
	t.equal(state.held.total, 5392 + 6656);
	await clock.advance(3000);
	t.equal(state.countRequests(clock.now()), 0);
	t.equal(state.held.total, 0);
});

t.test('the speed of a target is told to peers while its figures are new, and not that of another process', async t => {
	const {clock, targets} = start();
	const peer = start();
	targets.update([createTarget('a')]);
	peer.targets.update([createTarget('a')]);
	targets.get('a')!.recordLoad({
		running: 1, waiting: 0, slots: 4, percent: 250,
	}, clock.now());
	t.strictSame(targets.listWork(), [], 'a target without work adds nothing to the message');
	targets.get('a')!.inFlight = 1;
	const work = targets.listWork();
	t.strictSame(work.map(({target, requests, speed}) => [target, requests, speed?.slice(0, 2)]), [['a', 1, [250, 0]]]);
	peer.targets.applyPeerWork('one', work.map(entry => ({...entry, startedWallMs: 2})), peer.clock.now());
	t.notOk(peer.targets.get('a')!.speed.isStated);
	peer.targets.applyPeerWork('one', work, peer.clock.now());
	t.ok(peer.targets.get('a')!.speed.isStated);
	await clock.advance(2000);
	t.equal(targets.listWork()[0]!.speed, undefined, 'an old figure is not told');
});
