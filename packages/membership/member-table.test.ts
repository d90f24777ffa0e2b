import fc from 'fast-check';
import t from 'tap';
import {MemberTable, mergeRecords} from './member-table.ts';
import type {MemberRecord, PeerIdentity} from '#peer-protocol';

const createPeer = (name: string): PeerIdentity => ({
	name, zone: 'esbjerg', incarnation: `${name}-1`, address: `${name}:1`,
});

const records = fc.array(fc.record({
	peer: fc.constantFrom('a', 'b', 'c').map(name => createPeer(name)), version: fc.nat(3),
	state: fc.constantFrom('live', 'suspect', 'gone'), leaving: fc.boolean(),
}), {maxLength: 20});

function createTable(received: readonly MemberRecord[]): MemberTable {
	const table = new MemberTable(createPeer('self'));
	for (const record of received) {
		table.apply(record, 0);
	}

	return table;
}

t.test('tables agree whatever the order and repetition of the records', t => {
	fc.assert(fc.property(records.chain(list => fc.tuple(fc.constant(list), fc.shuffledSubarray(list, {minLength: list.length}), fc.subarray(list))), ([list, shuffled, repeated]) => {
		t.equal(createTable(list).digest, createTable([...shuffled, ...repeated]).digest);
	}), {seed: 11});
	t.end();
});

t.test('leaving is never reset', t => {
	fc.assert(fc.property(records, list => {
		const table = new MemberTable(createPeer('self'));
		const leavingIncarnations = new Set<string>();
		for (const record of list) {
			table.apply(record, 0);
			if (record.leaving) {
				leavingIncarnations.add(record.peer.incarnation);
			}

			for (const incarnation of leavingIncarnations) {
				t.ok(table.get(incarnation)?.leaving);
			}
		}
	}), {seed: 12});
	t.end();
});

t.test('merging is commutative and associative', t => {
	const record = fc.record({
		peer: fc.constant(createPeer('a')), version: fc.nat(3), state: fc.constantFrom('live', 'suspect', 'gone'), leaving: fc.boolean(),
	});
	fc.assert(fc.property(record, record, record, (a, b, c) => {
		t.same(mergeRecords(a, b), mergeRecords(b, a));
		t.same(mergeRecords(mergeRecords(a, b), c), mergeRecords(a, mergeRecords(b, c)));
	}), {seed: 13});
	t.end();
});

t.test('refutes a record that reports this instance as gone', t => {
	const table = new MemberTable(createPeer('self'));
	const merged = table.apply({...table.ownRecord, state: 'gone'}, 0);
	t.equal(merged?.state, 'live');
	t.equal(merged?.version, 1);
	t.equal(mergeRecords({...table.ownRecord, version: 0, state: 'gone'}, table.ownRecord).state, 'live');
	t.end();
});

t.test('removes the records of instances that have long been gone', t => {
	const table = createTable([{
		peer: createPeer('a'), version: 0, state: 'gone', leaving: false,
	}]);
	table.expireGone(0);
	t.equal(table.size, 2);
	table.expireGone(1);
	t.equal(table.size, 1);
	t.end();
});
