import t from 'tap';
import {Lifecycle} from './lifecycle.ts';
import {ManualClock} from '#clock';
import {createTelemetry} from '#telemetry';

function create(options: {running: number}) {
	const clock = new ManualClock();
	const telemetry = createTelemetry({level: 'silent'});
	const lifecycle = new Lifecycle({
		clock, telemetry, countRunning: () => options.running, balancerMs: 15_000, drainMs: 600_000,
	});
	lifecycle.markReady();
	return {clock, telemetry, lifecycle};
}

t.test('not ready at once, still taking until the balancer has turned away', async t => {
	const {clock, lifecycle} = create({running: 0});
	t.ok(lifecycle.isReady);
	void lifecycle.drain();
	t.notOk(lifecycle.isReady);
	await clock.advance(14_999);
	t.ok(lifecycle.isTaking);
	await clock.advance(1);
	t.notOk(lifecycle.isTaking);
	lifecycle.markReady();
	t.notOk(lifecycle.isReady);
});

t.test('running requests finish and then state is handed over', async t => {
	const load = {running: 1};
	const {clock, telemetry, lifecycle} = create(load);
	const events: string[] = [];
	lifecycle.register(async () => {
		events.push(`handed over with ${load.running} running`);
	});
	void lifecycle.drain().then(() => {
		events.push('drained');
	});
	await clock.advance(500_000);
	t.same(events, []);
	load.running = 0;
	await clock.advance(100);
	t.same(events, ['handed over with 0 running', 'drained']);
	t.equal(telemetry.read('drain_cut_requests_total'), 0);
});

t.test('the drain bound ends the wait and is counted', async t => {
	const {clock, telemetry, lifecycle} = create({running: 2});
	let isDrained = false;
	void lifecycle.drain().then(() => {
		isDrained = true;
	});
	await clock.advance(15_000);
	await clock.advanceUntil(() => isDrained, 600_100, 60_000);
	t.ok(isDrained);
	t.equal(telemetry.read('drain_cut_requests_total'), 2);
});

t.test('a hand-over that never ends does not hold the stop', async t => {
	const {clock, lifecycle} = create({running: 0});
	lifecycle.register(async () => {
		await clock.sleep(3_600_000);
	});
	let isDrained = false;
	void lifecycle.drain().then(() => {
		isDrained = true;
	});
	await clock.advance(21_000);
	t.ok(isDrained);
});
