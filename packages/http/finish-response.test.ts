import {once} from 'node:events';
import {connect} from 'node:net';
import t from 'tap';
import {finishResponse} from './finish-response.ts';
import {startHttpServer} from './server.ts';
import {createSystemClock} from '#clock';

const clock = createSystemClock();
const chunkBytes = 65_536;
const chunkCount = 64;

/** Sends a large body slowly, reads only afterwards, and returns what arrived. */
async function sendSlowly(address: string, headers: string): Promise<string> {
	const socket = connect(Number(address.split(':')[1]), '127.0.0.1');
	socket.pause();
	socket.on('error', () => {
		// A reset is what the test guards against.
	});
	await once(socket, 'connect');
	socket.write(`POST / HTTP/1.1\r\nhost: a\r\n${headers}content-length: ${chunkBytes * chunkCount}\r\n\r\n`);
	for (let chunk = 0; chunk < chunkCount && !socket.destroyed; chunk++) {
		socket.write('x'.repeat(chunkBytes));
		await clock.sleep(2);
	}

	let text = '';
	socket.on('data', chunk => {
		text += chunk.toString();
	});
	socket.resume();
	socket.end();
	if (!socket.closed) {
		await once(socket, 'close');
	}

	return text;
}

// Guards against refusals that are lost because the connection is reset while the body is still arriving.
t.test('an early answer reaches a caller that reads only after it has sent its body', async t => {
	const server = await startHttpServer((_req, res) => {
		res.statusCode = 503;
		finishResponse(res, '{"refused":true}');
	}, '127.0.0.1:0');
	for (const headers of ['connection: close\r\n', '']) {
		const text = await sendSlowly(server.address, headers);
		t.match(text, /^HTTP\/1\.1 503 /v);
		t.ok(text.endsWith('{"refused":true}'));
	}

	await server.destroy();
});
