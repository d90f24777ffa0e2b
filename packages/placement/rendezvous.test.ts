import t from 'tap';
import fc from 'fast-check';
import {pickHomes} from './rendezvous.ts';
import {prepareHash} from '#core';

t.before(prepareHash);

const names = fc.uniqueArray(fc.string({minLength: 1, maxLength: 8}), {minLength: 1, maxLength: 30});
const key = fc.integer({min: 0, max: 0xFF_FF_FF_FF}).map(value => value.toString(16).padStart(16, '0'));

t.test('instances agree whatever the order in which they know targets', async () => {
	fc.assert(fc.property(names, key, fc.integer({min: 1, max: 5}), (list, piece, count) =>
		pickHomes(list, piece, {count}).join('/') === pickHomes(list.toReversed(), piece, {count}).join('/')), {seed: 41});
});

t.test('another replica keeps the earlier homes', async () => {
	fc.assert(fc.property(names, key, fc.integer({min: 1, max: 5}), (list, piece, count) => {
		const fewer = pickHomes(list, piece, {count});
		return fewer.every((name, index) => pickHomes(list, piece, {count: count + 1})[index] === name);
	}), {seed: 42});
});

t.test('a target that leaves moves only its own keys', async () => {
	fc.assert(fc.property(names, key, fc.nat(), (list, piece, pick) => {
		const gone = list[pick % list.length]!;
		const [home] = pickHomes(list, piece);
		const [after] = pickHomes(list.filter(name => name !== gone), piece);
		return home === gone || home === after;
	}), {seed: 43});
});

t.test('no home exceeds the bound when every key weighs the same', async () => {
	fc.assert(fc.property(names, fc.array(key, {minLength: 1, maxLength: 300}), (list, pieces) => {
		const loads = new Map(list.map(name => [name, 0]));
		for (const piece of pieces) {
			const [home] = pickHomes(list, piece, {getLoad: name => loads.get(name)!});
			loads.set(home!, loads.get(home!)! + 1);
		}

		return Math.max(...loads.values()) <= (1.25 * pieces.length / list.length) + 1;
	}), {seed: 44});
});

t.test('keys spread over the targets', async t => {
	const list = Array.from({length: 6}, (_, index) => `e${index}`);
	const counts = new Map(list.map(name => [name, 0]));
	for (let index = 0; index < 6000; index++) {
		const [home] = pickHomes(list, (index * 2_654_435_761).toString(16).padStart(16, '0'));
		counts.set(home!, counts.get(home!)! + 1);
	}

	for (const count of counts.values()) {
		t.ok(count > 800);
		t.ok(count < 1200);
	}
});
