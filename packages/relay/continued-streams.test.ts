/** Streams that break off after they have begun, and what the next target answers. */
import t from 'tap';
import {
	formatChunk, formatEvent, runRequest, sendText, sendTextAndClose, startRelay, streamRoute,
} from './testing/relay.ts';
import type {RawScript} from '#standins';

const firstEvent = 'id: 1\ndata: e1\n\n';
const secondEvent = 'id: 2\ndata: e2\n\n';
const errorText = '{"error":"no"}';
const errorHead = `HTTP/1.1 500 Oh\r\ncontent-type: application/json\r\ncontent-length: ${errorText.length}\r\n\r\n`;

/** Header lines, each with its line break, by the framing of the body. */
const framings = {
	'no length': {headers: '', formatPart: (text: string) => text, end: ''},
	chunked: {headers: 'transfer-encoding: chunked\r\n', formatPart: formatChunk, end: '0\r\n\r\n'},
} as const;

type Framing = typeof framings[keyof typeof framings];

function formatHead({headers}: Framing, mediaType: string | undefined): string {
	return `HTTP/1.1 200 OK\r\nx-signed: s3\r\nx-id: a\r\n${mediaType === undefined ? '' : `content-type: ${mediaType}\r\n`}${headers}\r\n`;
}

/** Sends the first event of a stream and breaks off. */
const breakOff = (framing: Framing, mediaType?: string): RawScript => sendTextAndClose(`${formatHead(framing, mediaType)}${framing.formatPart(firstEvent)}${framing.formatPart('id: 2\nda')}`);

const withLength = (status: number, headers: string, body: string) => `HTTP/1.1 ${status} X\r\nx-signed: s4\r\nx-id: a\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`;

const texts: ReadonlyArray<readonly [name: string, text: string]> = [
	['JSON', errorText],
	['JSON and a blank line', `${errorText}\n\n`],
	['a line of text and a blank line', 'internal error\n\n'],
	['a page', '<html>\n<body>\n\n</body></html>\n\n'],
	['a head and JSON', `${errorHead}${errorText}`],
	['a head, JSON and a blank line', `${errorHead}${errorText}\r\n\r\n`],
	['an event without an id', `event: error\ndata: ${errorText}\n\n`],
];

for (const [framingName, framing] of Object.entries(framings)) {
	// Guards against the text or the head of an error in the middle of a stream.
	t.test(`a stream with a body of ${framingName} is not continued by the text of an error`, async t => {
		const {formatPart, end} = framing;
		const errors = [
			...[500, 503, 429, 421, 404, 204].map(status => [`status ${status}`, withLength(status, status === 503 ? 'x-not-run: 1\r\n' : '', status === 204 ? '' : `${errorText}\n\n`)] as const),
			...texts.flatMap(([name, text]) => [
				[`${name} with the status of the stream, chunked`, `${formatHead(framings.chunked, undefined)}${formatChunk(text)}0\r\n\r\n`] as const,
				[`${name} with the status of the stream and a length`, withLength(200, '', text)] as const,
				[`${name} after an event`, `${formatHead(framing, undefined)}${formatPart(secondEvent)}${formatPart(text)}${end}`] as const,
			]),
		];
		for (const [name, answer] of errors) {
			const {caller} = await runRequest(t, streamRoute, breakOff(framing), sendTextAndClose(answer));
			t.strictSame([caller.records, caller.text.replace(secondEvent, '')], [['200 s3', 'aborted'], firstEvent], name);
		}
	});

	// Guards against the same text from the target that has begun the stream; another target goes on with it.
	t.test(`a target that writes an error into its own stream of ${framingName} has broken it off`, async t => {
		const {formatPart, end} = framing;
		for (const [name, text] of texts.slice(0, -1)) {
			const broken = `${formatHead(framing, undefined)}${formatPart(firstEvent)}${formatPart(text)}${end}`;
			const {caller, raw} = await runRequest(t, streamRoute, sendTextAndClose(broken), sendText(`${formatHead(framings.chunked, undefined)}${formatEvent(2)}0\r\n\r\n`));
			t.strictSame([caller.records, caller.text, raw[1]!.requests[0]?.headers['x-after']], [['200 s3', 'end'], `${firstEvent}${secondEvent}`, '1'], name);
		}
	});
}

// Guards against the same text at the end of a stream that must not be repeated.
t.test('an error in a stream that cannot be continued aborts it', async t => {
	for (const [name, text] of texts.slice(0, -1)) {
		for (const retryPolicy of ['any', 'once'] as const) {
			const {caller} = await runRequest(t, {...streamRoute, retryPolicy}, sendText(`${formatHead(framings.chunked, undefined)}${formatChunk(firstEvent)}${formatChunk(text)}0\r\n\r\n`));
			t.strictSame([caller.records, caller.text], [['200 s3', 'aborted'], firstEvent], `${name}, ${retryPolicy}`);
		}
	}
});

// Guards against a stream that waits for the end of an error which it does not need.
t.test('the body of an error that cannot continue a stream is not awaited', async t => {
	const {caller, clock} = await runRequest(t, streamRoute, breakOff(framings.chunked), sendText('HTTP/1.1 500 X\r\nx-id: a\r\ncontent-length: 5\r\n\r\n'));
	t.strictSame([caller.records, caller.text, clock.now() < 100], [['200 s3', 'aborted'], firstEvent, true]);
});

// Guards against a body of another kind inside a stream.
t.test('a stream is continued only with its media type and encoding', async t => {
	const cases = [
		['text/event-stream', 'content-type: application/json\r\n', false],
		[undefined, 'content-type: text/html\r\n', false],
		['text/event-stream', 'content-encoding: gzip\r\n', false],
		['text/event-stream; charset=utf-8', 'content-type: Text/Event-Stream\r\n', true],
		['text/event-stream', '', true],
		[undefined, 'content-type: text/event-stream\r\n', true],
	] as const;
	for (const [mediaType, headers, isContinued] of cases) {
		const {caller} = await runRequest(t, streamRoute, breakOff(framings.chunked, mediaType), sendText(withLength(200, headers, secondEvent)));
		t.strictSame([caller.records.at(-1), caller.text], isContinued ? ['end', `${firstEvent}${secondEvent}`] : ['aborted', firstEvent], `${mediaType}, then ${headers}`);
	}
});

// Guards against a whole stream that is cut, as its first target broke off between the last event and the end.
t.test('a continuation without events completes the stream if its framing marks the end', async t => {
	const cases = [
		[withLength(200, '', ''), 'end'],
		[`${formatHead(framings.chunked, undefined)}0\r\n\r\n`, 'end'],
		[formatHead(framings['no length'], undefined), 'aborted'],
		[formatHead(framings.chunked, undefined), 'aborted'],
	] as const;
	for (const [answer, expected] of cases) {
		const {caller} = await runRequest(t, streamRoute, breakOff(framings.chunked), sendTextAndClose(answer));
		t.strictSame([caller.records, caller.text], [['200 s3', expected], firstEvent], JSON.stringify(answer));
	}
});

// Guards against sound streams that are cut, as their events have other forms.
t.test('comments, byte order marks and fields of other names belong to a stream', async t => {
	const events = ['\uFEFFid: 1\ndata: e1\n\n', ': comment\n\n', 'x-note: 7\nid: 2\ndata: e2\n\n', 'id\ndata\n\n', 'retry: 10\n\n', 'event: done\r\nid: 3\r\n\r\n', '\n\n'];
	const bytes = events.map(event => `${new TextEncoder().encode(event).length.toString(16)}\r\n${event}\r\n`).join('');
	const {caller} = await runRequest(t, streamRoute, sendText(`${formatHead(framings.chunked, undefined)}${bytes}0\r\n\r\n`));
	t.strictSame([caller.records, caller.text], [['200 s3', 'end'], events.join('')]);
	const comments = `${formatHead(framings.chunked, undefined)}${formatChunk(': comment\n\n')}${formatEvent(2)}0\r\n\r\n`;
	const resumed = await runRequest(t, streamRoute, breakOff(framings.chunked), sendText(comments));
	t.strictSame([resumed.caller.records, resumed.caller.text], [['200 s3', 'end'], `${firstEvent}: comment\n\n${secondEvent}`]);
});

// Guards against sound streams that are cut, as they mix events with and without ids.
t.test('a continuation may have events without ids if the stream had such before', async t => {
	const ping = 'event: ping\ndata: 1\n\n';
	const begun = sendTextAndClose(`${formatHead(framings.chunked, undefined)}${formatChunk(firstEvent)}${formatChunk(ping)}`);
	const {caller} = await runRequest(t, streamRoute, begun, sendText(`${formatHead(framings.chunked, undefined)}${formatChunk(ping)}${formatChunk(secondEvent)}0\r\n\r\n`));
	t.strictSame([caller.records, caller.text], [['200 s3', 'end'], `${firstEvent}${ping}${ping}${secondEvent}`]);
});

// Guards against text of an error, and events that its caller has, in a stream that the caller itself takes up again.
t.test('a stream that its caller resumes contains only events after the last one that the caller has', async t => {
	const {headers, formatPart, end} = framings.chunked;
	const begin = formatHead({headers, formatPart, end}, undefined);
	const goOn = sendText(`${begin}${formatPart(secondEvent)}${end}`);
	for (const [name, first] of [
		['text', `${begin}${formatPart('internal error\n\n')}${end}`], ['an event that the caller has', `${begin}${formatPart(firstEvent)}${formatPart(secondEvent)}${end}`],
	] as const) {
		const {startRequest, waitUntil} = await startRelay(t, sendText(first), goOn);
		const {caller, isDone} = startRequest(streamRoute, 0, 'a', {lastEventId: '1'});
		await waitUntil(isDone);
		t.equal(caller.text, secondEvent, name);
		t.equal(caller.records.at(-1), 'end', name);
	}
});
