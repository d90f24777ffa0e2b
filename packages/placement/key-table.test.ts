import t from 'tap';
import fc from 'fast-check';
import {KeyTable, parseKeys} from './_key-table.ts';
import {prepareHash} from '#core';

const word = fc.integer({min: 0, max: 0xFF_FF_FF_FF});
const operation = fc.record({kind: fc.constantFrom('set', 'delete'), high: word, low: fc.integer({min: 0, max: 40})});

t.before(prepareHash);

t.test('holds no key that was not stored or was deleted', async () => {
	// The table uses the low bits of the low word as the bucket, so multiples of 1024 put all keys into one bucket and entries are evicted.
	fc.assert(fc.property(fc.array(operation, {maxLength: 100}), operations => {
		const table = new KeyTable(4096);
		const model = new Map<string, readonly [number, number]>();
		for (const {kind, high, low} of operations) {
			if (kind === 'set') {
				table.set(high, low * 1024, 3, 1);
				model.set(`${high}/${low}`, [high, low * 1024]);
			} else {
				table.delete(high, low * 1024);
				model.delete(`${high}/${low}`);
			}
		}

		// A bucket may evict, so the table holds a subset of the model.
		return table.size <= model.size && operations.every(({high, low}) =>
			model.has(`${high}/${low}`) || table.getEpoch(high, low * 1024) === -1);
	}), {seed: 21});
});

t.test('holds at most the configured number of keys', async t => {
	const table = new KeyTable(1024);
	for (let index = 0; index < 50_000; index++) {
		table.set(index, (index * 2_654_435_761) % (2 ** 32), 0);
	}

	t.ok(table.size <= 1024);
	t.equal(table.bytes, 1024 * 12);
});

t.test('evicts keys of higher levels first', async t => {
	const table = new KeyTable(128);
	for (let index = 0; index < 16; index++) {
		table.set(index, index, 0, 0);
	}

	for (let index = 0; index < 10_000; index++) {
		table.set(index + 100, index, 0, 5);
	}

	for (let index = 0; index < 16; index++) {
		t.equal(table.getEpoch(index, index), 0);
	}
});

t.test('parses keys, and hashes texts that are not keys', async t => {
	t.same([...parseKeys(['00000001ffffffff'])], [1, 0xFF_FF_FF_FF]);
	t.same(parseKeys(['k1']), parseKeys(['k1']));
	t.notSame(parseKeys(['k1']), parseKeys(['k2']));
});
