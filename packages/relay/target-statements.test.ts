import t from 'tap';
import fc from 'fast-check';
import type {LimitSharing} from './_limit-share.ts';
import {TargetStatements} from './target-statements.ts';
import {createRandom, type Random} from '#core';

const windowMs = 4000;
const stepMs = 10;
const contactMs = 3000;

const idle = {inFlight: 0, slots: 4};
const alone = (): LimitSharing => ({instances: 1, rank: 0});

function computeAllowed(limit: number): number {
	return (1.5 * limit * windowMs / 1000) + 5;
}

t.test('a target without a limit takes requests at any time', async t => {
	const limit = new TargetStatements();
	limit.recordAnswer({}, 0, 10);
	t.equal(limit.computeDelayMs(alone, idle, 10), 0);
	t.equal(limit.announce(10), undefined);
});

t.test('an answer without a limit ends the limit, unless its request was sent before the limit was stated', async t => {
	const limit = new TargetStatements();
	limit.recordAnswer({perSecond: 2}, 0, 100);
	limit.recordAnswer({}, 50, 200);
	t.equal(limit.perSecond, 2);
	limit.recordAnswer({}, 150, 300);
	t.equal(limit.perSecond, undefined);
	t.strictSame(limit.announce(300), {ageMs: 0}, 'the peers are told of the end');
});

t.test('the newer of two statements holds, whoever heard it', async t => {
	const limit = new TargetStatements();
	limit.recordAnswer({perSecond: 2}, 0, 1000);
	limit.merge({perSecond: 9, ageMs: 500}, 1200);
	t.equal(limit.perSecond, 2);
	limit.merge({perSecond: 9, ageMs: 100}, 1200);
	t.equal(limit.perSecond, 9);
	limit.merge({ageMs: 10}, 1300);
	t.equal(limit.perSecond, undefined);
});

t.test('an instance that does not share a limit sends nothing until the target has been silent for a minute', async t => {
	const limit = new TargetStatements();
	const last = (): LimitSharing => ({instances: 12, rank: 11});
	limit.recordAnswer({perSecond: 1}, 0, 0);
	t.equal(limit.computeDelayMs(last, idle, 59_000), Infinity);
	t.ok(limit.computeDelayMs(last, idle, 70_000) < Infinity);
});

/** A sender of one target, as one of several instances. */
type Sender = {limit: TargetStatements; isCut: boolean; excusedUntilMs: number};

type Fleet = Readonly<{instances: number; seed: number; perSecond: number; isDisturbed: boolean; /** Whether requests come in bursts, so that instances have saved up theirs. */ isBursty?: boolean}>;

/** Simulates instances with more requests than a target takes; the target states its limit after two seconds. Returns the requests within each window, of instances that were neither restarted nor cut off lately. */
function runFleet({instances, seed, perSecond, isDisturbed, isBursty = false}: Fleet): Readonly<{busiest: number; total: number}> {
	const random: Random = createRandom(seed);
	const senders = Array.from({length: instances}, () => createSender());
	const answers: Array<Readonly<{atMs: number; sender: Sender; limit: TargetStatements; sentMs: number; stated: number | undefined}>> = [];
	const arrivals: number[] = [];
	for (let nowMs = 0; nowMs < (isBursty ? 60_000 : 30_000); nowMs += stepMs) {
		if (isDisturbed && nowMs % 1000 === 0 && random.next() < 0.5) {
			disturb(senders, random, nowMs);
		}

		for (const answer of answers.splice(0)) {
			if (answer.atMs <= nowMs) {
				answer.limit.recordAnswer({perSecond: answer.stated}, answer.sentMs, nowMs);
			} else {
				answers.push(answer);
			}
		}

		if (nowMs % 100 === 0) {
			exchange(senders, nowMs);
		}

		for (const sender of senders) {
			const {limit} = sender;
			// An instance that is cut off from its peers takes itself for the only one.
			const linked = senders.filter(({isCut}) => !isCut);
			const sharing = (): LimitSharing => sender.isCut ? {instances: 1, rank: 0} : {instances: linked.length, rank: linked.indexOf(sender)};
			const hasRequest = isBursty ? nowMs % 28_000 < 400 : random.next() < 0.2;
			if (hasRequest && limit.computeDelayMs(sharing, idle, nowMs) === 0) {
				limit.recordSent();
				answers.push({
					atMs: nowMs + 20 + random.integerBelow(200), sender, limit, sentMs: nowMs, stated: nowMs >= 2000 ? perSecond : undefined,
				});
				if (nowMs >= 2000 + contactMs && !sender.isCut && nowMs >= sender.excusedUntilMs && limit.perSecond !== undefined) {
					arrivals.push(nowMs);
				}
			}
		}
	}

	const busiest = Math.max(0, ...arrivals.map(startMs => arrivals.filter(atMs => atMs >= startMs && atMs < startMs + windowMs).length));
	return {busiest, total: arrivals.length};
}

function createSender(): Sender {
	return {limit: new TargetStatements(), isCut: false, excusedUntilMs: 0};
}

/** Kills an instance, cuts it off or connects it again, or adds one. */
function disturb(senders: Sender[], random: Random, nowMs: number): void {
	const sender = senders[random.integerBelow(senders.length)]!;
	if (random.next() < 0.4) {
		Object.assign(sender, createSender(), {excusedUntilMs: nowMs + contactMs});
	} else if (random.next() < 0.5) {
		sender.isCut = !sender.isCut;
		sender.excusedUntilMs = nowMs + contactMs;
	} else {
		senders.push(createSender());
	}
}

/** Tells the peers that are not cut off what each instance knows. */
function exchange(senders: readonly Sender[], nowMs: number): void {
	const linked = senders.filter(({isCut}) => !isCut);
	for (const sender of linked) {
		const announced = sender.limit.announce(nowMs);
		for (const other of announced ? linked : []) {
			if (other !== sender) {
				other.limit.merge(announced!, nowMs);
			}
		}
	}
}

// Guards against a limit that each instance keeps for itself, so that the target gets their sum.
t.test('a limit holds for the sum over all instances', async t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 24}), fc.nat(1000), fc.constantFrom(0, 0.5, 1, 1.1, 3, 10, 40), (instances, seed, perSecond) => {
		const {busiest, total} = runFleet({
			instances, seed, perSecond, isDisturbed: false,
		});
		return busiest <= computeAllowed(perSecond) && total >= perSecond * 25 * 0.7;
	}), {seed: 20, numRuns: 60});
	t.pass('1 to 24 instances, limits of 0 to 40 requests a second');
});

t.test('a limit holds while instances are killed, cut off and added', async t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 16}), fc.nat(1000), fc.constantFrom(0.5, 1, 1.1, 3, 10, 40), (instances, seed, perSecond) => runFleet({
		instances, seed, perSecond, isDisturbed: true,
	}).busiest <= computeAllowed(perSecond)), {seed: 21, numRuns: 60});
	t.pass('1 to 16 instances, and those that are added');
});

t.test('a limit holds when all instances have saved up requests', async t => {
	for (const instances of [1, 3, 7, 12, 24]) {
		for (const perSecond of [0.5, 1, 3, 10, 40]) {
			const {busiest} = runFleet({
				instances, seed: 5, perSecond, isDisturbed: false, isBursty: true,
			});
			t.ok(busiest <= computeAllowed(perSecond), `${instances} instances: ${busiest} requests in ${windowMs} ms at a limit of ${perSecond}`);
		}
	}
});

const restingFor = (restMs: number) => ({restMs});

t.test('a target that asks for rest gets nothing until its end, whatever else is answered meanwhile', async t => {
	const statements = new TargetStatements();
	statements.recordAnswer(restingFor(3000), 0, 100);
	statements.recordAnswer({}, 200, 300);
	statements.recordAnswer(restingFor(500), 300, 400);
	t.equal(statements.computeDelayMs(alone, idle, 1000), 2100);
	t.ok(statements.isResting(3099));
	t.equal(statements.computeDelayMs(alone, idle, 3100), 0);
	t.equal(statements.announce(400), undefined, 'the rest concerns this instance only');
});

t.test('a target that has said that it leaves stays so, and the peers are told', async t => {
	const statements = new TargetStatements();
	statements.recordAnswer({isLeaving: true}, 0, 100);
	t.same(statements.announce(200), {isLeaving: true, ageMs: 100});
	const other = new TargetStatements();
	other.merge({isLeaving: true, ageMs: 100}, 200);
	for (const known of [statements, other]) {
		known.recordAnswer({}, 300, 400);
		known.merge({perSecond: 1, ageMs: 0}, 500);
		t.ok(known.isLeaving);
	}
});

t.test('an answer to an earlier request ends nothing of a statement, and adds to it', async t => {
	const statements = new TargetStatements();
	statements.recordAnswer({maxRefusals: 4}, 0, 100);
	statements.recordAnswer({perSecond: 2}, 50, 200);
	t.same(statements.announce(200), {maxRefusals: 4, perSecond: 2, ageMs: 0});
	statements.recordAnswer({}, 250, 300);
	t.same(statements.announce(300), {ageMs: 0});
});

t.test('the shares of all instances in a brittle target stay below its slots', async t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 100}), fc.integer({min: 1, max: 64}), (instances, slots) => {
		let sum = 0;
		for (let rank = 0; rank < instances; rank++) {
			const statements = new TargetStatements();
			statements.recordAnswer({maxRefusals: 5}, 0, 0);
			let inFlight = 0;
			while (statements.computeDelayMs(() => ({instances, rank}), {inFlight, slots}, 1) === 0) {
				inFlight++;
			}

			sum += inFlight;
		}

		return sum <= slots && sum >= Math.floor(slots * 0.9);
	}), {seed: 23});
});

t.test('the refusals of a brittle target are followed by a rest, longer with more instances', async t => {
	for (const [instances, restMs] of [[2, 1000], [8, 4000], [100, 5000]] as const) {
		const statements = new TargetStatements();
		statements.recordAnswer({maxRefusals: 4}, 0, 0);
		statements.recordOutcome(true, 1, () => ({instances, rank: 0}), 10);
		t.equal(statements.computeDelayMs(() => ({instances, rank: 0}), idle, 10), restMs);
	}
});

t.test('a target that refuses requests is avoided, longer with each in a row, until it takes one', async t => {
	const statements = new TargetStatements();
	const avoidances: number[] = [];
	for (let refusal = 0; refusal < 9; refusal++) {
		statements.recordOutcome(true, 1, alone, 0);
		avoidances.push(statements.computeAvoidanceMs(0));
	}

	t.same(avoidances, [500, 1000, 2000, 4000, 4000, 4000, 4000, 4000, 4000]);
	t.equal(statements.computeDelayMs(alone, idle, 0), 0, 'it may still be used if there is no other');
	statements.recordOutcome(false, 1, alone, 0);
	t.equal(statements.computeAvoidanceMs(0), 0);
});
