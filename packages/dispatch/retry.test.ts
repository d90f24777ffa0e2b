import fc from 'fast-check';
import t from 'tap';
import {
	causeRules, classifyRun, decideRetry, mergeRunStates, type AttemptCause,
} from './retry.ts';
import {RetryBudget} from './retry-budget.ts';
import {ManualClock} from '#clock';
import type {RunState} from '#core';

const causes = Object.keys(causeRules) as AttemptCause[]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the keys of a closed table

t.test('never retries a request that may not be repeated once it may have run', async t => {
	for (const cause of causes) {
		const isRetried = decideRetry(cause, false) !== 'never';
		t.equal(isRetried, cause === 'not_sent' || cause === 'refused', cause);
	}
});

/** Causes after which no attempt could succeed in time. */
const finalCauses: ReadonlySet<AttemptCause> = new Set(['too_long', 'deadline', 'stopped']);

t.test('retries a request that may be repeated, whatever the cause, except too_long, deadline and stopped', async t => {
	for (const cause of causes) {
		t.equal(decideRetry(cause, true) === 'never', finalCauses.has(cause), cause);
	}
});

t.test('reports not_run only if every attempt was not sent or was refused', async t => {
	const failureLists = fc.array(fc.record({cause: fc.constantFrom(...causes), hasAnswered: fc.boolean()}), {maxLength: 6});
	fc.assert(fc.property(failureLists, failures => {
		let ran: RunState = 'not_run';
		for (const {cause, hasAnswered} of failures) {
			ran = mergeRunStates(ran, classifyRun(cause, hasAnswered));
		}

		const isProvablyNotRun = failures.every(({cause, hasAnswered}) => !hasAnswered && (cause === 'not_sent' || cause === 'refused'));
		return (ran === 'not_run') === isProvablyNotRun;
	}), {seed: 12});
});

t.test('limits retries to a ratio of first attempts plus the slack', async t => {
	fc.assert(fc.property(fc.array(fc.record({isFirst: fc.boolean(), hasBegun: fc.boolean()}), {maxLength: 400}), steps => {
		const budget = new RetryBudget(new ManualClock(), {ratio: 0.2, slack: 10});
		let firstAttempts = 0;
		let retries = 0;
		for (const {isFirst, hasBegun} of steps) {
			if (isFirst) {
				firstAttempts++;
				budget.recordFirstAttempt('p');
			} else if (budget.acquire('p', hasBegun)) {
				retries++;
			}
		}

		return retries <= 10 + (0.2 * firstAttempts);
	}), {seed: 13});
});

t.test('limits retries in every window', async () => {
	const stepLists = fc.array(fc.record({waitMs: fc.nat(800), isFirst: fc.boolean(), hasBegun: fc.boolean()}), {minLength: 50, maxLength: 400});
	await fc.assert(fc.asyncProperty(stepLists, async steps => {
		const clock = new ManualClock();
		const budget = new RetryBudget(clock, {ratio: 0.2, slack: 5});
		const attempts: Array<Readonly<{atMs: number; isFirst: boolean}>> = [];
		for (const {waitMs, isFirst, hasBegun} of steps) {
			await clock.advance(waitMs);
			if (isFirst) {
				budget.recordFirstAttempt('p');
			}

			if (isFirst || budget.acquire('p', hasBegun)) {
				attempts.push({atMs: clock.now(), isFirst});
			}
		}

		const count = (untilMs: number, isFirst: boolean) => attempts.filter(attempt => attempt.isFirst === isFirst && attempt.atMs > untilMs - 10_000 && attempt.atMs <= untilMs).length;
		// A retry early in a window may use the budget of first attempts before it. The ratio therefore applies to the largest count of first attempts in this window, the one 5 s earlier and the one 10 s earlier.
		return attempts.every(({atMs}) => count(atMs, false) <= 5 + (0.2 * Math.max(count(atMs, true), count(atMs - 5000, true), count(atMs - 10_000, true))));
	}), {seed: 14, numRuns: 40});
});

t.test('more instances share the same slack', async t => {
	let instances = 8;
	const budget = new RetryBudget(new ManualClock(), {ratio: 0, slack: 80, countInstances: () => instances});
	t.equal(budget.getRemaining('p'), 10);
	instances = 40;
	t.equal(budget.getRemaining('p'), 2);
	t.ok(budget.acquire('p', true) && budget.acquire('p', true));
	t.notOk(budget.acquire('p', true));
});

t.test('reserves half of the slack for streams that have begun', async t => {
	const budget = new RetryBudget(new ManualClock(), {slack: 4});
	t.ok(budget.acquire('p', false) && budget.acquire('p', false));
	t.notOk(budget.acquire('p', false));
	t.ok(budget.acquire('p', true) && budget.acquire('p', true));
	t.notOk(budget.acquire('p', true));
	t.ok(budget.acquire('other', false), 'pools do not share a budget');
});
