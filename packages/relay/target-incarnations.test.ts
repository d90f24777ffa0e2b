/** Targets that start again under the id that they had: what was stated by the earlier process, or known of it, must not count for the later one. */
import t from 'tap';
import {TargetSet} from './target-set.ts';
import {ManualClock} from '#clock';
import type {RelayTarget} from '#core';
import {peerMessageSchema} from '#peer-protocol';

const sharing = () => ({instances: 8, rank: 7});

function createTarget(startedWallMs: number, options: Partial<RelayTarget> = {}): RelayTarget {
	return {
		id: 'e', incarnation: `e@${startedWallMs}`, startedWallMs, pool: 'p', address: '10.0.0.1:80', zone: 'z', slots: 4, isDraining: false, softwareVersion: 'v1', weights: new Map(), ...options,
	};
}

/** Starts instances that list the process of the target that started at 1. */
function startInstances() {
	const clock = new ManualClock();
	const start = () => {
		const targets = new TargetSet(clock, {connectTimeoutMs: 1, idleTimeoutMs: 1});
		targets.update([createTarget(1)]);
		return targets;
	};

	return {clock, a: start(), b: start()};
}

/** Delivers to `to` what `from` tells its peers now. */
function tell(clock: ManualClock, from: TargetSet, to: TargetSet): void {
	const message = peerMessageSchema.parse({kind: 'sent', targets: from.listWork()});
	if (message.kind === 'sent') {
		to.applyPeerWork('from', message.targets, clock.now());
	}
}

// Guards against a peer that has not seen the new entry yet and reports that the target leaves.
t.test('a peer\'s report on the earlier process does not count for the later one', async t => {
	const {clock, a, b} = startInstances();
	await clock.advance(1000);
	const earlier = a.get('e')!;
	earlier.inFlight = 3;
	earlier.statements.recordAnswer({isLeaving: true, perSecond: 1, maxRefusals: 2}, 900, 1000);
	b.update([createTarget(2)]);
	const later = b.get('e')!;
	tell(clock, a, b);
	t.notOk(later.isLeaving);
	t.equal(later.statements.computeDelayMs(sharing, {inFlight: 0, slots: 4}, clock.now()), 0);
	t.equal(later.countRequests(clock.now()), 0);
	a.update([createTarget(2)]);
	await clock.advance(20_000);
	tell(clock, a, b);
	tell(clock, b, a);
	t.notOk(later.isLeaving);
	t.notOk(a.get('e')!.isLeaving);
});

t.test('a peer\'s report on the process that is listed counts as long as that process', async t => {
	const {clock, a, b} = startInstances();
	await clock.advance(1000);
	a.get('e')!.inFlight = 3;
	a.get('e')!.statements.recordAnswer({isLeaving: true}, 900, 1000);
	tell(clock, a, b);
	t.equal(b.get('e')!.countRequests(clock.now()), 3);
	await clock.advance(600_000);
	t.ok(b.get('e')!.isLeaving);
});

t.test('a report on a process whose entry has not arrived yet counts once it has', async t => {
	const {clock, a, b} = startInstances();
	await clock.advance(1000);
	a.update([createTarget(2)]);
	a.get('e')!.statements.recordAnswer({isLeaving: true}, 900, 1000);
	tell(clock, a, b);
	t.notOk(b.get('e')!.isLeaving, 'the process listed here has not stated it');
	b.update([createTarget(2)]);
	t.notOk(b.get('e')!.isLeaving);
	await clock.advance(10_000);
	tell(clock, a, b);
	t.ok(b.get('e')!.isLeaving);
});

t.test('a late answer of the earlier process is told to no peer', async t => {
	const {clock, a, b} = startInstances();
	const earlier = a.get('e')!;
	a.update([createTarget(2)]);
	b.update([createTarget(2)]);
	earlier.statements.recordAnswer({isLeaving: true, perSecond: 1}, 0, clock.now());
	tell(clock, a, b);
	for (const targets of [a, b]) {
		t.notOk(targets.get('e')!.isLeaving);
		t.equal(targets.get('e')!.statements.perSecond, undefined);
	}
});

t.test('an answer of the later process that arrives before its entry leaves nothing to the state that the entry creates', async t => {
	const {clock, a, b} = startInstances();
	a.get('e')!.statements.recordAnswer({isLeaving: true}, 0, clock.now());
	// The request was on its way when the earlier process ended.
	a.get('e')!.statements.recordAnswer({}, 0, clock.now());
	t.ok(a.get('e')!.isLeaving, 'nothing shows that another process has answered');
	a.update([createTarget(2)]);
	b.update([createTarget(2)]);
	tell(clock, a, b);
	t.notOk(a.get('e')!.isLeaving);
	t.notOk(b.get('e')!.isLeaving);
});

// Guards against targets given up for good whose entries do not tell one process from the next.
t.test('a target whose start is unknown gets a new state when it is ready again after it has drained', async t => {
	const {clock, a, b} = startInstances();
	a.update([createTarget(0)]);
	b.update([createTarget(0)]);
	await clock.advance(1000);
	a.get('e')!.statements.recordAnswer({isLeaving: true}, 900, 1000);
	a.update([createTarget(0, {isDraining: true})]);
	a.update([createTarget(0)]);
	t.notOk(a.get('e')!.isLeaving);
	tell(clock, a, b);
	t.notOk(b.get('e')!.isLeaving);
});

t.test('a target whose start is unknown counts as leaving or replaced for a bounded time', async t => {
	const {clock, a, b} = startInstances();
	a.update([createTarget(0)]);
	b.update([createTarget(0)]);
	await clock.advance(1000);
	const [own, told] = [a.get('e')!, b.get('e')!];
	own.statements.recordAnswer({isLeaving: true}, 900, 1000);
	tell(clock, a, b);
	t.ok(own.isLeaving);
	t.ok(told.isLeaving);
	own.markReplaced();
	t.ok(own.isReplaced);
	for (let second = 0; second < 60; second++) {
		await clock.advance(1000);
		tell(clock, a, b);
		t.equal(told.isLeaving, second < 2, `at the peer after ${second + 1} s`);
	}

	t.notOk(own.isLeaving);
	t.notOk(own.isReplaced);
	t.ok(own.suspectUntilMs <= clock.now());
	own.statements.recordAnswer({isLeaving: true}, clock.now(), clock.now());
	t.ok(own.isLeaving, 'its next answer says so again');
});

t.test('a target whose start is known counts as leaving or replaced as long as its process', async t => {
	const {clock, a} = startInstances();
	const state = a.get('e')!;
	state.statements.recordAnswer({isLeaving: true}, 0, 0);
	state.markReplaced();
	await clock.advance(3_600_000);
	t.ok(state.isLeaving);
	t.ok(state.isReplaced);
});

// Guards against requests to a target that has said that it leaves, as its entry expires, or is older for a moment after the store was restored.
t.test('what is known of a process holds when its entry comes back', async t => {
	const {clock, a} = startInstances();
	const first = a.get('e')!;
	first.statements.recordAnswer({isLeaving: true}, 0, 0);
	first.isUnreachable = true;
	a.update([]);
	await clock.advance(1000);
	a.update([createTarget(1)]);
	t.ok(a.get('e')!.isLeaving);
	t.notOk(a.get('e')!.isUnreachable, 'only targets that are listed are checked');
	a.update([createTarget(2)]);
	t.notOk(a.get('e')!.isLeaving);
	a.get('e')!.markReplaced();
	a.update([createTarget(1)]);
	t.equal(a.get('e'), first);
	t.ok(a.get('e')!.isLeaving);
	t.notOk(a.get('e')!.isReplaced);
	a.update([createTarget(2)]);
	t.ok(a.get('e')!.isReplaced);
	a.update([createTarget(1, {address: '10.0.0.2:80'})]);
	t.not(a.get('e'), first);
});

t.test('a process that has drained is not ready again, and a later one is', async t => {
	const {a} = startInstances();
	a.update([createTarget(1, {isDraining: true})]);
	a.update([createTarget(1)]);
	t.ok(a.get('e')!.isLeaving);
	a.update([]);
	a.update([createTarget(1)]);
	t.ok(a.get('e')!.isLeaving);
	a.update([createTarget(2)]);
	t.notOk(a.get('e')!.isLeaving);
});

t.test('a bounded number of processes is kept', async t => {
	const {a} = startInstances();
	const first = a.get('e');
	for (let startedWallMs = 2; startedWallMs < 400; startedWallMs++) {
		a.update([createTarget(startedWallMs)]);
	}

	const last = a.get('e');
	a.update([createTarget(1)]);
	t.not(a.get('e'), first);
	a.update([createTarget(399)]);
	t.equal(a.get('e'), last);
});
