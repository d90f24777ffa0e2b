import t, {type Test} from 'tap';
import {StoreMirrors} from './_store-mirrors.ts';
import {StoreWatchers} from './_store-watchers.ts';
import type {StoredFormats} from './relay-instance.ts';
import {ManualClock, SuspensionMonitor} from '#clock';
import {
	createRandom, fail, succeed, type RelayConfiguration, type RelayTarget,
} from '#core';
import type {StoredObject} from '#object-store';
import {createNoopBus} from '#peer-protocol';
import {TargetSet, PublishedWeights} from '#relay';
import {PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

const target: RelayTarget = {
	id: '', incarnation: '', startedWallMs: 0, pool: 'p', address: '', zone: 'z', slots: 4, isDraining: false, softwareVersion: 'v1', weights: new Map(),
};

/** Creates formats that encode a configuration as its version and a target as its address. */
function createFormats(decoded: string[]): StoredFormats {
	return {
		kinds: {
			configuration: 'c', targets: 't', weights: 'w', instances: 'i', leases: 'l', quarantine: 'q', software: 's', origins: 'o',
		},
		decodeConfiguration({value}: StoredObject) {
			const version = Number(value);
			return Number.isNaN(version) ? fail('no number') : succeed({version} as RelayConfiguration); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- only the version is used here
		},
		decodeTarget({key, value}: StoredObject) {
			decoded.push(key);
			if (value === 'throw') {
				throw new Error('odd');
			}

			return value === 'bad'
				? fail('no address')
				: succeed({
					...target, id: key, incarnation: `${key}@1`, address: value,
				});
		},
		decodeWeights: ({value}: StoredObject) => value === 'bad' ? fail('no version') : succeed({model: 'm', version: Number(value)}),
		encodeInstance: () => '',
	};
}

function start(t: Test) {
	const clock = new ManualClock();
	const store = new PlatformStandin(clock, {latencyMs: 2});
	const targets = new TargetSet(clock, {connectTimeoutMs: 1, idleTimeoutMs: 1});
	const publishedWeights = new PublishedWeights({clock, suspensions: new SuspensionMonitor(clock)});
	const telemetry = createTelemetry({level: 'silent'});
	const decoded: string[] = [];
	const applied: number[] = [];
	let newest: RelayConfiguration | undefined;
	let readyCalls = 0;
	let storeReturns = 0;
	const mirrors = new StoreMirrors({
		formats: createFormats(decoded), clock, telemetry, bus: createNoopBus(), targets, publishedWeights,
		gateway: {
			get configuration() {
				return newest;
			},
			applyConfiguration(configuration) {
				const isNewer = configuration.version > (newest?.version ?? 0);
				newest = isNewer ? configuration : newest;
				return isNewer;
			},
		},
		rollout: {
			wake() {
				// No weights are rolled out in these tests.
			},
		},
		watchers: new StoreWatchers({
			clock, bus: createNoopBus(), self: 'one', listFirst: () => ['one'],
		}),
		handleConfiguration({version}) {
			applied.push(version);
		},
		handleReady() {
			readyCalls++;
		},
		handleStoreReturn() {
			storeReturns++;
		},
	});
	const stopping = new AbortController();
	const run = () => {
		void mirrors.run(store, createRandom(4), stopping.signal);
	};

	t.teardown(async () => {
		stopping.abort();
		await clock.advance(20_000);
	});
	const write = async (...entries: ReadonlyArray<readonly [string, string]>) => {
		for (const [key, value] of entries) {
			void store.put(key, value);
		}

		await clock.advance(30);
	};

	return {
		clock, store, telemetry, targets, publishedWeights, decoded, applied, run, write, countReadyCalls: () => readyCalls, countStoreReturns: () => storeReturns,
		list: () => targets.list().map(({target: {id}}) => id),
	};
}

t.test('an instance is ready once it has a configuration and a list of targets', async t => {
	const {clock, run, write, countReadyCalls} = start(t);
	await write(['w/m', '1']);
	run();
	await clock.advance(30);
	t.equal(countReadyCalls(), 0, 'there is no configuration yet');
	await write(['c/main', '1']);
	t.ok(countReadyCalls() > 0);
});

t.test('a change to one entry decodes only that entry', async t => {
	const {clock, run, write, decoded, list} = start(t);
	await write(...Array.from({length: 30}, (_item, index) => [`t/e${index}`, `10.0.0.${index}:1`] as const));
	run();
	await clock.advance(30);
	t.equal(decoded.length, 30);
	decoded.length = 0;
	await write(['t/e3', '10.0.0.99:1']);
	t.strictSame(decoded, ['t/e3']);
	t.equal(list().length, 30);
});

t.test('an entry that cannot be decoded is skipped until it can be', async t => {
	const {run, write, list} = start(t);
	await write(['t/a', 'bad'], ['t/b', '10.0.0.2:1']);
	run();
	await write();
	t.strictSame(list(), ['t/b']);
	await write(['t/a', '10.0.0.1:1']);
	t.strictSame(list().toSorted((a, b) => a < b ? -1 : 1), ['t/a', 't/b']);
});

t.test('each revision of an entry that cannot be decoded is counted once, and hides no other', async t => {
	const {run, write, telemetry, list, publishedWeights} = start(t);
	await write(['t/a', 'bad'], ['t/b', '10.0.0.2:1'], ['w/a', 'bad'], ['w/b', '3']);
	run();
	await write();
	await write(['t/c', '10.0.0.3:1'], ['w/c', '3']);
	t.equal(telemetry.getCounter('entries_unreadable_total', {kind: 't'}), 1);
	t.equal(telemetry.getCounter('entries_unreadable_total', {kind: 'w'}), 1);
	await write(['t/a', 'bad']);
	t.equal(telemetry.getCounter('entries_unreadable_total', {kind: 't'}), 2);
	t.strictSame(list(), ['t/b', 't/c']);
	t.equal(publishedWeights.listNewest().get('m'), 3);
});

t.test('an error while an entry is decoded concerns this entry alone', async t => {
	const {run, write, telemetry, list} = start(t);
	await write(['t/a', 'throw'], ['t/b', '10.0.0.2:1']);
	run();
	await write();
	await write(['t/c', '10.0.0.3:1']);
	t.strictSame(list(), ['t/b', 't/c']);
	t.equal(telemetry.getCounter('escaped_errors_total', {activity: 'entry'}), 1);
});

t.test('an error while changes are applied does not end the mirror', async t => {
	const {run, write, targets, telemetry, list} = start(t);
	run();
	const update = targets.update.bind(targets);
	targets.update = () => {
		throw new Error('odd');
	};

	await write(['t/a', '10.0.0.1:1']);
	t.equal(telemetry.getCounter('escaped_errors_total', {activity: 'change'}), 1);
	targets.update = update;
	await write(['t/b', '10.0.0.2:1']);
	t.strictSame(list(), ['t/a', 't/b']);
});

t.test('a configuration that cannot be decoded or is older is not applied', async t => {
	const {run, write, applied} = start(t);
	run();
	await write(['c/main', '5']);
	await write(['c/main', 'x']);
	await write(['c/main', '4']);
	await write(['c/main', '6']);
	t.strictSame(applied, [5, 6]);
});

t.test('entries that expire while the store is down are retained until targets could have written them again', async t => {
	const {clock, store, run, write, list} = start(t);
	await write(['t/a', '10.0.0.1:1'], ['t/b', '10.0.0.2:1']);
	run();
	await clock.advance(30);
	store.setDown(true);
	await clock.advance(5000);
	store.setDown(false);
	void store.remove('t/a');
	await clock.advance(1500);
	t.strictSame(list().length, 2, 'the target may still write its entry again');
	await clock.advance(3000);
	t.strictSame(list(), ['t/b']);
});

t.test('the end of an outage of the store is reported', async t => {
	const {clock, store, run, countStoreReturns} = start(t);
	run();
	await clock.advance(5000);
	t.equal(countStoreReturns(), 0);
	store.setDown(true);
	await clock.advance(5000);
	t.equal(countStoreReturns(), 0);
	store.setDown(false);
	await clock.advance(5000);
	t.equal(countStoreReturns(), 1);
});

t.test('only newer published versions of weights are recorded', async t => {
	const {run, write, publishedWeights} = start(t);
	run();
	await write(['w/m', '3']);
	await write(['w/m', '2']);
	t.equal(publishedWeights.listNewest().get('m'), 3);
});
