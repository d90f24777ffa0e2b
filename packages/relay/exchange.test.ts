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
const keep = {maxIdleMs: Infinity};
const whole = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-signed: 1\r\n\r\nok';

async function start(t: Test, script: RawScript) {
	const clock = new ManualClock();
	const target = await startRawTarget(script);
	const connections = new TargetConnections(target.address, clock, () => clock.now(), {connectMs: 1000, idleMs: 30_000});
	t.teardown(async () => {
		connections.close();
		await target.close();
	});
	return {clock, target, connections};
}

/** The answer's status and body, and how it ended. */
async function read(exchange: Exchange): Promise<string> {
	const head = await exchange.readHead();
	if (head.kind === 'fault') {
		return `fault sent=${head.fault.sent}`;
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

/** Turns that sockets on loopback surely need for a step. */
const mostTurns = 100_000;

/** Gives sockets their turns until a condition holds. */
async function waitUntil(condition: () => boolean): Promise<void> {
	for (let turn = 0; turn < mostTurns && !condition(); turn++) {
		await nextTurn();
	}
}

t.test('a request goes out as it is, and its answer comes back', async t => {
	const {target, connections} = await start(t, (_request, reply) => {
		reply.write(whole);
	});
	t.equal(await read(connections.start(request, keep).exchange), '200 ok end');
	t.match(target.requests, [{
		method: 'POST', path: '/x?y=1', body: 'hello', headers: {'x-one': '1', 'x-two': 'a, b', 'content-length': '5'},
	}]);
});

t.test('a connection is kept for the next exchange', async t => {
	const {clock, target, connections} = await start(t, (_request, reply) => {
		reply.write(whole);
	});
	t.equal(connections.start(request, keep).isNewConnection, true);
	await waitUntil(() => connections.canStart(0));
	await clock.advance(5000);
	const second = connections.start(request, keep);
	t.equal(await read(second.exchange), '200 ok end');
	t.equal(second.isNewConnection, false);
	t.equal(target.countConnections(), 1);
});

t.test('a connection that was idle for too long is passed over', async t => {
	const {clock, target, connections} = await start(t, (_request, reply) => {
		reply.write(whole);
	});
	await read(connections.start(request, keep).exchange);
	await clock.advance(3000);
	const second = connections.start(request, {maxIdleMs: 2000});
	t.equal(await read(second.exchange), '200 ok end');
	t.equal(target.countConnections(), 2);
});

const endings: ReadonlyArray<Readonly<{name: string; script: RawScript; expected: string}>> = [
	{
		name: 'an answer cut inside its length is no whole one', expected: '200 o fault',
		script(_request, reply) {
			reply.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no');
			reply.close();
		},
	},
	{
		name: 'an answer cut between chunks is no whole one', expected: '200 ok fault',
		script(_request, reply) {
			reply.write('HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n');
			reply.close();
		},
	},
	{
		name: 'an answer without length ends with its connection', expected: '200 ok end',
		script(_request, reply) {
			reply.write('HTTP/1.1 200 OK\r\n\r\nok');
			reply.close();
		},
	},
	{
		name: 'bytes that are no answer are a fault', expected: 'fault sent=true',
		script(_request, reply) {
			reply.write('garbage garbage\r\n\r\n');
		},
	},
	{
		name: 'a connection closed without an answer may have carried the request', expected: 'fault sent=true',
		script(_request, reply) {
			reply.close();
		},
	},
	{
		name: 'a failure is an answer', expected: '500 no end',
		script(_request, reply) {
			reply.write('HTTP/1.1 500 Oh\r\ncontent-length: 2\r\n\r\nno');
		},
	},
];

for (const {name, script, expected} of endings) {
	t.test(name, async t => {
		const {connections} = await start(t, script);
		t.equal(await read(connections.start(request, keep).exchange), expected);
	});
}

t.test('an answer without length that is reset is no whole one', async t => {
	let cut = () => undefined as void;
	const {connections} = await start(t, (_request, reply) => {
		reply.write('HTTP/1.1 200 OK\r\n\r\nok');
		cut = reply.reset;
	});
	const {exchange} = connections.start(request, keep);
	t.match(await exchange.readHead(), {kind: 'head'});
	t.match(await exchange.readBody(), {kind: 'data'});
	cut();
	t.match(await exchange.readBody(), {kind: 'fault', fault: {cut: true}});
});

t.test('an answer without length whose last bytes come with the reset is no whole one', async t => {
	const {connections} = await start(t, (_request, reply) => {
		reply.write('HTTP/1.1 200 OK\r\n\r\nok');
		reply.reset();
	});
	for (let round = 0; round < 20; round++) {
		t.equal(await read(connections.start(request, keep).exchange), '200 ok fault');
	}
});

t.test('a refused connection proves that nothing was sent', async t => {
	const {target, connections} = await start(t, () => undefined);
	await target.close();
	t.equal(await read(connections.start(request, keep).exchange), 'fault sent=false');
	t.equal(connections.size, 0);
});

t.test('bytes after a complete answer belong to no request', async t => {
	let answers = 0;
	const {target, connections} = await start(t, (_request, reply) => {
		answers++;
		reply.write(answers === 1 ? `${whole}HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother` : whole);
	});
	t.equal(await read(connections.start(request, keep).exchange), '200 ok end');
	await waitUntil(() => connections.size === 0);
	t.equal(await read(connections.start(request, keep).exchange), '200 ok end');
	t.equal(target.countConnections(), 2);
});

t.test('a connection that the target says it closes is not used again', async t => {
	const {target, connections} = await start(t, (_request, reply) => {
		reply.write('HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok');
	});
	await read(connections.start(request, keep).exchange);
	t.equal(await read(connections.start(request, keep).exchange), '200 ok end');
	t.equal(target.countConnections(), 2);
});

t.test('giving up closes the connection and is told at once', async t => {
	const {target, connections} = await start(t, () => undefined);
	const {exchange} = connections.start(request, keep);
	await waitUntil(() => target.requests.length === 1);
	exchange.abort('enough');
	t.match(await exchange.readHead(), {kind: 'fault', fault: {sent: true, cut: false, detail: 'enough'}});
	await waitUntil(() => connections.size === 0);
	t.equal(connections.size, 0);
});

t.test('giving up before the connection is made proves that nothing was sent', async t => {
	const {target, connections} = await start(t, () => undefined);
	const {exchange} = connections.start(request, keep);
	exchange.abort('enough');
	t.match(await exchange.readHead(), {kind: 'fault', fault: {sent: false}});
	await waitUntil(() => connections.size === 0);
	t.equal(target.requests.length, 0);
});

t.test('a reader that stands still pauses the target', async t => {
	const size = 8_388_608;
	const {connections} = await start(t, (_request, reply) => {
		reply.write(`HTTP/1.1 200 OK\r\ncontent-length: ${size}\r\n\r\n${'x'.repeat(size)}`);
	});
	const {exchange} = connections.start(request, keep);
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
