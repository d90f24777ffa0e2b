import t from 'tap';
import {
	failed, formatEvent, runRequest, safeRoute, sendText, sendTextAndClose, streamHead, streamRoute,
} from './testing/relay.ts';
import type {RawScript} from '#standins';

const largeBytes = 400_000;
const largeAnswer = `HTTP/1.1 200 OK\r\nx-signed: s1\r\ncontent-length: ${largeBytes}\r\n\r\n${'x'.repeat(largeBytes)}`;

const breakOffAfter = (text: string): RawScript => sendTextAndClose(text);

// Guards against an answer of which the caller has a part and that is followed by another target's whole answer.
t.test('an answer that has started and cannot be resumed is aborted, not tried again', async t => {
	const plain = await runRequest(t, safeRoute, breakOffAfter(largeAnswer.slice(0, 300_000)), sendText(largeAnswer));
	t.strictSame([plain.caller.records, plain.counts], [['200 s1', 'aborted'], [1, 0]]);
	const stream = await runRequest(t, {...streamRoute, retryPolicy: 'any'}, breakOffAfter(`${streamHead}${formatEvent(1)}`), sendText(`${streamHead}${formatEvent(1)}${formatEvent(2)}0\r\n\r\n`));
	t.strictSame([stream.caller.records, stream.counts], [['200 s3', 'aborted'], [1, 0]]);
});

// Guards against events that reach the caller twice, as a stream without ids starts anew.
t.test('a stream that has started without event ids is aborted, not resumed', async t => {
	const event = '9\r\ndata: a\n\n\r\n';
	const {caller, counts} = await runRequest(t, streamRoute, breakOffAfter(`${streamHead}${event}`), sendText(`${streamHead}${event}${event}0\r\n\r\n`));
	t.strictSame([caller.records, caller.text, counts], [['200 s3', 'aborted'], 'data: a\n\n', [1, 0]]);
});

// Guards against the body of an error or of an empty answer that ends a started stream as complete.
t.test('a started stream is continued only by an answer with its status', async t => {
	const notFound = 'HTTP/1.1 404 No\r\nx-signed: s4\r\ncontent-length: 2\r\n\r\nno';
	const empty = 'HTTP/1.1 204 No Content\r\nx-signed: s5\r\n\r\n';
	for (const answer of [notFound, empty, failed]) {
		const {caller} = await runRequest(t, streamRoute, breakOffAfter(`${streamHead}${formatEvent(1)}`), sendText(answer));
		t.strictSame([caller.records, caller.text], [['200 s3', 'aborted'], 'id: 1\ndata: e1\n\n']);
	}
});
