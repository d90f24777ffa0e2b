import t from 'tap';
import {TargetListing} from './target-listing.ts';
import {ManualClock} from '#clock';
import type {RelayTarget} from '#core';

function createTarget(id: string, isDraining = false): RelayTarget {
	return {
		id, incarnation: `${id}@1`, startedWallMs: 0, pool: 'p', address: '10.0.0.1:80', zone: 'z', slots: 4, isDraining, softwareVersion: 'v1', weights: new Map(),
	};
}

function start() {
	const clock = new ManualClock();
	const listing = new TargetListing(clock);
	listing.update([createTarget('a'), createTarget('b')]);
	const listIds = () => listing.list().map(({id}) => id).toSorted();
	return {clock, listing, listIds};
}

t.test('an entry that disappears while the store is available is no longer listed', async t => {
	const {listing, listIds} = start();
	listing.update([createTarget('a')]);
	t.strictSame(listIds(), ['a']);
	t.equal(listing.computeRetentionMs(), undefined);
});

t.test('entries that expire during an outage of the store are retained until shortly after it', async t => {
	const {clock, listing, listIds} = start();
	listing.recordStoreCall(false);
	listing.update([]);
	await clock.advance(20_000);
	t.strictSame(listIds(), ['a', 'b']);
	listing.recordStoreCall(true);
	await clock.advance(2000);
	t.strictSame(listIds(), ['a', 'b']);
	listing.update([createTarget('a')]);
	await clock.advance(listing.computeRetentionMs()! + 1);
	t.strictSame(listIds(), ['a']);
});

t.test('an entry that expires just after an outage is retained as well', async t => {
	const {clock, listing, listIds} = start();
	listing.recordStoreCall(false);
	await clock.advance(5000);
	listing.recordStoreCall(true);
	listing.update([createTarget('b')]);
	t.strictSame(listIds(), ['a', 'b']);
	await clock.advance(2301);
	t.strictSame(listIds(), ['b']);
});

t.test('a draining target whose entry disappears is not retained', async t => {
	const {listing, listIds} = start();
	listing.update([createTarget('a', true), createTarget('b')]);
	listing.recordStoreCall(false);
	listing.update([createTarget('b')]);
	t.strictSame(listIds(), ['b']);
});

t.test('after the store has come back from an older copy, entries that it lacks are retained for a while', async t => {
	const {clock, listing, listIds} = start();
	listing.recordRestore();
	listing.update([createTarget('a')]);
	t.strictSame(listIds(), ['a', 'b']);
	await clock.advance(listing.computeRetentionMs()! + 1);
	t.strictSame(listIds(), ['a']);
});

t.test('a target that has drained or left is not listed again because an older copy has its entry', async t => {
	const {clock, listing, listIds} = start();
	listing.update([createTarget('a', true)]);
	await clock.advance(1000);
	listing.recordRestore();
	listing.update([createTarget('a'), createTarget('b')]);
	t.strictSame(listIds(), ['a'], 'b was removed');
	t.ok(listing.list()[0]!.isDraining);
	await clock.advance(listing.computeRetentionMs()! + 1);
	t.strictSame(listIds(), ['a', 'b'], 'its entry was not removed again');
});

t.test('a target whose entry is removed and written again without any outage is listed at once', async t => {
	const {listing, listIds} = start();
	listing.update([createTarget('a')]);
	listing.update([createTarget('a'), createTarget('b')]);
	t.strictSame(listIds(), ['a', 'b']);
});

t.test('an entry of a target that had left is not retained when it is removed from the copy, too', async t => {
	const {clock, listing, listIds} = start();
	listing.update([createTarget('a')]);
	await clock.advance(1000);
	listing.recordRestore();
	listing.update([createTarget('a'), createTarget('b')]);
	await clock.advance(500);
	listing.update([createTarget('a')]);
	t.strictSame(listIds(), ['a']);
	await clock.advance(10_000);
	t.strictSame(listIds(), ['a']);
});

t.test('without a return from an older copy, a target is as its entry says', async t => {
	const {clock, listing} = start();
	listing.update([createTarget('a', true)]);
	await clock.advance(1000);
	listing.update([createTarget('a')]);
	t.notOk(listing.list()[0]!.isDraining);
	listing.recordRestore();
	listing.update([createTarget('a')]);
	t.notOk(listing.list()[0]!.isDraining, 'it drained no more before the return');
});
