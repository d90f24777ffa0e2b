import t from 'tap';
import {createHttpConnector} from './http-connector.ts';
import type {TargetCall, TargetFrame, TargetPool} from '#core';
import {startHttpServer} from '#http';

type HttpListener = Parameters<typeof startHttpServer>[0];

const pool: TargetPool = {
	name: 'language', kind: 'engine', pieceTokens: 1, checksFencing: true, loadsAtOnce: 1, minLoaded: 1, slots: 1, targets: [],
};
const call: TargetCall = {
	attemptId: 'a1', requestId: 'q1', customer: 'c', chain: [], pieceTokens: [], priority: 0, remainingMs: 1000, resumeOffset: 0, deliveredText: '',
	shouldUseNewConnection: false, importKeys: [], work: {
		kind: 'chat', messages: [{role: 'user', content: 'x'}], maxTokens: 1, extra: {},
	},
};

async function run(listener: HttpListener, options: Partial<TargetCall> = {}): Promise<readonly TargetFrame[]> {
	const server = await startHttpServer(listener, '127.0.0.1:0');
	const link = createHttpConnector().open(pool, {name: 'e1', address: server.address, zone: 'z'});
	const frames: TargetFrame[] = [];
	for await (const frame of link.run({...call, ...options}, new AbortController().signal)) {
		frames.push(frame);
	}

	await link.close();
	await server.destroy();
	return frames;
}

const summarizeFrames = (frames: readonly TargetFrame[]) => frames.map(frame => frame.kind === 'fault' ? frame.outcome : frame.kind).join(' ');
const streamEvents = (...texts: readonly string[]): HttpListener => (_req, res) => {
	res.writeHead(200, {'content-type': 'text/event-stream'});
	for (const text of texts) {
		res.write(text);
	}

	res.end();
};

const dataEvent = 'data: {"type":"data","attempt":"a1","offset":0,"base64":"YQ=="}\n\n';

t.test('ends the attempt at a malformed event', async t => {
	t.equal(summarizeFrames(await run(streamEvents(dataEvent, 'data: {"type":\n\n', dataEvent))), 'data unknown');
	t.equal(summarizeFrames(await run(streamEvents('data: {"type":"data","attempt":"a1","offset":"x"}\n\n'))), 'unknown');
	t.equal(summarizeFrames(await run(streamEvents(dataEvent))), 'data unknown', 'a clean close without an end event is a fault');
	t.equal(summarizeFrames(await run(streamEvents(dataEvent, 'data: {"type":"end","attempt":"a1","finish":"stop"}\n\n', dataEvent))), 'data end');
});

t.test('limits the size of an event', async t => {
	const chunk = 'x'.repeat(1_000_000);
	const frames = await run(streamEvents('data: ', ...Array.from({length: 20}, () => chunk)));
	t.equal(summarizeFrames(frames), 'unknown');
	t.match(frames, [{detail: /more than/v}]);
});

t.test('reads the retry time of an engine that refuses', async t => {
	const frames = await run((_req, res) => {
		res.writeHead(503, {'retry-after': '2', 'x-attempt-id': 'a1'}).end();
	});
	t.match(frames, [{kind: 'fault', outcome: 'refused', retryAfterMs: 2000}]);
});

// Guards against "not run" for a request that runs, as an earlier refusal is taken for its own.
t.test('a refusal is believed if it names the attempt, or none on a new connection', async t => {
	for (const [statedId, shouldUseNewConnection, expected] of [
		['a1', false, 'refused'], ['a1', true, 'refused'], ['a0', false, 'unknown'], ['a0', true, 'unknown'], [undefined, false, 'unknown'], [undefined, true, 'refused'],
	] as const) {
		const refuse: HttpListener = (_req, res) => {
			res.writeHead(503, statedId === undefined ? {} : {'x-attempt-id': statedId}).end();
		};

		const label = `${statedId} ${shouldUseNewConnection}`;
		t.equal(summarizeFrames(await run(refuse, {shouldUseNewConnection})), expected, label);
		const event = JSON.stringify({
			type: 'error', ran: false, detail: 'no', attempt: statedId,
		});
		t.equal(summarizeFrames(await run(streamEvents(`data: ${event}\n\n`), {shouldUseNewConnection})), expected, `event ${label}`);
	}
});

// Guards against the copy of an earlier answer that is taken for the answer to an order.
t.test('an order opens a connection', async t => {
	const ports = new Set<number | undefined>();
	const server = await startHttpServer((req, res) => {
		ports.add(req.socket.remotePort);
		res.end(JSON.stringify({accepted: true, fencing: 1, lastOrderId: 'o1'}));
	}, '127.0.0.1:0');
	const link = createHttpConnector().open(pool, {name: 'e1', address: server.address, zone: 'z'});
	const {signal} = new AbortController();
	for (let sent = 0; sent < 3; sent++) {
		const receipt = await link.sendOrder({
			kind: 'load', model: 'm', value: 'v1', fencing: 1, orderId: 'o1',
		}, signal);
		t.ok(receipt.ok);
	}

	t.equal(ports.size, 3);
	await link.close();
	await server.destroy();
});
