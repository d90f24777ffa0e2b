/** Answers of targets in trouble whose status is outside 100 to 599 (RFC 9110, section 15). */
import t from 'tap';
import {
	ok, onceRoute, runRequest, safeRoute, sendText, sendTextAndClose, streamRoute,
} from './testing/relay.ts';

const statuses = ['000', '001', '099', '600', '999'];

/** Header lines and body of the answers, by name. */
const bodies: Readonly<Record<string, string>> = {
	'a length': 'content-length: 2\r\n\r\nno',
	'no body': 'content-length: 0\r\n\r\n',
	chunks: 'transfer-encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n',
	'no length': '\r\nno',
	'a statement that it has not run': 'x-not-run: 1\r\ncontent-length: 0\r\n\r\n',
};

for (const status of statuses) {
	for (const [bodyName, body] of Object.entries(bodies)) {
		for (const sendAnswer of [sendText, sendTextAndClose]) {
			const name = `status ${status}, ${bodyName}${sendAnswer === sendText ? '' : ', closed'}`;
			const script = sendAnswer(`HTTP/1.1 ${status} Odd\r\nx-signed: s0\r\n${body}`);

			// Guards against a status that is no answer, but reaches the caller or ends the caller's connection.
			t.test(`${name}: a request that may be repeated is tried at another target`, async t => {
				const {caller, counts} = await runRequest(t, safeRoute, script, sendText(ok));
				t.strictSame([caller.records, caller.text, counts], [['200 s1', 'end'], 'ok', [1, 1]]);
			});

			t.test(`${name}: a stream that has not begun is tried at another target`, async t => {
				const {caller, counts} = await runRequest(t, streamRoute, script, sendText('HTTP/1.1 200 OK\r\nx-signed: s1\r\ncontent-length: 16\r\n\r\nid: 1\ndata: e1\n\n'));
				t.strictSame([caller.records, counts], [['200 s1', 'end'], [1, 1]]);
			});

			t.test(`${name}: a request that must not be repeated gets 502`, async t => {
				const {caller, counts, clock} = await runRequest(t, onceRoute, script, sendText(ok));
				t.strictSame([caller.refusal?.status, caller.refusal?.ran, counts], [502, 'unknown', [1, 0]]);
				t.notOk(caller.records.some(record => !record.startsWith('refused')), 'the caller is sent nothing else');
				t.ok(clock.now() < onceRoute.timeoutMs, 'the answer is refused as it arrives, not at the deadline');
			});
		}
	}
}
