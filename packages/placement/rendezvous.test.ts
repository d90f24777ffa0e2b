import t from 'tap';
import fc from 'fast-check';
import {chooseHomes} from './rendezvous.ts';
import {prepareHash} from '#core';

t.before(prepareHash);

const names = fc.uniqueArray(fc.string({minLength: 1, maxLength: 8}), {minLength: 1, maxLength: 30});
const keyArbitrary = fc.integer({min: 0, max: 0xFF_FF_FF_FF}).map(value => value.toString(16).padStart(16, '0'));

t.test('the homes do not depend on the order of the targets', async () => {
	fc.assert(fc.property(names, keyArbitrary, fc.integer({min: 1, max: 5}), (list, key, count) =>
		chooseHomes(list, key, {count}).join('/') === chooseHomes(list.toReversed(), key, {count}).join('/')), {seed: 41});
});

t.test('one more home keeps the earlier homes', async () => {
	fc.assert(fc.property(names, keyArbitrary, fc.integer({min: 1, max: 5}), (list, key, count) => {
		const fewer = chooseHomes(list, key, {count});
		return fewer.every((name, index) => chooseHomes(list, key, {count: count + 1})[index] === name);
	}), {seed: 42});
});

t.test('removing a target moves only the keys that had it as home', async () => {
	fc.assert(fc.property(names, keyArbitrary, fc.nat(), (list, key, number) => {
		const removed = list[number % list.length]!;
		const [home] = chooseHomes(list, key);
		const [after] = chooseHomes(list.filter(name => name !== removed), key);
		return home === removed || home === after;
	}), {seed: 43});
});

t.test('no target exceeds the load bound if all keys have the same load', async () => {
	fc.assert(fc.property(names, fc.array(keyArbitrary, {minLength: 1, maxLength: 300}), (list, keys) => {
		const loads = new Map(list.map(name => [name, 0]));
		for (const key of keys) {
			const [home] = chooseHomes(list, key, {getLoad: name => loads.get(name)!});
			loads.set(home!, loads.get(home!)! + 1);
		}

		return Math.max(...loads.values()) <= (1.25 * keys.length / list.length) + 1;
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
