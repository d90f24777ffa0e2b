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
