/** Targets that answer a long upload at once, and reset the connection while it is still being written. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t from 'tap';
import {AnswerBody} from './_answer-body.ts';
import {TargetConnections} from './connections.ts';
import {ManualClock} from '#clock';

/** Size of the upload, in bytes: more than the buffers of a connection take. */
const uploadBytes = 16_000_000;

/** Number of runs for each way; the reset reaches the router at another point of the upload in each. */
const runCount = 30;

const parts: Readonly<Record<string, string>> = {'plain text': 'a part', 'whole events': 'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n', 'no part': ''};
const headerLines = ['', 'connection: close\r\n'];

/** Turns of the event loop between the answer and the reset. */
const resetTurns = [0, 1, 10];

for (const [partName, part] of Object.entries(parts)) {
	for (const line of headerLines) {
		for (const turns of resetTurns) {
			// Guards against a reset that is taken for the end of a body without a length.
			t.test(`200 without a length, ${partName}, ${line === '' ? '' : 'connection: close, '}reset after ${turns} turns`, async t => {
				const server = createServer((socket: Socket) => {
					socket.on('error', () => undefined);
					socket.once('data', () => {
						// The rest of the upload is not read.
						socket.pause();
						socket.write(`HTTP/1.1 200 OK\r\nx-signed: s\r\n${line}\r\n${part}`, () => {
							void (async () => {
								for (let turn = 0; turn < turns; turn++) {
									await nextTurn();
								}

								socket.resetAndDestroy();
							})();
						});
					});
				});
				server.listen(0, '127.0.0.1');
				await once(server, 'listening');
				const bound = server.address();
				const clock = new ManualClock();
				const address = `127.0.0.1:${typeof bound === 'object' ? bound!.port : 0}`;
				const connections = new TargetConnections(address, clock, () => clock.now(), {connectTimeoutMs: 1000, idleTimeoutMs: 30_000});
				t.teardown(() => {
					connections.close();
					server.close();
				});
				const ends = new Set<string>();
				for (let run = 0; run < runCount; run++) {
					const {exchange} = connections.start({
						method: 'POST', path: '/', headers: [], body: Buffer.alloc(uploadBytes, 120),
					}, {maxIdleMs: Infinity});
					const read = async () => {
						const head = await exchange.readHead();
						if (head.kind === 'fault') {
							return 'fault';
						}

						const body = new AnswerBody(exchange, partName === 'whole events');
						for (;;) {
							const {kind} = await body.read();
							if (kind !== 'data') {
								return kind;
							}
						}
					};

					ends.add(await read());
				}

				t.strictSame([...ends], ['fault']);
			});
		}
	}
}
