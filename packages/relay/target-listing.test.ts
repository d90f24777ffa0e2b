import t from 'tap';
import {TargetListing} from './target-listing.ts';
import {ManualClock} from '#clock';
import type {RelayTarget} from '#core';

function makeTarget(id: string, isLeaving = false): RelayTarget {
	return {
		id, incarnation: `${id}@1`, startedWallMs: 0, pool: 'p', address: '10.0.0.1:80', zone: 'z', slots: 4, isLeaving, weights: new Map(),
	};
}

function start() {
	const clock = new ManualClock();
	const listing = new TargetListing(clock);
	listing.update([makeTarget('a'), makeTarget('b')]);
	const listIds = () => listing.list().map(({id}) => id).toSorted();
	return {clock, listing, listIds};
}

t.test('an entry that goes while the store is sound is gone', async t => {
	const {listing, listIds} = start();
	listing.update([makeTarget('a')]);
	t.strictSame(listIds(), ['a']);
	t.equal(listing.readHoldMs(), undefined);
});

t.test('entries that lapse while the store is away are held until shortly after its return', async t => {
	const {clock, listing, listIds} = start();
	listing.noteStore(false);
	listing.update([]);
	await clock.advance(20_000);
	t.strictSame(listIds(), ['a', 'b']);
	listing.noteStore(true);
	await clock.advance(2000);
	t.strictSame(listIds(), ['a', 'b']);
	listing.update([makeTarget('a')]);
	await clock.advance(listing.readHoldMs()! + 1);
	t.strictSame(listIds(), ['a']);
});

t.test('an entry that lapses just after the return is held as well', async t => {
	const {clock, listing, listIds} = start();
	listing.noteStore(false);
	await clock.advance(5000);
	listing.noteStore(true);
	listing.update([makeTarget('b')]);
	t.strictSame(listIds(), ['a', 'b']);
	await clock.advance(2301);
	t.strictSame(listIds(), ['b']);
});

t.test('a leaving target that goes is not held', async t => {
	const {listing, listIds} = start();
	listing.update([makeTarget('a', true), makeTarget('b')]);
	listing.noteStore(false);
	listing.update([makeTarget('b')]);
	t.strictSame(listIds(), ['b']);
});
