import fc from 'fast-check';
import t from 'tap';
import {
	causeRules, classifyRun, decideRetry, mergeRunStates, type AttemptCause,
} from './retry.ts';
import {RetryBudget} from './retry-budget.ts';
import {ManualClock} from '#clock';
import type {RunState} from '#core';

const causes = Object.keys(causeRules) as AttemptCause[]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the keys of a closed table

t.test('never goes on after a request that may not be repeated may have run', async t => {
	for (const cause of causes) {
		const mayGoOn = decideRetry(cause, false) !== 'never';
		t.equal(mayGoOn, cause === 'not_sent' || cause === 'refused', cause);
	}
});

t.test('goes on after every end that may be repeated, but for the final ones', async t => {
	for (const cause of causes) {
		t.equal(decideRetry(cause, true) === 'never', cause === 'too_long' || cause === 'deadline', cause);
	}
});

t.test('says not run only where every attempt was not sent or refused', async t => {
	const ends = fc.array(fc.record({cause: fc.constantFrom(...causes), answered: fc.boolean()}), {maxLength: 6});
	fc.assert(fc.property(ends, list => {
		let ran: RunState = 'not_run';
		for (const {cause, answered} of list) {
			ran = mergeRunStates(ran, classifyRun(cause, answered));
		}

		const isProved = list.every(({cause, answered}) => !answered && (cause === 'not_sent' || cause === 'refused'));
		return (ran === 'not_run') === isProved;
	}), {seed: 12});
});

t.test('keeps retries a share of first attempts', async t => {
	fc.assert(fc.property(fc.array(fc.record({isFirst: fc.boolean(), begun: fc.boolean()}), {maxLength: 400}), steps => {
		const budget = new RetryBudget(new ManualClock(), {ratio: 0.2, slack: 10});
		let first = 0;
		let retries = 0;
		for (const {isFirst, begun} of steps) {
			if (isFirst) {
				first++;
				budget.recordAttempt('p');
			} else if (budget.take('p', begun)) {
				retries++;
			}
		}

		return retries <= 10 + (0.2 * first);
	}), {seed: 13});
});

t.test('keeps retries within their share in every window', async () => {
	const steps = fc.array(fc.record({waitMs: fc.nat(800), isFirst: fc.boolean(), begun: fc.boolean()}), {minLength: 50, maxLength: 400});
	await fc.assert(fc.asyncProperty(steps, async list => {
		const clock = new ManualClock();
		const budget = new RetryBudget(clock, {ratio: 0.2, slack: 5});
		const seen: Array<Readonly<{atMs: number; isFirst: boolean}>> = [];
		for (const {waitMs, isFirst, begun} of list) {
			await clock.advance(waitMs);
			if (isFirst) {
				budget.recordAttempt('p');
			}

			if (isFirst || budget.take('p', begun)) {
				seen.push({atMs: clock.now(), isFirst});
			}
		}

		const count = (untilMs: number, isFirst: boolean) => seen.filter(step => step.isFirst === isFirst && step.atMs > untilMs - 10_000 && step.atMs <= untilMs).length;
		// A retry early in a window was earned by first attempts before it: the share is of the window, the one before it or the one half before it.
		return seen.every(({atMs}) => count(atMs, false) <= 5 + (0.2 * Math.max(count(atMs, true), count(atMs - 5000, true), count(atMs - 10_000, true))));
	}), {seed: 14, numRuns: 40});
});

t.test('a larger fleet shares the same slack', async t => {
	let instances = 8;
	const budget = new RetryBudget(new ManualClock(), {ratio: 0, slack: 80, countInstances: () => instances});
	t.equal(budget.read('p'), 10);
	instances = 40;
	t.equal(budget.read('p'), 2);
	t.ok(budget.take('p', true) && budget.take('p', true));
	t.notOk(budget.take('p', true));
});

t.test('keeps half of the budget for streams that have begun', async t => {
	const budget = new RetryBudget(new ManualClock(), {slack: 4});
	t.ok(budget.take('p', false) && budget.take('p', false));
	t.notOk(budget.take('p', false));
	t.ok(budget.take('p', true) && budget.take('p', true));
	t.notOk(budget.take('p', true));
	t.ok(budget.take('other', false), 'pools do not share');
});
