/** Targets that send an answer twice, and streams that are slow or stall. */
import t from 'tap';
import {
	formatChunk, formatEvent, onceRoute, safeRoute, startRelay, streamHead, streamRoute,
} from './testing/relay.ts';
import type {RawReply, RawScript} from '#standins';

function formatAnswer(id: string): string {
	return `HTTP/1.1 200 OK\r\nx-signed: s-${id}\r\nx-id: ${id}\r\ncontent-length: ${id.length}\r\n\r\n${id}`;
}

for (const [name, route] of [['safe', safeRoute], ['must not run twice', onceRoute]] as const) {
	// Guards against the copy of an answer that is taken for the answer to the next request on its connection.
	t.test(`a late second copy of an answer reaches no other caller, of a request that ${name === 'safe' ? 'is safe' : name}`, async t => {
		let first: RawReply | undefined;
		const script: RawScript = (request, reply) => {
			const id = String(request.headers['x-id']);
			if (id === 'a') {
				first = reply;
			} else {
				// The copy stands where the answer to this request is expected.
				first?.write(formatAnswer('a'));
			}

			reply.write(formatAnswer(id));
		};

		const setup = await startRelay(t, script);
		const a = setup.startRequest(route, 0, 'a');
		await setup.waitUntil(a.isDone);
		t.equal(a.caller.text, 'a');
		const b = setup.startRequest(route, 0, 'b');
		await setup.waitUntil(b.isDone);
		t.notMatch(b.caller.text, 'a');
		const c = setup.startRequest(route, 0, 'c');
		await setup.waitUntil(c.isDone);
		t.equal(c.caller.text, 'c', 'the connection with the copy is not used again');
	});
}

// Guards against slow but sound streams that are taken for stalled ones.
t.test('a stream whose events come slowly is not cut', async t => {
	const setup = await startRelay(t, (_request, reply) => {
		reply.write(streamHead);
		for (let event = 1; event <= 4; event++) {
			setup.clock.setTimer(event * 550, () => {
				reply.write(`${formatEvent(event)}${event === 4 ? '0\r\n\r\n' : ''}`);
			});
		}
	});
	const {caller, isDone} = setup.startRequest(streamRoute);
	await setup.waitUntil(isDone);
	t.strictSame([caller.records.at(-1), caller.text.split('data').length - 1, setup.raw[0]!.requests.length], ['end', 4, 1]);
});

// Guards against stalled streams that live for ever, as a byte now and then counts as progress.
t.test('a stream that drips bytes without completing an event ends at the deadline', async t => {
	let isDripping = true;
	const setup = await startRelay(t, (_request, reply) => {
		reply.write(streamHead);
		const drip = () => {
			reply.write(formatChunk('x'));
			if (isDripping) {
				setup.clock.setTimer(200, drip);
			}
		};

		drip();
	});
	const {caller, isDone} = setup.startRequest(streamRoute);
	const startMs = setup.clock.now();
	await setup.waitUntil(isDone);
	isDripping = false;
	t.ok(setup.clock.now() - startMs <= streamRoute.timeoutMs + 100, `it ends after ${setup.clock.now() - startMs} ms`);
	t.notOk(caller.records.includes('end'));
});
