import t from 'tap';
import {KindMirror} from './kind-mirror.ts';
import {refreshMirror} from './sync-mirror.ts';
import {
	fail, succeed, type Result,
} from '#core';
import type {
	ObjectStore, StoredObject, StoreFailure, WatchBatch,
} from '#object-store';
import {PlatformStandin} from '#standins';
import {ManualClock} from '#clock';

const createObject = (key: string, revision: number): StoredObject => ({
	key, value: '1', version: 1, revision,
});

/** Creates a store whose watches end with `watched`, and whose list holds `k/listed` at revision 9; `calls` records the calls. */
function createStore(watched: Result<WatchBatch, StoreFailure>, isListed = true) {
	const calls: string[] = [];
	const platform = new PlatformStandin(new ManualClock());
	const store: ObjectStore = {
		get: async key => platform.get(key),
		put: async (key, value) => platform.put(key, value),
		remove: async key => platform.remove(key),
		async list() {
			calls.push('list');
			return isListed ? succeed({objects: [createObject('k/listed', 9)], revision: 9}) : fail({kind: 'unavailable', detail: 'set by the test'});
		},
		async watch(_prefix, revision, _signal, options) {
			calls.push(`watch ${revision} for ${options?.waitMs}`);
			return watched;
		},
		listInstances: async () => platform.listInstances(),
	};
	return {store, calls};
}

/** Creates a mirror that is complete up to revision 5. */
function createMirror() {
	const mirror = new KindMirror('k');
	mirror.replace([createObject('k/a', 5)], 5);
	return mirror;
}

const {signal} = new AbortController();

t.test('a mirror is refreshed by a watch that does not wait', async t => {
	const mirror = createMirror();
	const {store, calls} = createStore(succeed({changed: [createObject('k/b', 7)], deleted: ['k/a'], revision: 7}));
	t.ok(await refreshMirror(mirror, store, signal));
	t.strictSame(mirror.list().map(({key}) => key), ['k/b']);
	t.strictSame(calls, ['watch 5 for 1']);
});

t.test('a mirror is refreshed by a list if it is empty, or the history after its revision is gone', async t => {
	for (const mirror of [new KindMirror('k'), createMirror()]) {
		const {store, calls} = createStore(fail({kind: 'gone', detail: 'set by the test'}));
		t.ok(await refreshMirror(mirror, store, signal));
		t.strictSame(mirror.list().map(({key}) => key), ['k/listed']);
		t.equal(calls.at(-1), 'list');
	}
});

t.test('a mirror is not refreshed if the store does not answer', async t => {
	const unavailable = createStore(fail({kind: 'unavailable', detail: 'set by the test'}));
	t.notOk(await refreshMirror(createMirror(), unavailable.store, signal));
	t.strictSame(unavailable.calls, ['watch 5 for 1']);
	t.notOk(await refreshMirror(createMirror(), createStore(fail({kind: 'gone', detail: 'set by the test'}), false).store, signal));
	t.notOk(await refreshMirror(new KindMirror('k'), createStore(fail({kind: 'gone', detail: 'set by the test'}), false).store, signal));
});
