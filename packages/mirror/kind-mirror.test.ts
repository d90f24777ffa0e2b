import {setImmediate as nextTurn} from 'node:timers/promises';
import fc from 'fast-check';
import t from 'tap';
import {KindMirror, type MirrorChange} from './kind-mirror.ts';
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

t.test('a list of a later epoch replaces all objects, whatever its revisions', async t => {
	const mirror = new KindMirror('k');
	const emitted: MirrorChange[] = [];
	mirror.events.on('changed', change => {
		emitted.push(change);
	});
	t.ok(mirror.replace([createObject('k/a', 50), createObject('k/b', 60)], 90, 3));
	t.ok(mirror.replace([createObject('k/a', 50), createObject('k/c', 20)], 55, 4));
	t.strictSame(listRevisions(mirror), {'k/a': 50, 'k/c': 20});
	t.equal(mirror.revision, 55);
	t.equal(mirror.epoch, 4);
	t.equal(mirror.lastChangeRevision, 55, 'k/b is gone');
	await nextTurn();
	t.strictSame(emitted.map(({isNewEpoch}) => isNewEpoch), [false, true], 'the first list starts no new epoch');
	t.strictSame(emitted[1]?.keys, ['k/a', 'k/c', 'k/b']);
	t.notOk(mirror.replace([createObject('k/a', 99)], 99, 3), 'a late list of the earlier epoch');
	t.strictSame(listRevisions(mirror), {'k/a': 50, 'k/c': 20});
});

t.test('changes of another epoch are not applied', async t => {
	const mirror = new KindMirror('k');
	mirror.replace([createObject('k/a', 50)], 90, 3);
	for (const epoch of [2, 4]) {
		t.notOk(mirror.apply({
			changed: [createObject('k/a', 91)], deleted: [], revision: 91, epoch,
		}, 90));
	}

	t.strictSame(listRevisions(mirror), {'k/a': 50});
	t.ok(mirror.apply({
		changed: [createObject('k/a', 91)], deleted: [], revision: 91, epoch: 3,
	}, 90));
});

t.test('changes from a source that names no epoch are corrected by the next list, also one with a lower revision', async t => {
	const mirror = new KindMirror('k');
	mirror.replace([createObject('k/a', 5)], 9, 3);
	t.equal(mirror.certainEpoch, 3);
	t.ok(mirror.apply({changed: [createObject('k/a', 70)], deleted: [], revision: 70}, 9));
	t.equal(mirror.certainEpoch, undefined);
	t.notOk(mirror.apply({
		changed: [createObject('k/a', 71)], deleted: [], revision: 71, epoch: 3,
	}, 70), 'it is not known what a difference leads on from');
	t.ok(mirror.replace([createObject('k/a', 12)], 12, 3));
	t.strictSame(listRevisions(mirror), {'k/a': 12});
	t.equal(mirror.certainEpoch, 3);
});

t.test('a peer that names no epoch is ahead only while the store does not answer', async t => {
	const mirror = new KindMirror('k');
	t.ok(mirror.isBehind(7, undefined), 'nothing is known yet');
	mirror.replace([], 5, 3);
	mirror.setFollowingStore(true);
	t.notOk(mirror.isBehind(7, undefined));
	t.ok(mirror.isBehind(7, 3));
	t.ok(mirror.isBehind(1, 4));
	t.notOk(mirror.isBehind(9, 2));
	mirror.setFollowingStore(false);
	t.ok(mirror.isBehind(7, undefined));
	t.notOk(mirror.isBehind(9, 2));
});
