import t from 'tap';
import {maxRefreshWaitMs, VersionRefresh} from './version-refresh.ts';
import type {VersionsByPool} from './version-record.ts';
import {ManualClock} from '#clock';

const recorded: VersionsByPool = new Map([['p', ['v1']]]);

/** Starts an instance whose store answers each read after `state.durationMs`. */
function start() {
	const clock = new ManualClock();
	const state = {
		durationMs: 20, reads: 0, isAnswering: true, hasRecord: true,
	};
	const refresh = new VersionRefresh({
		clock,
		async refreshTargets() {
			state.reads++;
			await clock.sleep(state.durationMs);
			return state.isAnswering;
		},
		refreshRecord: async () => state.hasRecord ? recorded : undefined,
	});
	return {clock, state, refresh: async () => refresh.refresh()};
}

t.test('the versions are read anew each time', async t => {
	const {clock, state, refresh} = start();
	for (const reads of [1, 2]) {
		const result = refresh();
		await clock.advance(20);
		t.equal(await result, recorded);
		t.equal(state.reads, reads);
	}
});

// Guards against an answer that the store gave before the request came.
t.test('a read that has begun does not count for later requests, which share the next one', async t => {
	const {clock, state, refresh} = start();
	const first = refresh();
	await clock.advance(10);
	const later = [refresh(), refresh(), refresh()];
	await clock.advance(10);
	t.equal(await first, recorded);
	t.equal(state.reads, 2);
	await clock.advance(20);
	t.strictSame(await Promise.all(later), [recorded, recorded, recorded]);
	t.equal(state.reads, 2);
});

t.test('without an answer of the store in time, nothing is confirmed', async t => {
	const {clock, state, refresh} = start();
	state.durationMs = 1000;
	const slow = refresh();
	await clock.advance(maxRefreshWaitMs);
	t.equal(await slow, undefined);
	await clock.advance(1000);
	Object.assign(state, {durationMs: 0, isAnswering: false});
	const failed = refresh();
	await clock.advance(1);
	t.equal(await failed, undefined);
	Object.assign(state, {isAnswering: true, hasRecord: false});
	const partial = refresh();
	await clock.advance(1);
	t.equal(await partial, undefined);
});
