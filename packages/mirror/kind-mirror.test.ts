import fc from 'fast-check';
import t from 'tap';
import {KindMirror} from './kind-mirror.ts';
import type {StoredObject} from '#object-store';

function makeObject(key: string, revision: number): StoredObject {
	return {
		key, value: `"${key} ${revision}"`, version: revision, revision,
	};
}

function write(mirror: KindMirror): Readonly<Record<string, number>> {
	return Object.fromEntries(mirror.list().map(({key, revision}) => [key, revision] as const).toSorted(([a], [b]) => a < b ? -1 : 1));
}

t.test('an older list changes nothing', async t => {
	const mirror = new KindMirror('k');
	mirror.replace([makeObject('k/a', 5)], 9);
	mirror.replace([], 8);
	t.strictSame(write(mirror), {'k/a': 5});
	t.equal(mirror.revision, 9);
});

t.test('changes that do not follow are refused', async t => {
	const mirror = new KindMirror('k');
	mirror.replace([], 3);
	t.notOk(mirror.apply({changed: [makeObject('k/a', 7)], deleted: [], revision: 7}, 5));
	t.strictSame(write(mirror), {});
	t.ok(mirror.apply({changed: [makeObject('k/a', 7)], deleted: [], revision: 7}, 3));
	t.strictSame(write(mirror), {'k/a': 7});
});

t.test('a late batch neither brings back nor removes what is newer', async t => {
	const mirror = new KindMirror('k');
	mirror.replace([makeObject('k/a', 2)], 2);
	mirror.apply({changed: [makeObject('k/a', 6)], deleted: [], revision: 6}, 2);
	mirror.apply({changed: [makeObject('k/a', 4)], deleted: ['k/a'], revision: 5}, 2);
	t.strictSame(write(mirror), {'k/a': 6});
});

t.test('news is told once', async t => {
	const mirror = new KindMirror('k');
	const heard: string[] = [];
	mirror.events.on('changed', ({names}) => {
		heard.push(...names);
	});
	mirror.replace([makeObject('k/a', 2)], 2);
	mirror.apply({changed: [], deleted: [], revision: 4}, 2);
	mirror.apply({changed: [], deleted: ['k/a'], revision: 5}, 4);
	mirror.replace([], 6);
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	t.strictSame(heard, ['k/a', 'k/a']);
});

t.test('the newest change is known apart from how far the copy is', async t => {
	const mirror = new KindMirror('k');
	mirror.replace([makeObject('k/a', 2)], 8);
	t.equal(mirror.changedRevision, 2);
	mirror.apply({changed: [], deleted: [], revision: 12}, 8);
	t.equal(mirror.changedRevision, 2);
	mirror.apply({changed: [], deleted: ['k/a'], revision: 13}, 12);
	t.equal(mirror.changedRevision, 13);
});

t.test('a copy that applies another\'s difference is level with it', async t => {
	const steps = fc.array(fc.record({name: fc.constantFrom('k/a', 'k/b', 'k/c', 'k/d'), isRemoved: fc.boolean(), isHeard: fc.boolean()}), {maxLength: 40});
	fc.assert(fc.property(steps, list => {
		const ahead = new KindMirror('k');
		const behind = new KindMirror('k');
		ahead.replace([], 1);
		behind.replace([], 1);
		for (const [index, {name, isRemoved, isHeard}] of list.entries()) {
			const revision = index + 2;
			ahead.apply({changed: isRemoved ? [] : [makeObject(name, revision)], deleted: isRemoved ? [name] : [], revision}, revision - 1);
			if (isHeard) {
				const since = behind.revision;
				const diff = ahead.diff(since);
				if (!diff || !behind.apply(diff, since)) {
					return false;
				}
			}
		}

		const last = ahead.diff(behind.revision);
		return last !== undefined && behind.apply(last, behind.revision) && JSON.stringify(write(behind)) === JSON.stringify(write(ahead));
	}), {seed: 7, numRuns: 300});
});

t.test('a difference across a list cannot be told', async t => {
	const mirror = new KindMirror('k');
	mirror.replace([makeObject('k/a', 2)], 2);
	mirror.replace([], 9);
	t.equal(mirror.diff(5), undefined);
	t.match(mirror.diff(9), {changed: [], deleted: [], revision: 9});
});
