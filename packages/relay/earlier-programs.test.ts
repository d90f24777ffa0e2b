/** Instances beside peers of an earlier program, which name no process in what they tell of a target, and take what they hear for one of the process that they list. */
import t from 'tap';
import * as z from 'zod';
import {TargetSet} from './target-set.ts';
import {ManualClock} from '#clock';
import type {RelayTarget} from '#core';
import {peerMessageSchema} from '#peer-protocol';
import type {TargetStatementReport, TargetWork} from '#placement';

/** The rank of an instance that sends nothing to a brittle target. */
const lastOfEight = () => ({instances: 8, rank: 7});
const idle = {inFlight: 0, slots: 4};

/** Time in which a report that names no process may count, in milliseconds. */
const boundMs = 4000;

/** The message as the earlier program knows it. */
const earlierSchema = z.object({
	kind: z.literal('sent'),
	targets: z.array(z.object({
		target: z.string().max(200), requests: z.number(), tokens: z.number(),
		byUrgency: z.array(z.number()).max(10).optional(),
		limit: z.object({
			perSecond: z.number().min(0).optional(),
			isLeaving: z.boolean().optional(),
			maxRefusals: z.number().min(0).optional(),
			ageMs: z.number().min(0),
		}).optional(),
	})).max(4096),
});

/** The state of a target at an instance of the earlier program: the newest statement holds, and leaving for good. */
class EarlierState {
	stated: Omit<TargetStatementReport, 'ageMs'> = {};
	#statedMs = Number.NEGATIVE_INFINITY;

	merge({ageMs, ...stated}: TargetStatementReport, nowMs: number): void {
		if (nowMs - ageMs > this.#statedMs + 5) {
			this.#statedMs = nowMs - ageMs;
			this.stated = {...stated, isLeaving: this.stated.isLeaving === true || stated.isLeaving === true};
		}
	}
}

function createTarget(startedWallMs: number): RelayTarget {
	return {
		id: 'e', incarnation: `e@${startedWallMs}`, startedWallMs, pool: 'p', address: '10.0.0.1:80', zone: 'z', slots: 4, isDraining: false, softwareVersion: 'v1', weights: new Map(),
	};
}

function start() {
	const clock = new ManualClock();
	const targets = new TargetSet(clock, {connectTimeoutMs: 1, idleTimeoutMs: 1});
	targets.update([createTarget(1)]);
	return {
		clock, targets, getState: () => targets.get('e')!,
		/** Receives the message of a peer of the earlier program. */
		receive(limit: TargetWork['limit']) {
			const message = peerMessageSchema.parse({
				kind: 'sent', targets: [{
					target: 'e', requests: 2, tokens: 10, limit,
				}],
			});
			if (message.kind === 'sent') {
				targets.applyPeerWork('earlier', message.targets, clock.now());
			}
		},
		computeDelayMs: () => targets.get('e')!.statements.computeDelayMs(lastOfEight, idle, clock.now()),
	};
}

// Guards against peers that report `Server-Leaving` of an earlier process, once or with each later statement.
t.test('a report of an earlier program that a target leaves counts for a bounded time, however often it is repeated', async t => {
	const {clock, getState, receive} = start();
	await clock.advance(10_000);
	receive({isLeaving: true, ageMs: 100});
	t.ok(getState().isLeaving);
	t.equal(getState().countRequests(clock.now()), 2);
	await clock.advance(boundMs);
	t.notOk(getState().isLeaving);
	for (let second = 0; second < 30; second++) {
		receive({isLeaving: true, perSecond: 5, ageMs: 0});
		await clock.advance(1000);
		t.notOk(getState().isLeaving, `after ${second} s`);
	}
});

t.test('an answer of the target ends what an earlier program has reported of it', async t => {
	const {clock, getState, receive, computeDelayMs} = start();
	await clock.advance(1000);
	receive({isLeaving: true, maxRefusals: 3, ageMs: 100});
	getState().statements.recordAnswer({}, 800, 1000);
	t.ok(getState().isLeaving, 'the request was sent before the statement');
	t.ok(computeDelayMs() > 0);
	getState().statements.recordAnswer({}, 950, 1000);
	t.notOk(getState().isLeaving);
	t.equal(computeDelayMs(), 0);
	receive({isLeaving: true, maxRefusals: 3, ageMs: 200});
	t.notOk(getState().isLeaving, 'the target has answered since then');
	t.equal(computeDelayMs(), 0);
});

t.test('an old report of an earlier program that a target leaves does not count', async t => {
	const {clock, getState, receive} = start();
	await clock.advance(60_000);
	receive({isLeaving: true, ageMs: boundMs});
	t.notOk(getState().isLeaving);
	receive({isLeaving: true, ageMs: 10});
	t.ok(getState().isLeaving);
});

t.test('a report of an earlier program ends nothing that a target has stated of its leaving', async t => {
	const {clock, getState, receive} = start();
	await clock.advance(1000);
	getState().statements.recordAnswer({isLeaving: true}, 900, 1000);
	await clock.advance(1000);
	receive({ageMs: 0});
	receive({isLeaving: false, ageMs: 0});
	await clock.advance(600_000);
	t.ok(getState().isLeaving);
});

// Guards against brittleness of an earlier process, which an instance that sends nothing could not see the end of.
t.test('limits that an earlier program reports count for a bounded time', async t => {
	const {clock, receive, computeDelayMs} = start();
	await clock.advance(1000);
	receive({maxRefusals: 3, perSecond: 0, ageMs: 0});
	t.ok(computeDelayMs() > 0);
	await clock.advance(boundMs);
	t.equal(computeDelayMs(), 0);
});

t.test('limits that a target has stated hold beside an earlier program\'s report, and end with one', async t => {
	const {clock, getState, receive, computeDelayMs} = start();
	await clock.advance(1000);
	getState().statements.recordAnswer({maxRefusals: 3, perSecond: 1}, 900, 1000);
	await clock.advance(100);
	receive({maxRefusals: 5, perSecond: 1, ageMs: 0});
	await clock.advance(boundMs);
	t.ok(computeDelayMs() > 0);
	receive({ageMs: 0});
	t.equal(computeDelayMs(), 0);
});

t.test('what an earlier program reports is not passed on', async t => {
	const {clock, targets, receive} = start();
	await clock.advance(1000);
	receive({
		isLeaving: true, perSecond: 1, maxRefusals: 3, ageMs: 0,
	});
	t.same(targets.listWork(), []);
	await clock.advance(20_000);
	t.same(targets.listWork(), []);
});

// Guards against an instance of the earlier program that gives up a target for good, as one that has not seen the new entry reports the earlier process.
t.test('an earlier program reads the messages, and hears neither that a target leaves nor limits that outlive a process', async t => {
	const {clock, targets} = start();
	const earlier = new EarlierState();
	const tell = () => {
		const message = {kind: 'sent', targets: targets.listWork()};
		for (const {limit, ...work} of earlierSchema.parse(message).targets) {
			t.same(Object.keys(work).toSorted((a, b) => a < b ? -1 : 1), ['byUrgency', 'requests', 'target', 'tokens']);
			if (limit) {
				earlier.merge(limit, clock.now());
			}
		}
	};

	await clock.advance(1000);
	targets.get('e')!.statements.recordAnswer({isLeaving: true, maxRefusals: 3, perSecond: 1}, 900, 1000);
	tell();
	t.match(earlier.stated, {maxRefusals: 3, perSecond: 1, isLeaving: false});
	await clock.advance(2000);
	targets.update([createTarget(2)]);
	await clock.advance(100);
	tell();
	t.same(earlier.stated, {isLeaving: false});
	await clock.advance(5000);
	t.same(targets.listWork(), []);
});

t.test('an earlier program hears of the end of limits also if the entry was gone between two processes', async t => {
	const {clock, targets} = start();
	await clock.advance(1000);
	targets.get('e')!.statements.recordAnswer({maxRefusals: 3}, 900, 1000);
	await clock.advance(2000);
	targets.update([]);
	targets.update([createTarget(2)]);
	await clock.advance(100);
	t.match(targets.listWork(), [{target: 'e', limit: {maxRefusals: undefined, ageMs: 100}, statement: undefined}]);
});
