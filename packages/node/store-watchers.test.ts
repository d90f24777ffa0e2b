import t from 'tap';
import {StoreWatchers} from './_store-watchers.ts';
import {ManualClock} from '#clock';
import {PeerNetworkStandin} from '#standins';

const names = Array.from({length: 20}, (_item, index) => `r${String(index).padStart(2, '0')}`);

/** @param count number of instances; they rank in the order of their names */
function createFleet(count: number) {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const fleet = names.slice(0, count).map(name => new StoreWatchers({
		clock, self: name, bus: network.join({name, zone: 'z', incarnation: name}), listFirst: (_duty, max) => names.slice(0, Math.min(max, count)),
	}));
	/** Records unanswered store calls of some instances during a time. */
	const failCalls = async (indices: readonly number[], ms: number) => {
		for (let step = 0; step < ms / 100; step++) {
			for (const index of indices) {
				fleet[index]!.recordAnswer(false);
			}

			await clock.advance(100);
		}
	};

	return {
		clock, fleet, failCalls, listWatchers: () => fleet.map((watchers, index) => watchers.isWatcher() ? index : -1).filter(index => index >= 0),
	};
}

t.test('in a small fleet, all instances watch', async t => {
	t.equal(createFleet(12).listWatchers().length, 12);
});

t.test('in a large fleet, the first five instances watch', async t => {
	t.strictSame(createFleet(20).listWatchers(), [0, 1, 2, 3, 4]);
});

t.test('further instances watch while some watchers get no answer from the store, and stop once it answers', async t => {
	const {clock, fleet, failCalls, listWatchers} = createFleet(20);
	await failCalls([1, 3], 1500);
	t.strictSame(listWatchers(), [0, 1, 2, 3, 4, 5, 6]);
	t.notOk(fleet[10]!.isStoreUnavailable(), 'the store answers three of the five watchers');
	for (const index of [1, 3]) {
		fleet[index]!.recordAnswer(true);
	}

	await clock.advance(2000);
	t.strictSame(listWatchers(), [0, 1, 2, 3, 4]);
});

t.test('in an outage, all instances count the store as unavailable within 1.5 s, and at most twelve call it', async t => {
	const {clock, fleet, failCalls, listWatchers} = createFleet(20);
	await failCalls([0, 1, 2, 3, 4], 1500);
	t.ok(fleet.every(watchers => watchers.isStoreUnavailable()));
	await failCalls([0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11], 3000);
	t.ok(listWatchers().length <= 12);
	t.ok(fleet[19]!.isStoreUnavailable());
	await clock.advance(1500);
	t.notOk(fleet[19]!.isStoreUnavailable());
});

// Guards against store calls of five watchers for each change and each pause, where three notice changes and outages.
t.test('two of the five watchers watch rarely, until one of the others is blind', async t => {
	const {clock, fleet, failCalls} = createFleet(20);
	const listPauses = () => fleet.slice(0, 7).map(watchers => watchers.getPace().pauseMs);
	t.strictSame(listPauses().slice(0, 5), [200, 200, 200, 1000, 1000]);
	await failCalls([1], 1500);
	t.ok(listPauses().every(pauseMs => pauseMs === 200));
	await clock.advance(2000);
	t.equal(fleet[4]!.getPace().waitMs, 9000);
});
