import t from 'tap';
import {Lifecycle} from './lifecycle.ts';
import {ManualClock} from '#clock';
import {createTelemetry} from '#telemetry';

function createLifecycle(options: {running: number}) {
	const clock = new ManualClock();
	const telemetry = createTelemetry({level: 'silent'});
	const lifecycle = new Lifecycle({
		clock, telemetry, countRunning: () => options.running, balancerMs: 15_000, drainMs: 600_000,
	});
	lifecycle.markReady();
	return {clock, telemetry, lifecycle};
}

t.test('a shutdown ends readiness at once, but requests are accepted until the balancer delay has passed', async t => {
	const {clock, lifecycle} = createLifecycle({running: 0});
	t.ok(lifecycle.isReady);
	void lifecycle.drain();
	t.notOk(lifecycle.isReady);
	await clock.advance(14_999);
	t.ok(lifecycle.isAcceptingRequests);
	await clock.advance(1);
	t.notOk(lifecycle.isAcceptingRequests);
	lifecycle.markReady();
	t.notOk(lifecycle.isReady);
});

t.test('hooks run after the running requests have finished', async t => {
	const load = {running: 1};
	const {clock, telemetry, lifecycle} = createLifecycle(load);
	const events: string[] = [];
	lifecycle.addShutdownHook(async () => {
		events.push(`hook with ${load.running} running`);
	});
	void lifecycle.drain().then(() => {
		events.push('drained');
	});
	await clock.advance(500_000);
	t.same(events, []);
	load.running = 0;
	await clock.advance(100);
	t.same(events, ['hook with 0 running', 'drained']);
	t.equal(telemetry.getCounter('drain_cut_requests_total'), 0);
});

t.test('the shutdown stops waiting at the drain limit and counts the requests that still run', async t => {
	const {clock, telemetry, lifecycle} = createLifecycle({running: 2});
	let isDrained = false;
	void lifecycle.drain().then(() => {
		isDrained = true;
	});
	await clock.advance(15_000);
	await clock.advanceUntil(() => isDrained, 600_100, 60_000);
	t.ok(isDrained);
	t.equal(telemetry.getCounter('drain_cut_requests_total'), 2);
});

t.test('a hook that does not finish does not block the shutdown', async t => {
	const {clock, lifecycle} = createLifecycle({running: 0});
	lifecycle.addShutdownHook(async () => {
		await clock.sleep(3_600_000);
	});
	let isDrained = false;
	void lifecycle.drain().then(() => {
		isDrained = true;
	});
	await clock.advance(21_000);
	t.ok(isDrained);
});

t.test('the times of a shutdown count from the request for it, which may have waited to be handled', async t => {
	const load = {running: 1};
	const {clock, telemetry, lifecycle} = createLifecycle(load);
	await clock.advance(100_000);
	let isDrained = false;
	void lifecycle.drain({requestedMs: 90_000}).then(() => {
		isDrained = true;
	});
	t.notOk(lifecycle.isReady);
	await clock.advance(4999);
	t.ok(lifecycle.isAcceptingRequests);
	await clock.advance(1);
	t.notOk(lifecycle.isAcceptingRequests, 'refuses 15 s after the request');
	await clock.advance(599_999);
	t.notOk(isDrained);
	await clock.advance(1);
	t.ok(isDrained, 'ends 615 s after the request');
	t.equal(telemetry.getCounter('drain_cut_requests_total'), 1);
});

t.test('a shutdown that is handled late refuses until the load balancer has withdrawn the instance', async t => {
	const {clock, lifecycle} = createLifecycle({running: 0});
	await clock.advance(100_000);
	let isDrained = false;
	void lifecycle.drain({requestedMs: 80_000}).then(() => {
		isDrained = true;
	});
	t.notOk(lifecycle.isAcceptingRequests);
	await clock.advance(14_900);
	t.notOk(isDrained, 'the load balancer learns of the shutdown when it is handled');
	await clock.advance(200);
	t.ok(isDrained);
});

/** Creates a lifecycle whose timers fire late by a time that the test sets, as on a busy event loop. */
function createLateLifecycle() {
	const clock = new ManualClock();
	const delay = {ms: 0};
	const lifecycle = new Lifecycle({
		clock: {
			now: () => clock.now(), getWallTimeMs: () => clock.getWallTimeMs(), setTimer: (delayMs, handler) => clock.setTimer(delayMs + delay.ms, handler),
			subscribe: (intervalMs, handler) => clock.subscribe(intervalMs, handler), sleep: async delayMs => clock.sleep(delayMs + delay.ms),
		},
		telemetry: createTelemetry({level: 'silent'}), countRunning: () => 0, balancerMs: 3000, drainMs: 4000,
	});
	lifecycle.markReady();
	return {clock, lifecycle, delay};
}

t.test('requests are refused in time even if timers are late', async t => {
	const {clock, lifecycle, delay} = createLateLifecycle();
	delay.ms = 2000;
	void lifecycle.drain();
	await clock.advance(2999);
	t.ok(lifecycle.isAcceptingRequests);
	await clock.advance(1);
	t.notOk(lifecycle.isAcceptingRequests);
});

t.test('a shutdown waits until the event loop is on time, as requests may wait to be read', async t => {
	const {clock, lifecycle, delay} = createLateLifecycle();
	delay.ms = 600;
	let isDrained = false;
	void lifecycle.drain().then(() => {
		isDrained = true;
	});
	await clock.advance(5500);
	t.notOk(isDrained);
	delay.ms = 50;
	await clock.advance(1000);
	t.ok(isDrained);
});

t.test('a shutdown ends in time even if the event loop never is', async t => {
	const {clock, lifecycle, delay} = createLateLifecycle();
	delay.ms = 600;
	let isDrained = false;
	void lifecycle.drain().then(() => {
		isDrained = true;
	});
	await clock.advance(7700);
	t.ok(isDrained);
});

t.test('a shutdown waits within its time limits until callers\' requests have been read', async t => {
	for (const isReadMs of [17_000, Infinity]) {
		const {clock, lifecycle} = createLifecycle({running: 0});
		lifecycle.addInputCheck(async () => clock.now() >= isReadMs);
		let drainedMs = 0;
		void lifecycle.drain().then(() => {
			drainedMs = clock.now();
		});
		await clock.advance(700_000);
		t.equal(drainedMs, Math.min(isReadMs, 615_000));
	}
});

t.test('a shutdown that is handled after its end still refuses for a moment', async t => {
	const {clock, lifecycle} = createLifecycle({running: 1});
	await clock.advance(1_000_000);
	let isDrained = false;
	void lifecycle.drain({requestedMs: 100_000}).then(() => {
		isDrained = true;
	});
	await clock.advance(199);
	t.notOk(lifecycle.isAcceptingRequests);
	t.notOk(isDrained);
	await clock.advance(1);
	t.ok(isDrained);
});

t.test('a shutdown during the start keeps the instance from becoming ready', async t => {
	const clock = new ManualClock();
	const lifecycle = new Lifecycle({
		clock, telemetry: createTelemetry({level: 'silent'}), countRunning: () => 0, balancerMs: 3000, drainMs: 4000,
	});
	await clock.advance(2000);
	void lifecycle.drain({requestedMs: 500});
	lifecycle.markReady();
	t.notOk(lifecycle.isReady);
	t.equal(lifecycle.phase, 'turning_away');
	await clock.advance(1500);
	t.equal(lifecycle.phase, 'refusing');
});
