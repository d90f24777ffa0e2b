import {Buffer} from 'node:buffer';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {TargetConnections} from './connections.ts';
import type {Exchange, ExchangeRequest} from './exchange.ts';
import {ManualClock} from '#clock';
import {startRawTarget, type RawScript} from '#standins';

const request: ExchangeRequest = {
	method: 'POST', path: '/x?y=1', headers: ['x-one', '1', 'X-Two', 'a, b'], body: Buffer.from('hello'),
};
const reuseAny = {maxIdleMs: Infinity};
const completeAnswer = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-signed: 1\r\n\r\nok';

async function connect(t: Test, script: RawScript) {
	const clock = new ManualClock();
	const target = await startRawTarget(script);
	const connections = new TargetConnections(target.address, clock, () => clock.now(), {connectTimeoutMs: 1000, idleTimeoutMs: 30_000});
	t.teardown(async () => {
		connections.close();
		await target.close();
	});
	return {clock, target, connections};
}

/** Returns the answer's status, its body and how it ended, as a text. */
async function read(exchange: Exchange): Promise<string> {
	const head = await exchange.readHead();
	if (head.kind === 'fault') {
		return `fault sent=${head.fault.hasBeenSent}`;
	}

	let text = `${head.head.status} `;
	for (;;) {
		const part = await exchange.readBody();
		if (part.kind !== 'data') {
			return `${text} ${part.kind}`;
		}

		text += Buffer.from(part.bytes).toString();
	}
}

/** Maximum number of event loop turns that a step over loopback sockets can need. */
const maxTurns = 100_000;

/** Runs turns of the event loop until a condition holds. */
async function waitUntil(condition: () => boolean): Promise<void> {
	for (let turn = 0; turn < maxTurns && !condition(); turn++) {
		await nextTurn();
	}
}

t.test('a request is sent unchanged, and its answer is returned', async t => {
	const {target, connections} = await connect(t, (_request, reply) => {
		reply.write(completeAnswer);
	});
	t.equal(await read(connections.start(request, reuseAny).exchange), '200 ok end');
	t.match(target.requests, [{
		method: 'POST', path: '/x?y=1', body: 'hello', headers: {'x-one': '1', 'x-two': 'a, b', 'content-length': '5'},
	}]);
});

t.test('a connection is reused by the next exchange', async t => {
	const {clock, target, connections} = await connect(t, (_request, reply) => {
		reply.write(completeAnswer);
	});
	t.equal(connections.start(request, reuseAny).isNewConnection, true);
	// With a limit of 0, an exchange can start only on an idle connection.
	await waitUntil(() => connections.canStart(0));
	await clock.advance(5000);
	const second = connections.start(request, reuseAny);
	t.equal(await read(second.exchange), '200 ok end');
	t.equal(second.isNewConnection, false);
	t.equal(target.countConnections(), 1);
});

t.test('a connection that was idle for too long is not reused', async t => {
	const {clock, target, connections} = await connect(t, (_request, reply) => {
		reply.write(completeAnswer);
	});
	await read(connections.start(request, reuseAny).exchange);
	await clock.advance(3000);
	const second = connections.start(request, {maxIdleMs: 2000});
	t.equal(await read(second.exchange), '200 ok end');
	t.equal(target.countConnections(), 2);
});

const endings: ReadonlyArray<Readonly<{name: string; script: RawScript; expected: string}>> = [
	{
		name: 'an answer cut off before its content length is incomplete', expected: '200 o fault',
		script(_request, reply) {
			reply.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no');
			reply.close();
		},
	},
	{
		name: 'an answer cut off between chunks is incomplete', expected: '200 ok fault',
		script(_request, reply) {
			reply.write('HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n');
			reply.close();
		},
	},
	{
		name: 'an answer without a length ends with its connection', expected: '200 ok end',
		script(_request, reply) {
			reply.write('HTTP/1.1 200 OK\r\n\r\nok');
			reply.close();
		},
	},
	{
		name: 'bytes that are not an HTTP answer are a fault', expected: 'fault sent=true',
		script(_request, reply) {
			reply.write('garbage garbage\r\n\r\n');
		},
	},
	{
		name: 'a request may have been sent if its connection closes without an answer', expected: 'fault sent=true',
		script(_request, reply) {
			reply.close();
		},
	},
	{
		name: 'an error status is an answer', expected: '500 no end',
		script(_request, reply) {
			reply.write('HTTP/1.1 500 Oh\r\ncontent-length: 2\r\n\r\nno');
		},
	},
];

for (const {name, script, expected} of endings) {
	t.test(name, async t => {
		const {connections} = await connect(t, script);
		t.equal(await read(connections.start(request, reuseAny).exchange), expected);
	});
}

t.test('an answer without a length is incomplete if its connection is reset', async t => {
	let resetConnection = () => undefined as void;
	const {connections} = await connect(t, (_request, reply) => {
		reply.write('HTTP/1.1 200 OK\r\n\r\nok');
		resetConnection = reply.reset;
	});
	const {exchange} = connections.start(request, reuseAny);
	t.match(await exchange.readHead(), {kind: 'head'});
	t.match(await exchange.readBody(), {kind: 'data'});
	resetConnection();
	t.match(await exchange.readBody(), {kind: 'fault', fault: {hasConnectionFailed: true}});
});

t.test('an answer without a length is incomplete if a reset arrives with its last bytes', async t => {
	const {connections} = await connect(t, (_request, reply) => {
		reply.write('HTTP/1.1 200 OK\r\n\r\nok');
		reply.reset();
	});
	for (let round = 0; round < 20; round++) {
		t.equal(await read(connections.start(request, reuseAny).exchange), '200 ok fault');
	}
});

t.test('a request whose connection is refused has not been sent', async t => {
	const {target, connections} = await connect(t, () => undefined);
	await target.close();
	t.equal(await read(connections.start(request, reuseAny).exchange), 'fault sent=false');
	t.equal(connections.size, 0);
});

t.test('bytes after a complete answer are not taken for the next answer', async t => {
	let answers = 0;
	const {target, connections} = await connect(t, (_request, reply) => {
		answers++;
		reply.write(answers === 1 ? `${completeAnswer}HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother` : completeAnswer);
	});
	t.equal(await read(connections.start(request, reuseAny).exchange), '200 ok end');
	await waitUntil(() => connections.size === 0);
	t.equal(await read(connections.start(request, reuseAny).exchange), '200 ok end');
	t.equal(target.countConnections(), 2);
});

t.test('a connection is not reused if the target states that it will close it', async t => {
	const {target, connections} = await connect(t, (_request, reply) => {
		reply.write('HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok');
	});
	await read(connections.start(request, reuseAny).exchange);
	t.equal(await read(connections.start(request, reuseAny).exchange), '200 ok end');
	t.equal(target.countConnections(), 2);
});

t.test('an abort closes the connection and is reported at once', async t => {
	const {target, connections} = await connect(t, () => undefined);
	const {exchange} = connections.start(request, reuseAny);
	await waitUntil(() => target.requests.length === 1);
	exchange.abort('enough');
	t.match(await exchange.readHead(), {kind: 'fault', fault: {hasBeenSent: true, hasConnectionFailed: false, detail: 'enough'}});
	await waitUntil(() => connections.size === 0);
	t.equal(connections.size, 0);
});

t.test('a request that is aborted before its connection is established has not been sent', async t => {
	const {target, connections} = await connect(t, () => undefined);
	const {exchange} = connections.start(request, reuseAny);
	exchange.abort('enough');
	t.match(await exchange.readHead(), {kind: 'fault', fault: {hasBeenSent: false}});
	await waitUntil(() => connections.size === 0);
	t.equal(target.requests.length, 0);
});

t.test('the connection is paused while the answer is not read', async t => {
	const size = 8_388_608;
	const {connections} = await connect(t, (_request, reply) => {
		reply.write(`HTTP/1.1 200 OK\r\ncontent-length: ${size}\r\n\r\n${'x'.repeat(size)}`);
	});
	const {exchange} = connections.start(request, reuseAny);
	await exchange.readHead();
	let turns = 0;
	await waitUntil(() => ++turns > 200);
	let length = 0;
	let reads = 0;
	for (let part = await exchange.readBody(); part.kind === 'data'; part = await exchange.readBody()) {
		length += part.bytes.length;
		reads++;
	}

	t.equal(length, size);
	t.ok(reads > 10);
});
