import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import t from 'tap';
import {createHttpConnector} from './http-connector.ts';
import type {TargetCall, TargetFrame, TargetPool} from '#core';

type Responder = (socket: Socket, requestNumber: number) => void;

const pool: TargetPool = {
	name: 'ledger', kind: 'service', pieceTokens: 1, checksFencing: true, loadsAtOnce: 1, minLoaded: 1, slots: 1, targets: [],
};

/** Starts a server that counts requests and connections and calls `respond` for each request. */
async function startServer(respond: Responder) {
	const counts = {requests: 0, connections: 0};
	const server = createServer(socket => {
		counts.connections++;
		socket.on('error', () => {
			// Resets are part of the tests.
		});
		socket.on('data', chunk => {
			if (/^(GET|POST|HEAD) /v.test(chunk.toString('latin1'))) {
				counts.requests++;
				respond(socket, counts.requests);
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	const address = typeof bound === 'object' && bound ? `127.0.0.1:${bound.port}` : '';
	const link = createHttpConnector({maxConnections: 1}).open(pool, {name: 's1', address, zone: 'z'});
	t.teardown(() => {
		server.close();
	});
	const run = async (method = 'GET', shouldUseNewConnection = false): Promise<string> => {
		const call: TargetCall = {
			attemptId: 'a1', requestId: 'q1', customer: 'c', chain: [], pieceTokens: [], priority: 0, remainingMs: 1000, resumeOffset: 0, deliveredText: '',
			shouldUseNewConnection, importKeys: [], work: {
				kind: 'call', method, path: '/', body: new Uint8Array(method === 'POST' ? 3 : 0),
			},
		};
		const frames: TargetFrame[] = [];
		for await (const frame of link.run(call, new AbortController().signal)) {
			frames.push(frame);
		}

		return frames.map(frame => frame.kind === 'fault' ? frame.outcome : frame.kind).join(' ');
	};

	return {
		counts, server, link, run,
	};
}

const createResponder = (head: string, body = ''): Responder => socket => {
	socket.write(`HTTP/1.1 ${head}\r\n\r\n${body}`);
};

const respondWithBody = createResponder('200 OK\r\ncontent-length: 2', 'ok');

t.test('sends a request once when a reused connection is reset', async t => {
	for (const method of ['GET', 'POST']) {
		const {counts, link, run} = await startServer((socket, requestNumber) => {
			if (requestNumber === 1) {
				respondWithBody(socket, requestNumber);
			} else {
				socket.resetAndDestroy();
			}
		});
		t.equal(await run(method), 'head data end');
		t.equal(await run(method), 'unknown');
		t.same(counts, {requests: 2, connections: 1}, 'the second request used the same connection and was not sent again');
		await link.close();
	}
});

t.test('uses a new connection for each call that may not be repeated', async t => {
	const {counts, server, link, run} = await startServer(respondWithBody);
	await run('POST', true);
	await run('POST', true);
	t.equal(counts.connections, 2);
	server.close();
	t.equal(await run('POST', true), 'notSent', 'a refused connect proves that nothing was sent');
	await link.close();
});

t.test('never treats a truncated answer as complete', async t => {
	const createClosingResponder = (head: string, body: string): Responder => socket => {
		socket.end(`HTTP/1.1 ${head}\r\n\r\n${body}`);
	};

	const cases: ReadonlyArray<readonly [Responder, string]> = [
		[createClosingResponder('200 OK\r\ncontent-length: 9', 'part'), 'head data unknown'],
		[createClosingResponder('200 OK\r\ntransfer-encoding: chunked', '4\r\npart\r\n'), 'head data unknown'],
		[createClosingResponder('200 OK\r\nconnection: close', 'part'), 'head data unknown'],
		[createClosingResponder('200 OK\r\ntransfer-encoding: chunked', '4\r\npart\r\n0\r\n\r\n'), 'head data end'],
		[createClosingResponder('200 OK\r\ncontent-length: 2\r\nx-attempt-id: a1', 'ok'), 'head data end'],
	];
	for (const [respond, expected] of cases) {
		const {link, run} = await startServer(respond);
		t.equal(await run(), expected);
		await link.close();
	}
});

t.test('treats an answer without a body as complete', async t => {
	const {link, run} = await startServer(createResponder('204 No Content'));
	t.equal(await run('POST'), 'head end');
	await link.close();
	const other = await startServer(createResponder('200 OK\r\ncontent-length: 7'));
	t.equal(await other.run('HEAD'), 'head end');
	await other.link.close();
});

t.test('recognizes a refusal only by its header', async t => {
	const {link, run} = await startServer(createResponder('503 Busy\r\nx-not-run: 1\r\nx-attempt-id: a1\r\nretry-after: 2\r\ncontent-length: 0'));
	t.equal(await run(), 'refused');
	await link.close();
	const other = await startServer(createResponder('503 Busy\r\ncontent-length: 0'));
	t.equal(await other.run(), 'head end');
	await other.link.close();
});

// Guards against "not run" for a call that runs, as an earlier refusal is taken for its own.
t.test('a refusal is believed if it names the attempt, or none on a new connection', async t => {
	for (const [line, shouldUseNewConnection, expected] of [
		['x-attempt-id: a0\r\n', false, 'unknown'], ['x-attempt-id: a0\r\n', true, 'unknown'], ['', false, 'unknown'], ['', true, 'refused'],
	] as const) {
		const {link, run} = await startServer(createResponder(`503 Busy\r\nx-not-run: 1\r\n${line}content-length: 0`));
		t.equal(await run('POST', shouldUseNewConnection), expected, `${line} ${shouldUseNewConnection}`);
		await link.close();
	}
});
