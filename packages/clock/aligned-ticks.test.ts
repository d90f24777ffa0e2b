/** Repeating timers of several intervals, and tasks that wait for them. */
import t from 'tap';
import {AlignedTicks} from './_aligned-ticks.ts';
import {ManualClock} from './manual-clock.ts';
import {waitForEvent} from './wait-for-event.ts';
import {waitForTick} from './wait-for-tick.ts';

/** Creates ticks on a clock that starts at `startMs` and counts the timers that fire. */
async function createTicks(startMs: number) {
	const clock = new ManualClock();
	await clock.advance(startMs);
	const counts = {fired: 0};
	const ticks = new AlignedTicks({
		now: () => clock.now(),
		setTimer: (delayMs, handler) => clock.setTimer(delayMs, () => {
			counts.fired++;
			handler();
		}),
	});
	return {clock, ticks, counts};
}

// Guards against a wake-up for each interval.
t.test('ticks of several intervals that start at different times share wake-ups', async t => {
	const {clock, ticks, counts} = await createTicks(17.3);
	const times = new Map<number, number[]>([[100, []], [250, []], [500, []], [1000, []]]);
	for (const [intervalMs, tickTimes] of times) {
		ticks.start(intervalMs, () => {
			tickTimes.push(Math.floor(clock.now()));
		});
		await clock.advance(31);
	}

	await clock.advance(2000 - clock.now() + 1);
	t.equal(counts.fired, 24, 'at each multiple of 100 and of 250');
	t.strictSame(times.get(1000), [1000, 2000]);
	t.strictSame(times.get(500), [500, 1000, 1500, 2000]);
	t.strictSame(times.get(250)!.slice(0, 4), [250, 500, 750, 1000]);
});

// Guards against double ticks, as a timer may fire a part of a millisecond early.
t.test('a timer that fires early causes one tick', async t => {
	const early = {handler: () => undefined as void};
	let nowMs = 0;
	let ticked = 0;
	const ticks = new AlignedTicks({
		now: () => nowMs,
		setTimer(_delayMs, handler) {
			early.handler = handler;
			return () => undefined;
		},
	});
	ticks.start(100, () => {
		ticked++;
	});
	nowMs = 99.4;
	early.handler();
	nowMs = 100.6;
	early.handler();
	t.equal(ticked, 1);
	nowMs = 199.9;
	early.handler();
	t.equal(ticked, 2);
});

t.test('a cancelled tick does not fire, and without ticks no timer is left', async t => {
	const {clock, ticks, counts} = await createTicks(0);
	let ticked = 0;
	const cancelSecond = {cancel: () => undefined as void};
	const cancelFirst = ticks.start(100, () => {
		ticked++;
		cancelSecond.cancel();
	});
	cancelSecond.cancel = ticks.start(100, () => {
		t.fail('it was cancelled');
	});
	await clock.advance(150);
	cancelFirst();
	await clock.advance(1000);
	t.equal(ticked, 1);
	t.equal(counts.fired, 1);
});

t.test('a wait ends with its tick or event, or when its signal aborts', async t => {
	const clock = new ManualClock();
	const controller = new AbortController();
	const {signal} = controller;
	let ended = 0;
	const count = () => {
		ended++;
	};

	const handlers = new Set<() => void>();
	const subscribe = (handler: () => void) => {
		handlers.add(handler);
		return () => {
			handlers.delete(handler);
		};
	};

	void waitForTick(clock, 100, signal).then(count);
	void waitForTick(clock, 300, signal).then(count);
	void clock.sleep(1000, signal).then(count);
	void waitForEvent(subscribe, signal).then(count);
	await clock.advance(99);
	t.equal(ended, 0);
	await clock.advance(1);
	t.equal(ended, 1);
	for (const handler of handlers) {
		handler();
	}

	await clock.advance(0);
	t.equal(ended, 2);
	t.equal(handlers.size, 0);
	void waitForEvent(subscribe, signal).then(count);
	controller.abort();
	await clock.advance(0);
	t.equal(ended, 5);
	t.equal(handlers.size, 0);
	await waitForTick(clock, 100, signal);
	await waitForEvent(subscribe, signal);
	t.equal(handlers.size, 0, 'an aborted signal ends a wait at once');
});

t.test('an event that has happened already ends a wait', async t => {
	let cancels = 0;
	await waitForEvent(handler => {
		handler();
		return () => {
			cancels++;
		};
	}, new AbortController().signal);
	t.equal(cancels, 1);
});
