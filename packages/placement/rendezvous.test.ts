import t from 'tap';
import fc from 'fast-check';
import {chooseHomes} from './rendezvous.ts';
import {prepareHash} from '#core';

t.before(prepareHash);

const names = fc.uniqueArray(fc.string({minLength: 1, maxLength: 8}), {minLength: 1, maxLength: 30});
const key = fc.integer({min: 0, max: 0xFF_FF_FF_FF}).map(value => value.toString(16).padStart(16, '0'));

t.test('the homes do not depend on the order of the targets', async () => {
	fc.assert(fc.property(names, key, fc.integer({min: 1, max: 5}), (list, piece, count) =>
		chooseHomes(list, piece, {count}).join('/') === chooseHomes(list.toReversed(), piece, {count}).join('/')), {seed: 41});
});

t.test('one more home keeps the earlier homes', async () => {
	fc.assert(fc.property(names, key, fc.integer({min: 1, max: 5}), (list, piece, count) => {
		const fewer = chooseHomes(list, piece, {count});
		return fewer.every((name, index) => chooseHomes(list, piece, {count: count + 1})[index] === name);
	}), {seed: 42});
});

t.test('removing a target moves only the keys that had it as home', async () => {
	fc.assert(fc.property(names, key, fc.nat(), (list, piece, number) => {
		const removed = list[number % list.length]!;
		const [home] = chooseHomes(list, piece);
		const [after] = chooseHomes(list.filter(name => name !== removed), piece);
		return home === removed || home === after;
	}), {seed: 43});
});

t.test('no target exceeds the load bound if all keys have the same load', async () => {
	fc.assert(fc.property(names, fc.array(key, {minLength: 1, maxLength: 300}), (list, pieces) => {
		const loads = new Map(list.map(name => [name, 0]));
		for (const piece of pieces) {
			const [home] = chooseHomes(list, piece, {getLoad: name => loads.get(name)!});
			loads.set(home!, loads.get(home!)! + 1);
		}

		return Math.max(...loads.values()) <= (1.25 * pieces.length / list.length) + 1;
	}), {seed: 44});
});

t.test('keys are spread evenly over the targets', async t => {
	const list = Array.from({length: 6}, (_, index) => `e${index}`);
	const counts = new Map(list.map(name => [name, 0]));
	for (let index = 0; index < 6000; index++) {
		const [home] = chooseHomes(list, (index * 2_654_435_761).toString(16).padStart(16, '0'));
		counts.set(home!, counts.get(home!)! + 1);
	}

	for (const count of counts.values()) {
		t.ok(count > 800);
		t.ok(count < 1200);
	}
});
