import t from 'tap';
import {StoreWatchers} from './_store-watchers.ts';
import {ManualClock} from '#clock';
import {PeerNetworkStandin} from '#standins';

const names = Array.from({length: 20}, (_item, index) => `r${String(index).padStart(2, '0')}`);

/** @param count instances; their places are those of their names */
function start(count: number) {
	const clock = new ManualClock();
	const network = new PeerNetworkStandin(clock);
	const fleet = names.slice(0, count).map(name => new StoreWatchers({
		clock, self: name, bus: network.join({name, zone: 'z', incarnation: name}), listFirst: (_duty, most) => names.slice(0, Math.min(most, count)),
	}));
	/** Lets some instances call the store in vain for a time. */
	const fail = async (indices: readonly number[], ms: number) => {
		for (let step = 0; step < ms / 100; step++) {
			for (const index of indices) {
				fleet[index]!.note(false);
			}

			await clock.advance(100);
		}
	};

	return {
		clock, fleet, fail, listWatchers: () => fleet.map((watchers, index) => watchers.isWatcher() ? index : -1).filter(index => index >= 0),
	};
}

t.test('few instances: all watch', async t => {
	t.equal(start(12).listWatchers().length, 12);
});

t.test('many instances: the first five watch', async t => {
	t.strictSame(start(20).listWatchers(), [0, 1, 2, 3, 4]);
});

t.test('others watch beside those that the store does not answer, and stop when it answers again', async t => {
	const {clock, fleet, fail, listWatchers} = start(20);
	await fail([1, 3], 1500);
	t.strictSame(listWatchers(), [0, 1, 2, 3, 4, 5, 6]);
	t.notOk(fleet[10]!.isAway(), 'the store answers three of the five');
	for (const index of [1, 3]) {
		fleet[index]!.note(true);
	}

	await clock.advance(2000);
	t.strictSame(listWatchers(), [0, 1, 2, 3, 4]);
});

t.test('an outage: the store counts as away for all within 1.5 s, and no more than twelve call it', async t => {
	const {clock, fleet, fail, listWatchers} = start(20);
	await fail([0, 1, 2, 3, 4], 1500);
	t.ok(fleet.every(watchers => watchers.isAway()));
	await fail([0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11], 3000);
	t.ok(listWatchers().length <= 12);
	t.ok(fleet[19]!.isAway());
	await clock.advance(1500);
	t.notOk(fleet[19]!.isAway());
});
