import t from 'tap';
import {provideSnapshots, restoreState, type WarmStartDependencies} from './warm-start.ts';
import {ManualClock} from '#clock';
import {ConfigurationStore, publishFragments} from '#configuration';
import {prepareHash, createRandom} from '#core';
import {TargetViews} from '#placement';
import {Quarantine} from '#quarantine';
import {PeerNetworkStandin, PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

const file = {
	file: 'stock.json', text: JSON.stringify({
		service: 'stock', customers: [], routes: [], pools: [{name: 'ledger', kind: 'service', targets: [{name: 's1', address: '10.0.0.1:1', zone: 'esbjerg'}]}],
	}),
};

function createFleet() {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock);
	const network = new PeerNetworkStandin(clock);
	const telemetry = createTelemetry({level: 'silent'});
	const stopping = new AbortController();
	const start = (index: number) => {
		const name = `r${index}`;
		const bus = network.join({name, zone: 'esbjerg', incarnation: name});
		const configuration = new ConfigurationStore(platform, clock, telemetry, {bus});
		const state = {isReady: false};
		const dependencies: WarmStartDependencies = {
			clock, random: createRandom(index), telemetry, bus, configuration, views: new TargetViews(), quarantine: new Quarantine({
				clock, random: createRandom(index), telemetry, bus,
			}), isReady: () => state.isReady,
		};
		provideSnapshots(dependencies);
		void configuration.run(stopping.signal);
		void restoreState(dependencies, true, stopping.signal).then(() => {
			state.isReady = true;
		});
		return {...dependencies, state};
	};

	return {
		clock, platform, telemetry, stopping, start,
	};
}

async function publish(clock: ManualClock, platform: PlatformStandin): Promise<void> {
	const published = publishFragments(platform, [file]);
	await clock.advance(100);
	await published;
}

t.before(prepareHash);

t.test('a restarted instance restores the targets\' caches before it is ready', async t => {
	const {clock, platform, stopping, start} = createFleet();
	await publish(clock, platform);
	const first = start(1);
	t.ok(await clock.advanceUntil(() => first.state.isReady, 8000, 20));
	first.views.applyPrefill('e1', 'i1', ['k1', 'k2']);
	first.quarantine.recordCrash('f1', 'e1', 'i0');
	const second = start(2);
	t.ok(await clock.advanceUntil(() => second.state.isReady, 8000, 20));
	t.same(second.views.findCachedPrefix('e1', ['k1', 'k2']), {pieces: 2, suspect: 0});
	t.equal(second.views.entryCount, 2);
	t.equal(second.views.get('e1').incarnation, 'i1');
	t.equal(second.quarantine.countStrikes('f1'), 1);
	stopping.abort();
});

t.test('instances that start together without a ready peer become ready from the platform alone', async t => {
	const {clock, platform, stopping, start} = createFleet();
	await publish(clock, platform);
	const instances = Array.from({length: 8}, (_, index) => start(index + 1));
	t.ok(await clock.advanceUntil(() => instances.every(({state}) => state.isReady), 15_000, 20));
	stopping.abort();
});

t.test('instances that start together receive at most four snapshots at once', async t => {
	const {clock, platform, telemetry, stopping, start} = createFleet();
	await publish(clock, platform);
	const first = start(0);
	await clock.advanceUntil(() => first.state.isReady, 8000, 20);
	const countSnapshots = () => telemetry.getCounter('snapshots_total', {result: 'taken'});
	const before = countSnapshots();
	const instances = Array.from({length: 24}, (_, index) => start(index + 1));
	await clock.advance(200);
	t.ok(countSnapshots() - before <= 4, `${countSnapshots() - before} in 200 ms`);
	t.ok(await clock.advanceUntil(() => instances.every(({state}) => state.isReady), 15_000, 20));
	stopping.abort();
});

t.test('instances that restart while the platform is down become ready once it is back', async t => {
	const {clock, platform, stopping, start} = createFleet();
	await publish(clock, platform);
	platform.setDown(true);
	const instances = Array.from({length: 4}, (_, index) => start(index + 1));
	await clock.advance(30_000);
	t.notOk(instances.some(({state}) => state.isReady));
	platform.setDown(false);
	t.ok(await clock.advanceUntil(() => instances.every(({state}) => state.isReady), 3000, 20));
	stopping.abort();
});

t.test('instances that restart while the platform is slow become ready', async t => {
	const {clock, platform, stopping, start} = createFleet();
	await publish(clock, platform);
	platform.setLatencyFactor(400);
	const instances = Array.from({length: 4}, (_, index) => start(index + 1));
	t.ok(await clock.advanceUntil(() => instances.every(({state}) => state.isReady), 10_000, 20));
	stopping.abort();
});
