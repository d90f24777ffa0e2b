/** Whether an instance's own links are cut, or targets have failed. */
import t, {type Test} from 'tap';
import {TargetReach} from './target-reach.ts';
import {TargetSet} from './target-set.ts';
import {ManualClock} from '#clock';
import {createRandom, type RelayTarget} from '#core';
import {createTelemetry} from '#telemetry';

function createTarget(id: string, pool: string): RelayTarget {
	return {
		id, pool, incarnation: `${id}@1`, startedWallMs: 0, address: `127.0.0.1:${id.length}${id.codePointAt(1)}`, zone: 'z', slots: 4, isDraining: false, softwareVersion: 'v1', weights: new Map(),
	};
}

/** Creates a set of targets of the pools `a` and `b`, and a check that reaches those in `reached`. */
function createReach(t: Test, ids: readonly string[]) {
	const clock = new ManualClock();
	const targets = new TargetSet(clock, {connectTimeoutMs: 100, idleTimeoutMs: 1000});
	const list = (listed: readonly string[]) => {
		targets.update(listed.map(id => createTarget(id, id.slice(0, 1))));
	};

	list(ids);
	const reached = new Set(ids);
	const checked: string[] = [];
	const reach = new TargetReach({
		clock, random: createRandom(1), telemetry: createTelemetry({level: 'silent'}), targets,
		getPool: name => ({name, healthPath: '/', maxConnections: 10}),
		async checkReach({id}) {
			checked.push(id);
			return reached.has(id);
		},
	});
	t.teardown(() => {
		targets.close();
	});
	const settle = async () => clock.advance(1);
	return {
		clock, targets, reach, reached, checked, list, settle,
	};
}

t.test('a pool is unreachable once no checked target of it is reached', async t => {
	const {reach, reached, clock, settle} = createReach(t, ['a1', 'a2', 'a3', 'b1']);
	reach.recordFailure('a');
	await settle();
	t.equal(reach.isUnreachable('a'), false);
	reached.clear();
	reached.add('b1');
	t.equal(reach.isUnreachable('a'), false, 'nothing has failed yet');
	await clock.advance(300);
	reach.recordFailure('a');
	await settle();
	t.same(reach.listUnreachablePools(), ['a']);
});

t.test('one target of many that is reached is enough, as those without a failure are checked first', async t => {
	const ids = Array.from({length: 9}, (_item, index) => `a${index}`);
	const {targets, reach, reached, settle} = createReach(t, ids);
	for (const state of targets.listPool('a').slice(1)) {
		state.suspect(1000);
		reached.delete(state.target.id);
	}

	reach.recordFailure('a');
	await settle();
	t.equal(reach.isUnreachable('a'), false);
});

t.test('failures while a check is valid start no other one', async t => {
	const {reach, checked, clock, settle} = createReach(t, ['a1', 'a2', 'a3', 'a4', 'a5', 'a6']);
	for (let index = 0; index < 50; index++) {
		reach.recordFailure('a');
	}

	await settle();
	t.equal(checked.length, 4);
	await clock.advance(300);
	reach.recordFailure('a');
	t.equal(checked.length, 8);
});

t.test('an unreachable pool is checked until a target is reached, and a new target may be tried at once', async t => {
	const {reach, reached, list, clock, settle} = createReach(t, ['a1', 'a2']);
	reached.clear();
	const stopping = new AbortController();
	const running = reach.run(stopping.signal);
	reach.recordFailure('a');
	await settle();
	t.same(reach.listUnreachablePools(), ['a']);
	t.equal(reach.canStart('a', new Set()), false);
	list(['a1', 'a2', 'a3']);
	t.equal(reach.canStart('a', new Set()), true);
	reach.recordFailure('a');
	await settle();
	t.equal(reach.isUnreachable('a'), true);
	reached.add('a2');
	await clock.advance(300);
	t.equal(reach.isUnreachable('a'), false);
	stopping.abort();
	await clock.advance(300);
	await running;
});
