import fc from 'fast-check';
import t from 'tap';
import type {EngineControl, OrderOutcome, WeightsOrder} from './engine-control.ts';
import {WeightsRollout, type WeightsNews} from './weights-rollout.ts';
import {ManualClock} from '#clock';
import {createRandom, type RelayTarget} from '#core';
import {Lease} from '#lease';
import {PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

const telemetry = createTelemetry({level: 'silent'});
const loadMs = 400;

type Engine = {
	readonly id: string;
	version: number;
	orders: number;
	fence: number;
	running: number;
	/** Version that is being loaded, and when that ends. */
	loading: Readonly<{version: number; untilMs: number}> | undefined;
	/** What becomes of the next orders in place of the usual. */
	faults: Array<'lose' | 'late' | 'refuse'>;
};

/** Engines that load for a time, refuse old fencing tokens, and may lose or delay orders. */
class EngineFleet implements EngineControl {
	readonly engines: readonly Engine[];
	readonly orders: Array<WeightsOrder & Readonly<{id: string; atMs: number; running: number}>> = [];
	mostLoading = 0;
	readonly #clock: ManualClock;

	constructor(clock: ManualClock, count: number) {
		this.#clock = clock;
		this.engines = Array.from({length: count}, (_item, index) => ({
			id: `e${index}`, version: 1, orders: 0, fence: 0, running: 0, loading: undefined, faults: [],
		}));
	}

	listTargets(): readonly RelayTarget[] {
		return this.engines.map(engine => ({
			id: engine.id, incarnation: `${engine.id}@1`, startedWallMs: 0, pool: 'p', address: '', zone: 'z', slots: 64, isLeaving: false,
			weights: new Map([['m', this.#settle(engine).version]]),
		}));
	}

	async readReport({id}: RelayTarget) {
		await this.#clock.sleep(3);
		const engine = this.#settle(this.engines.find(engine => engine.id === id)!);
		return {
			weights: new Map([['m', engine.version]]), isBusy: engine.loading !== undefined, acceptedOrders: engine.orders, running: engine.running, waiting: 0,
		};
	}

	async sendOrder({id}: RelayTarget, order: WeightsOrder): Promise<OrderOutcome> {
		await this.#clock.sleep(3);
		const engine = this.engines.find(engine => engine.id === id)!;
		const fault = engine.faults.shift();
		if (fault === 'refuse') {
			return 'rejected';
		}

		if (fault === 'late') {
			this.#clock.after(3000, () => {
				this.#carryOut(engine, order);
			});
			return 'unknown';
		}

		const outcome = this.#carryOut(engine, order);
		return fault === 'lose' ? 'unknown' : outcome;
	}

	#carryOut(engine: Engine, order: WeightsOrder): OrderOutcome {
		this.#settle(engine);
		if (order.fencing < engine.fence) {
			return 'fenced';
		}

		engine.fence = order.fencing;
		const isBusy = engine.loading !== undefined;
		if (isBusy || order.ifAcceptedOrders !== engine.orders) {
			return 'conflict';
		}

		this.orders.push({
			...order, id: engine.id, atMs: this.#clock.now(), running: engine.running,
		});
		engine.orders++;
		engine.loading = {version: order.version, untilMs: this.#clock.now() + loadMs};
		this.mostLoading = Math.max(this.mostLoading, this.engines.filter(one => this.#settle(one).loading).length);
		return 'accepted';
	}

	#settle(engine: Engine): Engine {
		if (engine.loading && engine.loading.untilMs <= this.#clock.now()) {
			engine.version = engine.loading.version;
			engine.loading = undefined;
		}

		return engine;
	}
}

function start(count: number) {
	const clock = new ManualClock();
	const fleet = new EngineFleet(clock, count);
	const platform = new PlatformStandin(clock);
	const named = new Map<string, number>();
	const news: WeightsNews[] = [];

	/** Starts the roll-out of one instance. */
	const join = (name: string, rank: number, readRank = () => rank) => {
		const stopping = new AbortController();
		const lease = new Lease('weights', {
			platform, clock, random: createRandom(rank + 1), telemetry, holder: name,
		}, {termMs: 3000, guardMs: 500});
		const rollout = new WeightsRollout({
			name, clock, telemetry, lease, control: fleet, leastTermMs: 0, listEngines: () => fleet.listTargets(), listNamed: () => named,
			countRequests: ({id}) => fleet.engines.find(engine => engine.id === id)!.running, readRank, isStandby: () => rank <= 1,
			replaced() {
				// No engine of this fleet is replaced.
			},
			tell(step) {
				news.push(step);
			},
		});
		void rollout.run(stopping.signal);
		return {rollout, lease, stopping};
	};

	const name = (version: number) => {
		named.set('m', version);
	};

	const listVersions = () => {
		fleet.listTargets();
		return fleet.engines.map(({version}) => version);
	};

	const isLevel = (version: number) => listVersions().every(one => one === version);
	return {
		clock, fleet, platform, news, join, name, isLevel, listVersions,
	};
}

t.test('all engines come to the newest weights, a part of them at a time', async t => {
	const {clock, fleet, news, join, name, isLevel} = start(12);
	const {rollout} = join('a', 0);
	name(2);
	rollout.wake();
	t.ok(await clock.advanceUntil(() => isLevel(2), 4000, 10));
	t.equal(fleet.mostLoading, 3);
	t.equal(fleet.orders.length, 12);
	t.equal(news.filter(({isLoading}) => isLoading).length, 12);
	t.ok(fleet.orders.every(({keepsRuns}) => !keepsRuns));
});

t.test('an engine with requests is waited for, then loads under them', async t => {
	const {clock, fleet, join, name, isLevel} = start(1);
	fleet.engines[0]!.running = 3;
	const {rollout} = join('a', 0);
	name(2);
	rollout.wake();
	t.ok(await clock.advanceUntil(() => isLevel(2), 3000, 10));
	t.match(fleet.orders, [{keepsRuns: true, running: 3}]);
	t.ok(fleet.orders[0]!.atMs >= 500 && fleet.orders[0]!.atMs < 900);
});

t.test('the engines with the least to finish come first', async t => {
	const {clock, fleet, join, name, isLevel} = start(8);
	for (const [index, engine] of fleet.engines.entries()) {
		engine.running = index;
	}

	const {rollout} = join('a', 0);
	name(2);
	rollout.wake();
	t.ok(await clock.advanceUntil(() => isLevel(2), 8000, 10));
	t.strictSame(fleet.orders.slice(0, 2).map(({id}) => id).toSorted((a, b) => a < b ? -1 : 1), ['e0', 'e1']);
});

t.test('versions that were superseded are skipped', async t => {
	const {clock, fleet, join, name, isLevel} = start(12);
	const {rollout} = join('a', 0);
	name(2);
	rollout.wake();
	await clock.advance(300);
	name(3);
	t.ok(await clock.advanceUntil(() => isLevel(3), 6000, 10));
	t.ok(fleet.orders.filter(({version}) => version === 2).length < 12);
});

t.test('an order whose answer was lost is settled by the next report', async t => {
	const {clock, fleet, join, name, isLevel} = start(4);
	fleet.engines[1]!.faults.push('lose');
	const {rollout} = join('a', 0);
	name(2);
	rollout.wake();
	t.ok(await clock.advanceUntil(() => isLevel(2), 5000, 10));
	t.equal(fleet.orders.filter(({id}) => id === 'e1').length, 1);
});

t.test('an order that is carried out late does not bring old weights back', async t => {
	const {clock, fleet, join, name, isLevel, listVersions} = start(2);
	fleet.engines[0]!.faults.push('late');
	const {rollout} = join('a', 0);
	name(2);
	rollout.wake();
	await clock.advance(1500);
	name(3);
	t.ok(await clock.advanceUntil(() => isLevel(3), 5000, 10));
	await clock.advance(6000);
	t.strictSame(listVersions(), [3, 3]);
});

t.test('an engine that does not know the version yet is tried again', async t => {
	const {clock, fleet, join, name, isLevel} = start(2);
	fleet.engines[0]!.faults.push('refuse');
	const {rollout} = join('a', 0);
	name(2);
	rollout.wake();
	t.ok(await clock.advanceUntil(() => isLevel(2), 5000, 10));
});

t.test('a successor takes over after the term of a holder that died', async t => {
	const {clock, fleet, join, name, isLevel} = start(12);
	const a = join('a', 0);
	const b = join('b', 1);
	name(2);
	a.rollout.wake();
	b.rollout.wake();
	await clock.advance(700);
	a.stopping.abort();
	await clock.advance(700);
	const before = fleet.orders.length;
	t.ok(before < 12);
	t.ok(await clock.advanceUntil(() => isLevel(2), 7300, 10), 'within the time for new weights');
	const [last] = fleet.orders.filter(({holder}) => holder === 'a').slice(-1);
	const first = fleet.orders.find(({holder}) => holder === 'b');
	t.ok(first!.atMs - last!.atMs >= 3000, 'holders do not take turns');
	t.ok(first!.fencing > last!.fencing);
});

t.test('a successor watches the holder, so that it need not wait a whole term from when it is due', async t => {
	const {clock, fleet, join, name} = start(12);
	const a = join('a', 0);
	let isHolderActive = true;
	const b = join('b', 1, () => isHolderActive ? Infinity : 1);
	name(2);
	a.rollout.wake();
	b.rollout.wake();
	await clock.advance(1500);
	a.stopping.abort();
	clock.after(1500, () => {
		isHolderActive = false;
	});
	await clock.advance(20);
	const last = fleet.orders.findLast(({holder}) => holder === 'a')!;
	t.ok(await clock.advanceUntil(() => fleet.orders.some(({holder}) => holder === 'b'), 10_000, 10));
	const waitedMs = fleet.orders.find(({holder}) => holder === 'b')!.atMs - last.atMs;
	t.ok(waitedMs >= 3000 && waitedMs < 4800, `${waitedMs} ms`);
});

t.test('a holder that was killed and comes back goes on at once, whatever its place', async t => {
	const {clock, fleet, join, name, isLevel} = start(12);
	const a = join('a', 0);
	name(2);
	a.rollout.wake();
	await clock.advance(900);
	a.stopping.abort();
	await clock.advance(10);
	const before = fleet.orders.length;
	t.ok(before > 0 && before < 12);
	const again = join('a', 6);
	again.rollout.wake();
	t.ok(await clock.advanceUntil(() => fleet.orders.length > before, 700, 10));
	t.ok(await clock.advanceUntil(() => isLevel(2), 5000, 10));
	t.ok(fleet.orders.at(-1)!.fencing > fleet.orders[0]!.fencing);
});

t.test('a roll-out that is over leaves no term for the next holder to wait for', async t => {
	const {clock, fleet, join, name, isLevel} = start(4);
	const a = join('a', 0);
	name(2);
	a.rollout.wake();
	t.ok(await clock.advanceUntil(() => isLevel(2), 8000, 10));
	await clock.advance(5500);
	a.stopping.abort();
	const b = join('b', 0);
	name(3);
	const namedMs = clock.now();
	b.rollout.wake();
	t.ok(await clock.advanceUntil(() => fleet.orders.some(({holder}) => holder === 'b'), 10_000, 10));
	t.ok(clock.now() - namedMs < 1000, `${clock.now() - namedMs} ms`);
});

t.test('holders do not take turns, although the first one is done and stops', async t => {
	const {clock, fleet, join, name, isLevel} = start(4);
	const a = join('a', 0);
	name(2);
	a.rollout.wake();
	t.ok(await clock.advanceUntil(() => isLevel(2), 8000, 10));
	a.stopping.abort();
	await clock.advance(10);
	const b = join('b', 0);
	name(3);
	b.rollout.wake();
	t.ok(await clock.advanceUntil(() => isLevel(3), 12_000, 10));
	const last = fleet.orders.findLast(({holder}) => holder === 'a')!;
	t.ok(fleet.orders.find(({holder}) => holder === 'b')!.atMs - last.atMs >= 3000);
});

t.test('a holder that was suspended gives its lease up', async t => {
	const {clock, fleet, join, name} = start(12);
	const {rollout, lease} = join('a', 0);
	name(2);
	rollout.wake();
	await clock.advance(200);
	t.ok(lease.isHeld);
	const before = lease.fencing;
	const {wall} = clock;
	clock.wall = () => wall.call(clock) + 5000;
	await clock.advance(300);
	t.ok(fleet.orders.filter(({fencing}) => fencing === before).every(({atMs}) => atMs <= 210));
});

const outages = fc.array(fc.record({
	atMs: fc.integer({min: 0, max: 6000}), fault: fc.constantFrom('down', 'up', 'lose', 'late', 'refuse', 'name'), engine: fc.nat(5),
}), {maxLength: 12});

t.test('whatever is lost, all engines come level once it is over, and no token falls', async () => {
	await fc.assert(fc.asyncProperty(outages, async list => {
		const {clock, fleet, platform, join, name, isLevel} = start(6);
		const a = join('a', 0);
		const b = join('b', 1);
		let version = 2;
		name(version);
		a.rollout.wake();
		b.rollout.wake();
		for (const {atMs, fault, engine} of list.toSorted((one, other) => one.atMs - other.atMs)) {
			await clock.advance(Math.max(0, atMs - clock.now()));
			if (fault === 'down' || fault === 'up') {
				platform.setDown(fault === 'down');
			} else if (fault === 'name') {
				name(++version);
			} else {
				fleet.engines[engine]!.faults.push(fault);
			}
		}

		platform.setDown(false);
		const level = await clock.advanceUntil(() => isLevel(version), 20_000, 20);
		const fences = new Map<string, number>();
		const hasRisen = fleet.orders.every(({id, fencing}) => {
			const last = fences.get(id) ?? 0;
			fences.set(id, fencing);
			return fencing >= last;
		});
		a.stopping.abort();
		b.stopping.abort();
		return level && hasRisen;
	}), {seed: 11, numRuns: 30});
});
