/** Heads that never ended and are followed by another answer on the same connection, and heads whose framing is not certain. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {
	formatChunk, onceRoute, runRequest, safeRoute, sendText, sendTextAndClose, startRelay, streamRoute,
} from './testing/relay.ts';
import type {RelayRoute} from '#core';
import type {RawScript} from '#standins';

const named = 'x-signed: s1\r\nx-id: a\r\n';
const lost = ['refused 502 target_lost unknown'];

/** Beginnings of a success that a parser can join with the status line of the answer after them. */
const beginnings = [
	'HTTP/1.1 200 O',
	`HTTP/1.1 200 OK\r\n${named}x-note: `,
	`HTTP/1.1 200 OK\r\n${named}x-note: some tex`,
	`HTTP/1.1 200 OK\r\n${named}content-type: text/event-stream; x=`,
	`HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n${named}x-note: `,
];

/** Answers that the target, or something before it, writes after that. */
const followers = [
	'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n',
	`HTTP/1.1 500 Oh\r\n${named}content-length: 0\r\n\r\n`,
	`HTTP/1.1 503 Full\r\n${named}x-not-run: 1\r\ncontent-length: 2\r\n\r\nno`,
	`HTTP/1.0 200 OK\r\n${named}\r\nok`,
	`HTTP/1.1 103 Early\r\n${named}\r\n`,
];

const kinds: Readonly<Record<string, RelayRoute>> = {
	'request that must not run twice': onceRoute, 'safe request': {...safeRoute, maxTargets: 1}, stream: {...streamRoute, maxTargets: 1},
};

for (const [name, route] of Object.entries(kinds)) {
	// Guards against a success whose head never ended: the error that follows it completes its head and gives it a body.
	t.test(`a head that is followed by another answer is no answer: ${name}`, async t => {
		for (const beginning of beginnings) {
			for (const follower of followers) {
				const {caller, targets} = await runRequest(t, route, sendTextAndClose(beginning + follower));
				t.strictSame([caller.records, caller.text], [lost, ''], JSON.stringify(beginning + follower));
				t.notOk(targets.list()[0]!.connections.hasIdle, 'the connection is not reused');
			}
		}
	});
}

/** Runs two requests; the target sends its answers to the first, and a late beginning of another answer before that to the second. */
async function runAfterLateBytes(t: Test, beginning: string, second: string) {
	const script: RawScript = (request, reply) => {
		reply.write(request.headers['x-id'] === 'a' ? beginning + second : `HTTP/1.1 200 OK\r\nx-signed: s0\r\nx-id: ${String(request.headers['x-id'])}\r\ncontent-length: 2\r\n\r\nok`);
	};

	const setup = await startRelay(t, script);
	const earlier = setup.startRequest(safeRoute, 0, 'earlier');
	await setup.waitUntil(() => earlier.isDone() && setup.targets.list()[0]!.connections.hasIdle);
	const {caller, isDone} = setup.startRequest(onceRoute);
	await setup.waitUntil(isDone);
	return {...setup, caller};
}

// Guards against a status from the bytes after an earlier answer, with the id and the body of the answer that is due.
t.test('the beginning of an extra answer gives the next answer no status', async t => {
	for (const beginning of ['HTTP/1.1 200 O', 'HTTP/1.1 200 OK\r\nx-signed: s0\r\nx-note: ', 'HTTP/1.1 200 OK\r\nx-signed: s0\r\nx-id: earlier\r\nx-note: ']) {
		const {caller, targets} = await runAfterLateBytes(t, beginning, `HTTP/1.1 500 Oh\r\n${named}content-length: 2\r\n\r\nno`);
		t.strictSame([caller.records, caller.text], [lost, ''], JSON.stringify(beginning));
		t.notOk(targets.list()[0]!.connections.hasIdle, 'the connection is not reused');
	}
});

// Guards against a body that is delivered in a coding which its caller is not told of, and that ends with the connection.
t.test('an answer with another transfer coding than chunked is no answer', async t => {
	const chunked = `${formatChunk('ok')}0\r\n\r\n`;
	for (const [lines, body] of [
		['transfer-encoding: gzip', 'ok'],
		['transfer-encoding: identity', 'ok'],
		['transfer-encoding: ', 'ok'],
		['transfer-encoding: chunked, gzip', 'ok'],
		['transfer-encoding: gzip, chunked', chunked],
		['transfer-encoding: gzip\r\ntransfer-encoding: chunked', chunked],
		['transfer-encoding: chunked\r\ntransfer-encoding: chunked', chunked],
	] as const) {
		const {caller, targets} = await runRequest(t, onceRoute, sendTextAndClose(`HTTP/1.1 200 OK\r\n${named}${lines}\r\n\r\n${body}`));
		t.strictSame([caller.records, caller.text, targets.list()[0]!.connections.hasIdle], [lost, '', false], lines);
	}

	for (const lines of ['transfer-encoding: chunked', 'Transfer-Encoding: Chunked']) {
		const {caller} = await runRequest(t, onceRoute, sendText(`HTTP/1.1 200 OK\r\n${named}${lines}\r\n\r\n${chunked}`));
		t.strictSame([caller.records, caller.text], [['200 s1', 'end'], 'ok'], lines);
	}
});

/** Lines that state the framing of a body which is not sent, and what follows the head. */
const bodylessLines = [
	['', ''],
	['content-length: 5\r\n', ''],
	['content-length: 5\r\n', 'HTTP/1.1 200 OK\r\n'],
	['content-length: 0\r\n', ''],
	['transfer-encoding: chunked\r\n', ''],
] as const;

// Guards against callers that wait in vain for the answer to a conditional request, which states the length of what it does not send.
t.test('an answer with status 204 or 304 ends with its head, whatever length it states', async t => {
	for (const status of ['204 No Content', '304 Not Modified']) {
		for (const [line, rest] of bodylessLines) {
			const {caller, targets, startRequest, waitUntil, raw} = await runRequest(t, safeRoute, (request, reply) => {
				reply.write(request.headers['x-id'] === 'a' ? `HTTP/1.1 ${status}\r\n${named}${line}\r\n${rest}` : 'HTTP/1.1 200 OK\r\nx-signed: s2\r\nx-id: b\r\ncontent-length: 2\r\n\r\nok');
			});
			t.strictSame([caller.records, caller.text], [[`${status.slice(0, 3)} s1`, 'end'], ''], `${status} ${line}`);
			await nextTurn();
			const next = startRequest(onceRoute, 0, 'b');
			await waitUntil(next.isDone);
			t.strictSame([next.caller.records, next.caller.text, raw[0]!.requests.length], [['200 s2', 'end'], 'ok', 2], 'the next answer is whole');
			t.equal(targets.list()[0]!.inFlight, 0);
		}
	}
});

// Guards against a request that fails, and a target that is avoided, as a connection that is about to close counts as idle.
t.test('a connection that its target closes is not given to the next request', async t => {
	for (const [version, line] of [['1.0', ''], ['1.1', 'connection: keep-alive, close\r\n'], ['1.1', 'Connection: Close\r\n'], ['1.1', 'connection: x\r\nconnection: close\r\n']] as const) {
		const setup = await startRelay(t, (request, reply) => {
			reply.write(`HTTP/${version} 200 OK\r\nx-signed: s1\r\nx-id: ${String(request.headers['x-id'])}\r\n${line}content-length: 2\r\n\r\nok`);
		});
		for (let round = 0; round < 5; round++) {
			const {caller, done} = setup.startRequest(onceRoute, 0, `a${round}`);
			await done;
			t.strictSame([caller.records, caller.text], [['200 s1', 'end'], 'ok'], `${version} ${line}`);
			t.notOk(setup.targets.list()[0]!.suspectUntilMs > setup.clock.now(), 'the target is not avoided');
		}
	}
});
