import t, {type Test} from 'tap';
import {syncMirror, type Watchers} from './sync-mirror.ts';
import {KindMirror} from './kind-mirror.ts';
import {ManualClock} from '#clock';
import {createRandom, fail, succeed} from '#core';
import type {ObjectStore, StoredObject} from '#object-store';
import {PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

/** @param wrap wraps the stand-in, to inject faults */
function start(t: Test, wrap: (platform: PlatformStandin, clock: ManualClock) => ObjectStore = platform => platform, watchers?: Watchers) {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock, {latencyMs: 2});
	const mirror = new KindMirror('k');
	const availability: boolean[] = [];
	const stopController = new AbortController();
	void syncMirror({
		mirror, store: wrap(platform, clock), clock, random: createRandom(3), telemetry: createTelemetry({level: 'silent'}),
		...(watchers ? {watchers} : {}),
		handleAvailability(isAvailable) {
			availability.push(isAvailable);
		},
	}, stopController.signal);
	t.teardown(async () => {
		stopController.abort();
		await clock.advance(20_000);
	});
	const write = async (...keys: readonly string[]) => {
		for (const key of keys) {
			void platform.put(key, '1');
		}

		await clock.advance(20);
	};

	return {
		clock, platform, mirror, availability, write, list: () => mirror.list().map(({key}) => key),
	};
}

/** Creates a wrapper whose first watches fail with `failures`, in this order, the interrupted ones after `watchMs`; `lists` records the prefixes of list calls, `waits` the waiting times of watches. */
function failWatches(failures: Array<'gone' | 'unavailable' | 'interrupted' | 'none'>, watchMs = 0) {
	const lists: string[] = [];
	const waits: Array<number | undefined> = [];
	const wrap = (platform: PlatformStandin, clock: ManualClock): ObjectStore => ({
		get: async key => platform.get(key),
		put: async (key, value) => platform.put(key, value),
		remove: async key => platform.remove(key),
		async list(prefix) {
			lists.push(prefix);
			return platform.list(prefix);
		},
		async watch(prefix, revision, signal, options) {
			waits.push(options?.waitMs);
			const kind = failures.shift() ?? 'none';
			if (kind === 'none') {
				return platform.watch(prefix, revision, signal, options);
			}

			await clock.sleep(kind === 'interrupted' ? watchMs : 0);
			return fail({kind, detail: 'set by the test'});
		},
		listInstances: async () => platform.listInstances(),
	});
	return {lists, waits, wrap};
}

t.test('lists the kind first, then applies each of its changes', async t => {
	const {clock, platform, write, list} = start(t);
	await write('k/a');
	t.strictSame(list(), ['k/a']);
	await write('k/b', 'other/c');
	t.strictSame(list(), ['k/a', 'k/b']);
	void platform.remove('k/a');
	await clock.advance(20);
	t.strictSame(list(), ['k/b']);
});

t.test('lists again at once if the store no longer has the history', async t => {
	const {lists, wrap} = failWatches(['gone']);
	const {clock, availability, write, list} = start(t, wrap);
	await clock.advance(30);
	t.strictSame(lists, ['k/', 'k/']);
	t.notOk(availability.includes(false), 'a failure of kind gone counts as an answer');
	await write('k/a');
	t.strictSame(list(), ['k/a']);
});

t.test('after a failed watch, a list detects at once that the store is available again', async t => {
	const {lists, wrap} = failWatches(['unavailable', 'unavailable']);
	const {clock, availability, write, list} = start(t, wrap);
	await clock.advance(400);
	t.strictSame(lists, ['k/', 'k/', 'k/']);
	t.strictSame(availability, [true, false, true, false, true], 'without any change in the store');
	await write('k/a');
	t.strictSame(list(), ['k/a']);
});

t.test('an interrupted watch is opened again and says nothing about the store', async t => {
	const {lists, waits, wrap} = failWatches(['interrupted', 'none', 'interrupted', 'none', 'interrupted'], 2000);
	const {clock, availability, write, list} = start(t, wrap);
	await clock.advance(6100);
	t.strictSame(lists, ['k/'], 'the kind is not listed again');
	t.strictSame(waits, [undefined, 1, undefined, 1, undefined, 1, undefined], 'a watch that returns at once shows whether the store answers');
	t.notOk(availability.includes(false));
	await write('k/a');
	t.strictSame(list(), ['k/a']);
});

t.test('a store that fails after it has interrupted a watch is unavailable at once', async t => {
	const {wrap} = failWatches(['interrupted', 'unavailable'], 2000);
	const {clock, availability} = start(t, wrap);
	await clock.advance(2010);
	t.strictSame(availability, [true, false]);
});

t.test('a store that interrupts every watch, but answers lists, is available and is not called without a pause', async t => {
	const {lists, waits, wrap} = failWatches(Array.from({length: 200}, () => 'interrupted' as const));
	const {clock, availability, platform, list} = start(t, wrap);
	await clock.advance(20_000);
	t.ok(waits.length < 60, 'calls become less frequent');
	t.ok(lists.length > 10, 'lists find changes');
	t.notOk(availability.includes(false));
	void platform.put('k/a', '1');
	await clock.advance(2100);
	t.strictSame(list(), ['k/a']);
});

t.test('a store that interrupts each watch at once is not called without a pause', async t => {
	const {lists, waits, wrap} = failWatches(Array.from({length: 200}, (_item, index) => index % 2 === 0 ? 'interrupted' as const : 'none' as const));
	const {clock, availability, platform, list} = start(t, wrap);
	await clock.advance(20_000);
	t.ok(waits.length > 40, 'changes are found within a second');
	t.ok(waits.length < 100, 'calls become less frequent');
	t.equal(lists.length, 1);
	t.notOk(availability.includes(false));
	void platform.put('k/a', '1');
	await clock.advance(1100);
	t.strictSame(list(), ['k/a']);
});

t.test('a call beyond this instance\'s own share of the rate says nothing about the store', async t => {
	let refusals = 3;
	const {clock, availability, write, list} = start(t, platform => ({
		get: async key => platform.get(key),
		put: async (key, value) => platform.put(key, value),
		remove: async key => platform.remove(key),
		list: async prefix => refusals-- > 0 ? fail({kind: 'rate_limited', detail: 'set by the test', retryAfterMs: 100}) : platform.list(prefix),
		watch: async (prefix, revision, signal) => platform.watch(prefix, revision, signal),
		listInstances: async () => platform.listInstances(),
	}));
	await clock.advance(310);
	t.strictSame(availability, [true]);
	await write('k/a');
	t.strictSame(list(), ['k/a']);
});

t.test('keeps the objects during an outage and syncs again within a second of its end', async t => {
	const {clock, platform, availability, write, list} = start(t);
	await write('k/a');
	platform.setDown(true);
	await clock.advance(30_000);
	t.strictSame(list(), ['k/a']);
	t.ok(availability.length < 50, 'calls become less frequent');
	platform.setDown(false);
	await clock.advance(1100);
	await write('k/b');
	t.strictSame(list(), ['k/a', 'k/b']);
});

t.test('in a large fleet, an instance that is not a watcher makes no calls; once it becomes a watcher, it watches from the revision received from peers', async t => {
	const {lists, wrap} = failWatches([]);
	let isWatcher = false;
	let isStoreUnavailable = false;
	const recorded: boolean[] = [];
	const {clock, platform, mirror, availability, write, list} = start(t, wrap, {
		isLargeFleet: true, getPace: () => ({pauseMs: 200}), isWatcher: () => isWatcher, isStoreUnavailable: () => isStoreUnavailable,
		recordAnswer(isAnswered) {
			recorded.push(isAnswered);
		},
	});
	await write('k/a', 'k/b');
	await clock.advance(1000);
	const {read} = platform.served;
	isStoreUnavailable = true;
	await clock.advance(1000);
	t.equal(availability.at(-1), false);
	isStoreUnavailable = false;
	await clock.advance(1000);
	t.equal(platform.served.read, read);
	t.strictSame(recorded, [], 'it has made no calls');
	mirror.replace([], 1);
	isWatcher = true;
	await clock.advance(1000);
	t.strictSame(list(), ['k/b']);
	t.strictSame(lists, [], 'the watch continued from the mirror\'s revision');
	t.ok(recorded.length > 0 && !recorded.includes(false));
});

/** A store whose state a test sets; a watch from a later revision than the store's finds no history. */
class ScriptedStore {
	epoch: number | undefined;
	revision = 100;
	objects: StoredObject[] = [];
	readonly calls: string[] = [];

	asStore(clock: ManualClock, platform: PlatformStandin): ObjectStore {
		return {
			get: async key => platform.get(key),
			put: async (key, value) => platform.put(key, value),
			remove: async key => platform.remove(key),
			list: async () => {
				this.calls.push('list');
				return succeed({objects: this.objects, revision: this.revision, epoch: this.epoch});
			},
			watch: async (_prefix, revision, _signal, {waitMs = 3000} = {}) => {
				this.calls.push('watch');
				if (revision <= this.revision) {
					await clock.sleep(waitMs);
				}

				return revision > this.revision
					? fail({kind: 'gone', detail: 'set by the test'})
					: succeed({
						changed: this.objects.filter(object => object.revision > revision), deleted: [], revision: this.revision, epoch: this.epoch,
					});
			},
			listInstances: async () => platform.listInstances(),
		};
	}
}

function createStored(key: string, revision: number): StoredObject {
	return {
		key, value: '1', version: revision, revision,
	};
}

function startScripted(t: Test, epoch: number | undefined) {
	const scripted = new ScriptedStore();
	scripted.epoch = epoch;
	scripted.objects = [createStored('k/a', 90), createStored('k/b', 95)];
	return {scripted, ...start(t, (platform, clock) => scripted.asStore(clock, platform))};
}

t.test('after the store has come back from an older copy, the kind is listed once, then watched from the list', async t => {
	const {clock, scripted, mirror, availability, list} = startScripted(t, 1);
	await clock.advance(1000);
	Object.assign(scripted, {epoch: 2, revision: 92, objects: [createStored('k/a', 90)]});
	scripted.calls.length = 0;
	await clock.advance(3000);
	t.strictSame(scripted.calls, ['list', 'watch']);
	t.strictSame(list(), ['k/a']);
	t.equal(mirror.revision, 92);
	t.notOk(availability.includes(false));
});

t.test('a watch that goes on in another epoch is not taken: revisions were given out again', async t => {
	const {clock, scripted, list} = startScripted(t, 1);
	await clock.advance(1000);
	Object.assign(scripted, {epoch: 2, revision: 130, objects: [createStored('k/c', 93), createStored('k/d', 120)]});
	await clock.advance(3000);
	t.strictSame(list(), ['k/c', 'k/d']);
});

for (const [name, epoch] of [['of the same epoch', 1], ['of a store that names no epoch', undefined]] as const) {
	t.test(`a list ${name} with a lower revision is ignored, and is not read without a pause`, async t => {
		const {clock, scripted, availability, list} = startScripted(t, epoch);
		await clock.advance(1000);
		Object.assign(scripted, {revision: 92, objects: [createStored('k/a', 90)]});
		scripted.calls.length = 0;
		await clock.advance(20_000);
		t.ok(scripted.calls.length < 80, `calls become less frequent: ${scripted.calls.length}`);
		t.strictSame(list(), ['k/a', 'k/b']);
		t.notOk(availability.includes(false));
		Object.assign(scripted, {revision: 101, objects: [...scripted.objects, createStored('k/c', 101)]});
		await clock.advance(4000);
		t.ok(list().includes('k/c'), 'later changes arrive');
	});
}

t.test('a store that forgets its history again and again is not called without a pause', async t => {
	const {lists, wrap} = failWatches(Array.from({length: 1000}, () => 'gone' as const));
	const {clock, availability} = start(t, wrap);
	await clock.advance(20_000);
	t.ok(lists.length < 60);
	t.notOk(availability.includes(false));
});
