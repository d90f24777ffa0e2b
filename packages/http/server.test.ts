import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import t from 'tap';
import {startHttpServer, type HttpListener} from './server.ts';
import {createSystemClock} from '#clock';

const clock = createSystemClock();

async function startServer(listener: HttpListener) {
	const server = await startHttpServer(listener, '127.0.0.1:0');
	const sockets: Socket[] = [];
	t.teardown(async () => {
		for (const socket of sockets) {
			socket.destroy();
		}

		await server.destroy();
	});
	const openSocket = async (): Promise<Socket> => {
		const socket = connect(Number(server.address.split(':')[1]), '127.0.0.1');
		sockets.push(socket);
		socket.on('error', () => {
			// Resets are part of the tests.
		});
		await once(socket, 'connect');
		return socket;
	};

	return {server, openSocket};
}

async function waitFor(condition: () => boolean): Promise<boolean> {
	const deadlineMs = clock.now() + 5000;
	while (!condition() && clock.now() < deadlineMs) {
		await clock.sleep(5);
	}

	return condition();
}

// Guards against a stop that ends under a request whose body is still arriving.
t.test('counts a request from its head to the end of its answer', async t => {
	const {server, openSocket} = await startServer((req, res) => {
		req.resume().on('end', () => {
			res.end('ok');
		});
	});
	const socket = await openSocket();
	t.equal(server.countOpenRequests(), 0, 'a connection is not a request');
	socket.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n');
	t.ok(await waitFor(() => server.countOpenRequests() === 1));
	socket.write('ab');
	t.ok(await waitFor(() => server.countOpenRequests() === 0));
});

// Guards against a stop that ends under an answer that was handed to the socket and not sent yet.
t.test('counts a request until its caller has read the answer', async t => {
	const bodyBytes = 32 * 1024 * 1024;
	const {server, openSocket} = await startServer((_req, res) => {
		res.end(Buffer.alloc(bodyBytes));
	});
	const socket = await openSocket();
	socket.pause();
	socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await waitFor(() => server.countOpenRequests() === 1));
	await clock.sleep(100);
	t.equal(server.countOpenRequests(), 1);
	const closed = server.close();
	let readBytes = 0;
	socket.on('data', chunk => {
		readBytes += chunk.length;
	});
	socket.resume();
	await closed;
	await once(socket, 'close');
	t.ok(readBytes > bodyBytes, `${readBytes} bytes`);
});

// Guards against a stop that never ends because of a connection on which nothing was sent.
t.test('closes in spite of connections without a whole request', async t => {
	const {server, openSocket} = await startServer((_req, res) => {
		res.end();
	});
	await openSocket();
	const partial = await openSocket();
	partial.write('GET / HTTP/1.1\r\nhost');
	await clock.sleep(50);
	const result = await Promise.race([server.close().then(() => 'closed'), clock.sleep(2000).then(() => 'waiting')]);
	t.equal(result, 'closed');
});

t.test('may be destroyed while it closes', async t => {
	const {server, openSocket} = await startServer(() => {
		// The request stays open.
	});
	const socket = await openSocket();
	socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await waitFor(() => server.countOpenRequests() === 1));
	const closed = server.close();
	await server.destroy();
	await closed;
	t.equal(server.countOpenRequests(), 0);
});

// Guards against a stop that never ends because of a request behind another one whose connection has closed.
t.test('a request that waits behind another is not open once its connection has closed', async t => {
	const {server, openSocket} = await startServer(() => {
		// The requests stay open.
	});
	const socket = await openSocket();
	socket.write('GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await waitFor(() => server.countOpenRequests() > 0));
	socket.destroy();
	t.ok(await waitFor(() => server.countOpenRequests() === 0));
	const result = await Promise.race([server.close().then(() => 'closed'), clock.sleep(2000).then(() => 'waiting')]);
	t.equal(result, 'closed');
});

// Guards against a request that runs although its connection closes after the answer before it.
t.test('a request behind an answer that closes the connection does not reach the listener', async t => {
	const paths: string[] = [];
	const {openSocket} = await startServer((req, res) => {
		paths.push(req.url ?? '');
		setImmediate(() => {
			res.setHeader('connection', 'close');
			res.end();
		});
	});
	const socket = await openSocket();
	socket.resume();
	socket.write('GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n');
	await once(socket, 'close');
	t.strictSame(paths, ['/1']);
});

// Guards against requests on one connection that are not all answered, or not in their order.
t.test('requests that are sent behind each other are answered in their order', async t => {
	const {openSocket} = await startServer((req, res) => {
		res.end(`answer to ${req.url}.`);
	});
	const socket = await openSocket();
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	socket.write([1, 2, 3].map(index => `GET /${index} HTTP/1.1\r\nhost: a\r\n\r\n`).join(''));
	t.ok(await waitFor(() => text.endsWith('/3.')));
	t.strictSame(text.match(/answer to \/\d/gv), ['answer to /1', 'answer to /2', 'answer to /3']);
});
