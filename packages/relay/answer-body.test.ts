import {Buffer} from 'node:buffer';
import t from 'tap';
import {AnswerBody} from './_answer-body.ts';
import type {BodyRead, Exchange} from './exchange.ts';

const endRead: BodyRead = {kind: 'end'};
const faultRead: BodyRead = {kind: 'fault', fault: {hasBeenSent: true, hasConnectionFailed: true, detail: 'reset'}};

/** Time between two chunks of a body, in milliseconds. */
const readIntervalMs = 10;

/** Reads a body to its end, and returns what is logged about it. */
async function describe(parts: readonly string[], last: BodyRead, isEventStream = true) {
	const reads: BodyRead[] = [...parts.map(text => ({kind: 'data' as const, bytes: Buffer.from(text)})), last];
	const exchange: {-readonly [Key in 'framing' | 'readBody' | 'abort' | 'lastReceivedMs']: Exchange[Key]} = {
		framing: 'connection',
		lastReceivedMs: 0,
		async readBody() {
			exchange.lastReceivedMs += reads.length > 1 ? readIntervalMs : 0;
			return reads.shift() ?? last;
		},
		abort() {
			// The body has been read to its end.
		},
	};
	const body = new AnswerBody(exchange, isEventStream);
	for (let part = await body.read(); part.kind === 'data'; part = await body.read()) {
		// Only the record is checked.
	}

	return body.describe();
}

t.test('the record of a body tells apart the ways in which it ended', async t => {
	const event = 'id: 1\ndata: a\n\n';
	t.strictSame(await describe([event], endRead), {
		framing: 'connection', end: 'regular', bytes: 15, events: 1, spanMs: 0,
	});
	t.strictSame(await describe([event, 'id: 2\n'], endRead), {
		framing: 'connection', end: 'inside_event', bytes: 21, events: 1, openEventBytes: 6, spanMs: 10,
	});
	t.strictSame(await describe([event, 'id: 2\n'], faultRead), {
		framing: 'connection', end: 'fault', bytes: 21, events: 1, openEventBytes: 6, spanMs: 10,
	});
	t.strictSame(await describe(['ok'], endRead, false), {
		framing: 'connection', end: 'regular', bytes: 2, spanMs: 0,
	});
	t.strictSame(await describe(['id: 1\n', 'data: a\n\n', event, event], endRead), {
		framing: 'connection', end: 'regular', bytes: 45, events: 3, spanMs: 20,
	}, 'the time runs from the first complete event');
});
