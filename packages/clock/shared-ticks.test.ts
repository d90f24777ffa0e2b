/** Many timers of one process, such as those of its requests in progress. */
import fc from 'fast-check';
import t from 'tap';
import {alignDelay} from './_align-delay.ts';
import {SharedTicks} from './_shared-ticks.ts';

/** Ticks that the test fires, by interval. */
function createTicks() {
	const running = new Map<number, () => void>();
	const ticks = new SharedTicks((intervalMs, handleTick) => {
		t.notOk(running.has(intervalMs), 'one timer for each interval');
		running.set(intervalMs, handleTick);
		return () => {
			running.delete(intervalMs);
		};
	});
	return {ticks, running};
}

// Guards against a wake-up for each of many requests in progress.
t.test('all handlers of an interval share one timer, which stops with the last of them', async t => {
	const {ticks, running} = createTicks();
	let calls = 0;
	const cancels = Array.from({length: 200}, () => ticks.add(100, () => {
		calls++;
	}));
	ticks.add(250, () => {
		calls += 1000;
	});
	t.strictSame([...running.keys()], [100, 250]);
	running.get(100)!();
	t.equal(calls, 200);
	for (const cancel of cancels) {
		cancel();
		cancel();
	}

	t.strictSame([...running.keys()], [250]);
	ticks.add(100, () => undefined);
	cancels[0]!();
	t.strictSame([...running.keys()], [250, 100], 'a handler that was cancelled before stops no later timer');
});

t.test('a handler may cancel others and add new ones while they run', async t => {
	const {ticks, running} = createTicks();
	const calls: string[] = [];
	ticks.add(100, () => {
		calls.push('first');
		cancelSecond();
		ticks.add(100, () => {
			calls.push('added');
		});
	});
	const cancelSecond = ticks.add(100, () => {
		calls.push('second');
	});
	running.get(100)!();
	t.strictSame(calls, ['first']);
	running.get(100)!();
	t.strictSame(calls, ['first', 'first', 'added']);
});

t.test('a delay is never shortened, and lengthened by at most an eighth and 64 ms', async t => {
	fc.assert(fc.property(fc.double({min: 0, max: 100_000, noNaN: true}), fc.double({min: 0, max: 1e9, noNaN: true}), (delayMs, nowMs) => {
		const added = alignDelay(delayMs, nowMs) - delayMs;
		return added >= -1e-6 && added <= Math.min(64, delayMs / 8) + 1e-6;
	}), {seed: 28});
	t.equal(alignDelay(Infinity, 5), Infinity);
	t.equal(alignDelay(0, 5), 0);
	t.equal(alignDelay(-3, 5), -3);
});

t.test('delays that end at about the same time end together', async t => {
	const ends = new Set([1000, 2000, 1000, 500].map((delayMs, index) => Math.round((alignDelay(delayMs, 17 + (index * 3)) + 17 + (index * 3)) % 32)));
	t.equal(ends.size, 1);
});
