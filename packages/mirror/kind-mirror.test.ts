import fc from 'fast-check';
import t from 'tap';
import {KindMirror} from './kind-mirror.ts';
import type {StoredObject} from '#object-store';

function createObject(key: string, revision: number): StoredObject {
	return {
		key, value: `"${key} ${revision}"`, version: revision, revision,
	};
}

function listRevisions(mirror: KindMirror): Readonly<Record<string, number>> {
	return Object.fromEntries(mirror.list().map(({key, revision}) => [key, revision] as const).toSorted(([a], [b]) => a < b ? -1 : 1));
}

t.test('ignores a list that is older than the mirror', async t => {
	const mirror = new KindMirror('k');
	mirror.replace([createObject('k/a', 5)], 9);
	mirror.replace([], 8);
	t.strictSame(listRevisions(mirror), {'k/a': 5});
	t.equal(mirror.revision, 9);
});

t.test('refuses changes that leave a gap after the mirror\'s revision', async t => {
	const mirror = new KindMirror('k');
	mirror.replace([], 3);
	t.notOk(mirror.apply({changed: [createObject('k/a', 7)], deleted: [], revision: 7}, 5));
	t.strictSame(listRevisions(mirror), {});
	t.ok(mirror.apply({changed: [createObject('k/a', 7)], deleted: [], revision: 7}, 3));
	t.strictSame(listRevisions(mirror), {'k/a': 7});
});

t.test('a late batch neither restores nor deletes a newer object', async t => {
	const mirror = new KindMirror('k');
	mirror.replace([createObject('k/a', 2)], 2);
	mirror.apply({changed: [createObject('k/a', 6)], deleted: [], revision: 6}, 2);
	mirror.apply({changed: [createObject('k/a', 4)], deleted: ['k/a'], revision: 5}, 2);
	t.strictSame(listRevisions(mirror), {'k/a': 6});
});

t.test('emits each change once', async t => {
	const mirror = new KindMirror('k');
	const emitted: string[] = [];
	mirror.events.on('changed', ({keys}) => {
		emitted.push(...keys);
	});
	mirror.replace([createObject('k/a', 2)], 2);
	mirror.apply({changed: [], deleted: [], revision: 4}, 2);
	mirror.apply({changed: [], deleted: ['k/a'], revision: 5}, 4);
	mirror.replace([], 6);
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	t.strictSame(emitted, ['k/a', 'k/a']);
});

t.test('the revision of the newest change is separate from the revision up to which the mirror is complete', async t => {
	const mirror = new KindMirror('k');
	mirror.replace([createObject('k/a', 2)], 8);
	t.equal(mirror.lastChangeRevision, 2);
	mirror.apply({changed: [], deleted: [], revision: 12}, 8);
	t.equal(mirror.lastChangeRevision, 2);
	mirror.apply({changed: [], deleted: ['k/a'], revision: 13}, 12);
	t.equal(mirror.lastChangeRevision, 13);
});

t.test('a mirror that applies the difference from another equals it', async t => {
	const steps = fc.array(fc.record({key: fc.constantFrom('k/a', 'k/b', 'k/c', 'k/d'), isRemoved: fc.boolean(), isSynced: fc.boolean()}), {maxLength: 40});
	fc.assert(fc.property(steps, list => {
		const ahead = new KindMirror('k');
		const behind = new KindMirror('k');
		ahead.replace([], 1);
		behind.replace([], 1);
		for (const [index, {key, isRemoved, isSynced}] of list.entries()) {
			const revision = index + 2;
			ahead.apply({changed: isRemoved ? [] : [createObject(key, revision)], deleted: isRemoved ? [key] : [], revision}, revision - 1);
			if (isSynced) {
				const since = behind.revision;
				const diff = ahead.computeDiff(since);
				if (!diff || !behind.apply(diff, since)) {
					return false;
				}
			}
		}

		const last = ahead.computeDiff(behind.revision);
		return last !== undefined && behind.apply(last, behind.revision) && JSON.stringify(listRevisions(behind)) === JSON.stringify(listRevisions(ahead));
	}), {seed: 7, numRuns: 300});
});

t.test('a difference from before the last list cannot be computed', async t => {
	const mirror = new KindMirror('k');
	mirror.replace([createObject('k/a', 2)], 2);
	mirror.replace([], 9);
	t.equal(mirror.computeDiff(5), undefined);
	t.match(mirror.computeDiff(9), {changed: [], deleted: [], revision: 9});
});
