import t from 'tap';
import {CapacityController} from './controller.ts';
import {DemandForecast} from './forecast.ts';
import {ManualClock} from '#clock';
import {
	createRandom, succeed, type EngineOrder, type LoadReport, type TargetLink, type TargetPool,
} from '#core';
import {EngineStandin, PlatformStandin} from '#standins';
import {Lease} from '#lease';
import {createTelemetry} from '#telemetry';

const pool: TargetPool = {
	name: 'p', kind: 'engine', model: 'm', weights: 'v2', pieceTokens: 2000, checksFencing: false, loadsAtOnce: 1, minLoaded: 1, slots: 8,
	targets: [{name: 'e1', address: '10.0.0.1:1', zone: 'a'}],
};

/** Starts a controller for a pool of one engine that serves `v1`. `overrideLink` replaces methods of the engine's link. */
async function startController(overrideLink: (clock: ManualClock, engine: EngineStandin) => Partial<TargetLink>) {
	const clock = new ManualClock();
	const engine = new EngineStandin(clock, {model: 'm', weights: 'v1', checksFencing: false});
	const random = createRandom(3);
	const telemetry = createTelemetry({level: 'silent'});
	const platform = new PlatformStandin(clock);
	const lease = new Lease('p', {
		platform, clock, random, telemetry, holder: 'r1',
	});
	const link: TargetLink = {
		run: (call, signal) => engine.run(call, signal),
		readReport: async () => engine.readReport(),
		readCacheEvents: async after => engine.readCacheEvents(after),
		sendOrder: async order => engine.sendOrder(order),
		close: async () => engine.close(),
		...overrideLink(clock, engine),
	};
	const stopping = new AbortController();
	const controller = new CapacityController({
		clock, random, telemetry, lease, forecast: new DemandForecast(),
		getPool: () => pool, getLink: () => link, countWaiting: () => 0, isCandidate: () => true,
	});
	void controller.run(stopping.signal);
	return {
		clock, engine, lease, platform, telemetry, stopping,
	};
}

t.test('loads the configured weights on an outdated engine', async t => {
	const {clock, engine} = await startController(() => ({}));
	await clock.advance(3000);
	t.equal(engine.weights, 'v2');
	t.equal(engine.acceptedOrders.length, 1);
});

t.test('sends no order if the lease ran out while it read the engines', async t => {
	const {clock, engine, telemetry, platform} = await startController((clock, engine) => ({
		async readReport() {
			await clock.sleep(7000);
			return engine.readReport();
		},
	}));
	await clock.advance(100);
	platform.setDown(true);
	await clock.advance(20_000);
	t.equal(engine.acceptedOrders.length, 0);
	t.ok(telemetry.getCounter('capacity_orders_total', {pool: 'p', kind: 'load', result: 'lease_too_short'}) > 0);
});

t.test('sends an order only once while reports are stale', async t => {
	let stale: LoadReport | undefined;
	const {clock, engine} = await startController((clock, engine) => ({
		async readReport() {
			const report = await engine.readReport();
			stale ??= report.ok ? report.value : undefined;
			return clock.now() < 4000 ? succeed({...stale!, ageMs: clock.now()}) : report;
		},
	}));
	await clock.advance(10_000);
	t.equal(engine.weights, 'v2');
	t.equal(engine.acceptedOrders.length, 1);
});

// Guards against an order to the earlier process that counts as pending for 30 s.
t.test('sends an order again to an engine that has restarted since', async t => {
	let orders = 0;
	const {clock, engine} = await startController((_clock, engine) => ({
		async sendOrder(order) {
			if (orders++ > 0) {
				return engine.sendOrder(order);
			}

			engine.crash();
			engine.restart();
			return succeed({accepted: true, fencing: order.fencing, lastOrderId: order.orderId});
		},
	}));
	await clock.advance(5000);
	t.equal(orders, 2);
	t.equal(engine.weights, 'v2');
});

t.test('invalidates the lease when a target reports a newer fencing token', async t => {
	const sent: EngineOrder[] = [];
	const {clock, lease} = await startController(() => ({
		async sendOrder(order) {
			sent.push(order);
			return succeed({accepted: false, fencing: 9, lastOrderId: ''});
		},
	}));
	await clock.advance(1000);
	t.equal(sent.length, 1);
	t.notOk(lease.isHeld);
});

t.test('releases the lease when it stops', async t => {
	const {clock, lease, platform, stopping} = await startController(() => ({}));
	await clock.advance(1000);
	t.ok(lease.isHeld);
	stopping.abort();
	await clock.advance(1000);
	t.notOk(lease.isHeld);
	const reading = platform.get('leases/p');
	await clock.advance(10);
	const stored = await reading;
	t.match(stored.ok && stored.value?.value, /"holder":""/v);
});
