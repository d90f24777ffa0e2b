import t, {type Test} from 'tap';
import {followKind, type Watchers} from './follow-kind.ts';
import {KindMirror} from './kind-mirror.ts';
import {ManualClock} from '#clock';
import {createRandom, fail} from '#core';
import type {ObjectStore} from '#object-store';
import {PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

/** @param wrap puts faults before the stand-in */
function start(t: Test, wrap: (platform: PlatformStandin) => ObjectStore = platform => platform, watchers?: Watchers) {
	const clock = new ManualClock();
	const platform = new PlatformStandin(clock, {latencyMs: 2});
	const mirror = new KindMirror('k');
	const heard: boolean[] = [];
	const stopping = new AbortController();
	void followKind({
		mirror, store: wrap(platform), clock, random: createRandom(3), telemetry: createTelemetry({level: 'silent'}),
		...(watchers ? {watchers} : {}),
		heard(isAnswered) {
			heard.push(isAnswered);
		},
	}, stopping.signal);
	t.teardown(async () => {
		stopping.abort();
		await clock.advance(20_000);
	});
	const write = async (...keys: readonly string[]) => {
		for (const key of keys) {
			void platform.put(key, '1');
		}

		await clock.advance(20);
	};

	return {
		clock, platform, mirror, heard, write, list: () => mirror.list().map(({key}) => key),
	};
}

/** A store whose watches fail as `failures` says, one after the other. */
function failWatches(failures: Array<'gone' | 'unavailable'>) {
	const lists: string[] = [];
	const wrap = (platform: PlatformStandin): ObjectStore => ({
		get: async key => platform.get(key),
		put: async (key, value) => platform.put(key, value),
		remove: async key => platform.remove(key),
		async list(prefix) {
			lists.push(prefix);
			return platform.list(prefix);
		},
		async watch(prefix, revision, signal) {
			const kind = failures.shift();
			return kind ? fail({kind, detail: 'as told'}) : platform.watch(prefix, revision, signal);
		},
		listInstances: async () => platform.listInstances(),
	});
	return {lists, wrap};
}

t.test('a list comes first, then each change of the kind', async t => {
	const {clock, platform, write, list} = start(t);
	await write('k/a');
	t.strictSame(list(), ['k/a']);
	await write('k/b', 'other/c');
	t.strictSame(list(), ['k/a', 'k/b']);
	void platform.remove('k/a');
	await clock.advance(20);
	t.strictSame(list(), ['k/b']);
});

t.test('history that is gone leads to a new list at once', async t => {
	const {lists, wrap} = failWatches(['gone']);
	const {clock, heard, write, list} = start(t, wrap);
	await clock.advance(30);
	t.strictSame(lists, ['k/', 'k/']);
	t.notOk(heard.includes(false), 'the store has answered');
	await write('k/a');
	t.strictSame(list(), ['k/a']);
});

t.test('after a watch that failed, a list tells at once that the store is back', async t => {
	const {lists, wrap} = failWatches(['unavailable', 'unavailable']);
	const {clock, heard, write, list} = start(t, wrap);
	await clock.advance(400);
	t.strictSame(lists, ['k/', 'k/', 'k/']);
	t.strictSame(heard, [true, false, true, false, true], 'without any change in the store');
	await write('k/a');
	t.strictSame(list(), ['k/a']);
});

t.test('an outage keeps the copy, and its end is noticed within a second', async t => {
	const {clock, platform, heard, write, list} = start(t);
	await write('k/a');
	platform.setDown(true);
	await clock.advance(30_000);
	t.strictSame(list(), ['k/a']);
	t.ok(heard.length < 50, 'calls become rare');
	platform.setDown(false);
	await clock.advance(1100);
	await write('k/b');
	t.strictSame(list(), ['k/a', 'k/b']);
});

t.test('an instance of many that does not watch makes no calls, and goes on from what peers gave it once it does', async t => {
	const {lists, wrap} = failWatches([]);
	let isWatcher = false;
	let isAway = false;
	const noted: boolean[] = [];
	const {clock, platform, mirror, heard, write, list} = start(t, wrap, {
		isFleet: true, isWatcher: () => isWatcher, isAway: () => isAway,
		note(isAnswered) {
			noted.push(isAnswered);
		},
	});
	await write('k/a', 'k/b');
	await clock.advance(1000);
	const {read} = platform.served;
	isAway = true;
	await clock.advance(1000);
	t.equal(heard.at(-1), false);
	isAway = false;
	await clock.advance(1000);
	t.equal(platform.served.read, read);
	t.strictSame(noted, [], 'it has called nobody');
	mirror.replace([], 1);
	isWatcher = true;
	await clock.advance(1000);
	t.strictSame(list(), ['k/b']);
	t.strictSame(lists, [], 'the watch went on from the copy');
	t.ok(noted.length > 0 && !noted.includes(false));
});
