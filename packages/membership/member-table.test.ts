import fc from 'fast-check';
import t from 'tap';
import {MemberTable, mergeRecords} from './member-table.ts';
import type {MemberRecord, PeerIdentity} from '#peer-protocol';

const makePeer = (name: string): PeerIdentity => ({
	name, zone: 'esbjerg', incarnation: `${name}-1`, address: `${name}:1`,
});

const records = fc.array(fc.record({
	peer: fc.constantFrom('a', 'b', 'c').map(name => makePeer(name)), version: fc.nat(3),
	state: fc.constantFrom('live', 'suspect', 'gone'), leaving: fc.boolean(),
}), {maxLength: 20});

function fill(heard: readonly MemberRecord[]): MemberTable {
	const table = new MemberTable(makePeer('self'));
	for (const record of heard) {
		table.apply(record, 0);
	}

	return table;
}

t.test('tables agree whatever the order and repetition', t => {
	fc.assert(fc.property(records.chain(list => fc.tuple(fc.constant(list), fc.shuffledSubarray(list, {minLength: list.length}), fc.subarray(list))), ([list, shuffled, again]) => {
		t.equal(fill(list).digest, fill([...shuffled, ...again]).digest);
	}), {seed: 11});
	t.end();
});

t.test('leaving never reverts', t => {
	fc.assert(fc.property(records, list => {
		const table = new MemberTable(makePeer('self'));
		const left = new Set<string>();
		for (const record of list) {
			table.apply(record, 0);
			if (record.leaving) {
				left.add(record.peer.incarnation);
			}

			for (const incarnation of left) {
				t.ok(table.get(incarnation)?.leaving);
			}
		}
	}), {seed: 12});
	t.end();
});

t.test('merging is commutative and associative', t => {
	const one = fc.record({
		peer: fc.constant(makePeer('a')), version: fc.nat(3), state: fc.constantFrom('live', 'suspect', 'gone'), leaving: fc.boolean(),
	});
	fc.assert(fc.property(one, one, one, (a, b, c) => {
		t.same(mergeRecords(a, b), mergeRecords(b, a));
		t.same(mergeRecords(mergeRecords(a, b), c), mergeRecords(a, mergeRecords(b, c)));
	}), {seed: 13});
	t.end();
});

t.test('refutes that it is gone', t => {
	const table = new MemberTable(makePeer('self'));
	const news = table.apply({...table.own, state: 'gone'}, 0);
	t.equal(news?.state, 'live');
	t.equal(news?.version, 1);
	t.equal(mergeRecords({...table.own, version: 0, state: 'gone'}, table.own).state, 'live');
	t.end();
});

t.test('forgets what has long been gone', t => {
	const table = fill([{
		peer: makePeer('a'), version: 0, state: 'gone', leaving: false,
	}]);
	table.prune(0);
	t.equal(table.size, 2);
	table.prune(1);
	t.equal(table.size, 1);
	t.end();
});
