import t from 'tap';
import {UnreadableEntries} from './unreadable-entries.ts';

function create() {
	const counts: unknown[] = [];
	const lines: unknown[] = [];
	const entries = new UnreadableEntries({
		count(_name, labels) {
			counts.push(labels);
		},
		log(_message, fields) {
			lines.push(fields);
		},
	});
	return {entries, counts, lines};
}

t.test('each revision of an entry is counted and logged once', async t => {
	const {entries, counts, lines} = create();
	for (const revision of [4, 4, 5, 5]) {
		entries.record({key: 'servers/a', revision}, 'no address');
	}

	entries.record({key: 'versions/a', revision: 5}, 'no version');
	t.strictSame(counts, [{kind: 'servers'}, {kind: 'servers'}, {kind: 'versions'}]);
	t.strictSame(lines[0], {key: 'servers/a', revision: 4, reason: 'no address'});
	t.equal(lines.length, 3);
});

t.test('keys and reasons of any length give short lines, and any number of entries is borne', async t => {
	const {entries, counts, lines} = create();
	entries.record({key: `servers/${'a'.repeat(100_000)}`, revision: 1}, 'x'.repeat(100_000));
	t.ok(JSON.stringify(lines[0]).length < 1000);
	for (let index = 0; index < 3000; index++) {
		entries.record({key: `servers/${index}`, revision: 1}, 'no address');
	}

	entries.record({key: 'servers/2999', revision: 1}, 'no address');
	t.equal(counts.length, 3001);
});
