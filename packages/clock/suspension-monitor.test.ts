import t from 'tap';
import {ManualClock, SuspensionMonitor, type Clock} from '#clock';

t.test('timers that fire on time are no suspension', async t => {
	const clock = new ManualClock();
	const monitor = new SuspensionMonitor(clock);
	await clock.advance(10_000);
	t.equal(monitor.getLast(), undefined);
});

t.test('a suspension is known before the first timer fires', async t => {
	const clock = new ManualClock();
	const monitor = new SuspensionMonitor(clock);
	await clock.advance(1100);
	clock.suspend(4000);
	t.same(monitor.getLast(), {startMs: 1000, endMs: 5100});
	await clock.advance(3000);
	t.same(monitor.getLast(), {startMs: 1000, endMs: 5100});
});

t.test('a suspension is known after timers have fired late', async t => {
	const clock = new ManualClock();
	const monitor = new SuspensionMonitor(clock);
	await clock.advance(1000);
	clock.suspend(2000);
	await clock.advance(1000);
	t.same(monitor.getLast(), {startMs: 1000, endMs: 3000});
});

t.test('a monotonic clock that stands still during a suspension is noticed by the wall clock', async t => {
	const manual = new ManualClock();
	let stoodStillMs = 0;
	const clock: Clock = {
		now: () => manual.now(), getWallTimeMs: () => manual.getWallTimeMs() + stoodStillMs, setTimer: (delayMs, handler) => manual.setTimer(delayMs, handler),
		subscribe: (intervalMs, handler) => manual.subscribe(intervalMs, handler), sleep: async (delayMs, signal) => manual.sleep(delayMs, signal),
	};
	const monitor = new SuspensionMonitor(clock);
	await manual.advance(1000);
	stoodStillMs = 3000;
	t.same(monitor.getLast(), {startMs: -2000, endMs: 1000});
});
