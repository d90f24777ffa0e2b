import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import t from 'tap';
import {EventSplitter} from './event-splitter.ts';

const stream = 'id: 1\ndata: a\n\nid: 2\ndata: two\ndata: lines\n\nx-note: 7\nid: 3\ndata: c\r\n\r\n: comment\n\n';

function read(splitter: EventSplitter, text: string): ReadonlyArray<readonly [string | undefined, string]> {
	return splitter.push(Buffer.from(text)).map(({id, bytes}) => [id, Buffer.from(bytes).toString()]);
}

t.test('events are returned whole, with their ids', async t => {
	const events = read(new EventSplitter(), stream);
	t.strictSame(events.map(([id]) => id), ['1', '2', '3', undefined]);
	t.equal(events.map(([, text]) => text).join(''), stream);
});

t.test('events are the same however the stream is split into chunks', async () => {
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 12})), sizes => {
		const splitter = new EventSplitter();
		const events: Array<readonly [string | undefined, string]> = [];
		let rest = stream;
		for (const size of sizes) {
			events.push(...read(splitter, rest.slice(0, size)));
			rest = rest.slice(size);
		}

		events.push(...read(splitter, rest));
		return events.length === 4 && events.map(([, text]) => text).join('') === stream && splitter.incompleteBytes === 0;
	}), {seed: 3, numRuns: 200});
});

t.test('an incomplete event is buffered until it is complete', async t => {
	const splitter = new EventSplitter();
	t.strictSame(read(splitter, 'id: 1\ndata: a\n'), []);
	t.equal(splitter.incompleteBytes, 14);
	t.strictSame(read(splitter, '\n'), [['1', 'id: 1\ndata: a\n\n']]);
	t.equal(splitter.incompleteBytes, 0);
});
