/** Answers that break off inside their head, for each kind of route, on new and on kept connections, and through a peer. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {encodeRelayedRequest, PeerExchange} from './peer-exchange.ts';
import {serveRelayedRequests} from './peer-relay-server.ts';
import {
	createHeldBodies, formatChunk, onceRoute, pool, runRequest, safeRoute, sendText, sendTextAndClose, startRelay, streamRoute,
} from './testing/relay.ts';
import type {RelayRequest, RelayRoute} from '#core';
import {PeerNetworkStandin, type RawReply, type RawScript} from '#standins';
import {createTelemetry} from '#telemetry';

const firstEvent = 'id: 1\ndata: e1\n\n';
const secondEvent = 'id: 2\ndata: e2\n\n';
const named = 'HTTP/1.1 200 OK\r\nx-signed: s1\r\nx-id: a\r\n';

/** Answers by the framing of their body; each is cut inside its head. */
const heads = {
	length: `${named}content-length: 2\r\n\r\n`,
	chunked: `${named}transfer-encoding: chunked\r\n\r\n`,
	connection: `${named}connection: close\r\n\r\n`,
	failure: 'HTTP/1.1 500 Oh\r\nx-signed: s1\r\nx-id: a\r\ncontent-length: 2\r\n\r\n',
	'interim, then length': `HTTP/1.1 103 Early\r\nx-note: 1\r\n\r\n${named}content-length: 2\r\n\r\n`,
	'interim and close, then length': `HTTP/1.1 103 Early\r\nconnection: close\r\n\r\n${named}content-length: 2\r\n\r\n`,
} as const;

const closings: Readonly<Record<string, (reply: RawReply) => void>> = {
	closed(reply) {
		reply.close();
	},
	reset(reply) {
		reply.reset();
	},
};

const kinds: Readonly<Record<string, RelayRoute>> = {
	'request that must not run twice': onceRoute,
	'safe request': {...safeRoute, maxTargets: 1},
	stream: {...streamRoute, maxTargets: 1},
	'stream that must not run twice': {...streamRoute, retryPolicy: 'once', maxTargets: 1},
};

/** Id of the request that comes before the one whose answer breaks off, on the same connection. */
const earlierId = 'earlier';
const earlierAnswer = `HTTP/1.1 200 OK\r\nx-signed: s0\r\nx-id: ${earlierId}\r\ncontent-length: 2\r\n\r\nok`;

/** Answers the earlier request, and any other by the script. */
function answerAfterEarlier(script: RawScript): RawScript {
	return (request, reply) => {
		if (request.headers['x-id'] === earlierId) {
			reply.write(earlierAnswer);
		} else {
			script(request, reply);
		}
	};
}

/** Runs a request on a connection that has carried an earlier one. */
async function runSecondRequest(t: Test, route: RelayRoute, script: RawScript) {
	const setup = await startRelay(t, answerAfterEarlier(script));
	const earlier = setup.startRequest(safeRoute, 0, earlierId);
	await setup.waitUntil(() => earlier.isDone() && setup.targets.list()[0]!.connections.hasIdle);
	const {caller, isDone} = setup.startRequest(route);
	await setup.waitUntil(isDone);
	return {...setup, caller};
}

const lost = ['refused 502 target_lost unknown'];

for (const [headName, head] of Object.entries(heads)) {
	for (const [closingName, close] of Object.entries(closings)) {
		for (const [kindName, route] of Object.entries(kinds)) {
			// Guards against a head that never ended and becomes a status for its caller.
			t.test(`not an answer: ${kindName}, head of ${headName}, ${closingName} at many places`, async t => {
				const step = route === onceRoute && closingName === 'closed' ? 1 : 11;
				for (let length = 0; length < head.length; length += step) {
					const script: RawScript = (_request, reply) => {
						reply.write(head.slice(0, length));
						close(reply);
					};

					await t.test(`${length} bytes`, async t => {
						const {caller, raw, targets} = length % 2 === 0 ? await runRequest(t, route, script) : await runSecondRequest(t, route, script);
						t.strictSame([caller.records, caller.text], [lost, '']);
						t.equal(raw[0]!.requests.length, 1 + (length % 2), 'the target gets the request once');
						t.equal(targets.list()[0]!.connections.size, 0, 'the connection is not reused');
					});
				}
			});
		}
	}
}

/** Heads that break off at places of their own, without what follows. */
const places: Readonly<Record<string, string>> = {
	'the status line': 'HTTP/1.1 200 OK\r\n',
	'a header line': named,
	'a header name': `${named}x-no`,
	'a length': `${named}content-length: 2`,
	'a line without its line feed': `${named}content-length: 2\r`,
	'the first half of the blank line': `${named}content-length: 2\r\n\r`,
	'an interim answer': 'HTTP/1.1 103 Early\r\nx-note: 1\r\n\r\n',
	'an interim answer that announces a close': 'HTTP/1.1 103 Early\r\nconnection: close\r\n\r\n',
	'the head after an interim answer': `HTTP/1.1 103 Early\r\n\r\n${named}`,
	'two interim answers': 'HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 102 Working\r\n\r\nHTTP/1.1 2',
};

const streamHead = `${named}transfer-encoding: chunked\r\n\r\n`;

/** Sends the first event of a stream and breaks off. */
const breakOffStream = sendTextAndClose(`${streamHead}${formatChunk(firstEvent)}${formatChunk('id: 2\nda')}`);
const continueStream = sendText(`${streamHead}${formatChunk(firstEvent)}${formatChunk(secondEvent)}0\r\n\r\n`);
const answerOk = sendText(`${named}content-length: 2\r\n\r\nok`);

for (const [placeName, text] of Object.entries(places)) {
	for (const [closingName, close] of Object.entries(closings)) {
		const breakOff: RawScript = (_request, reply) => {
			reply.write(text);
			close(reply);
		};

		// Guards against a safe request that fails although another target answers.
		t.test(`a safe request goes to another target, ${closingName} after ${placeName}`, async t => {
			const {caller, counts} = await runRequest(t, safeRoute, breakOff, answerOk);
			t.strictSame([caller.records, caller.text, counts], [['200 s1', 'end'], 'ok', [1, 1]]);
		});

		t.test(`a safe request that no budget covers fails, ${closingName} after ${placeName}`, async t => {
			const setup = await startRelay(t, breakOff, answerOk);
			while (setup.budget.acquire('p', false)) {
				// Spends the budget.
			}

			const {caller, isDone} = setup.startRequest(safeRoute);
			await setup.waitUntil(isDone);
			t.equal(caller.refusal?.status === 502 || caller.refusal?.status === 503, true, caller.records.join(', '));
			t.not(caller.refusal?.ran, 'not_run', 'the request may have run');
			t.equal(setup.raw[1]!.requests.length, 0);
		});

		// Guards against a stream that goes on with another event than the next, or ends as complete.
		t.test(`a stream goes on elsewhere after its last event, ${closingName} after ${placeName}`, async t => {
			const {caller, raw} = await runRequest(t, {...streamRoute, maxTargets: 3}, breakOffStream, breakOff, continueStream);
			t.strictSame([caller.records, caller.text], [['200 s1', 'end'], firstEvent + secondEvent]);
			for (const {requests} of raw.slice(1)) {
				t.ok(requests.every(({headers}) => headers['x-after'] === '1'), 'the continuation is asked for after the last event');
			}
		});

		t.test(`a stream that cannot go on elsewhere is aborted, ${closingName} after ${placeName}`, async t => {
			const {caller, counts} = await runRequest(t, streamRoute, breakOffStream, breakOff);
			t.strictSame([caller.records, caller.text, counts], [['200 s1', 'aborted'], firstEvent, [1, 1]]);
		});

		t.test(`a stream that its caller takes up goes on at another target, ${closingName} after ${placeName}`, async t => {
			const {raw, startRequest, waitUntil} = await startRelay(t, breakOff, continueStream);
			const {caller, isDone} = startRequest(streamRoute, 0, 'a', {lastEventId: '1'});
			await waitUntil(isDone);
			t.strictSame([caller.records, caller.text], [['200 s1', 'end'], secondEvent]);
			t.equal(raw[1]!.requests[0]?.headers['x-after'], '1');
		});
	}
}

// Guards against a body that is complete although its first chunk header broke off.
t.test('an answer that breaks off inside the header of a chunk is not complete', async t => {
	for (const text of ['', '2', '2\r', '2\r\n', '2;x=', '0', '0\r', '0\r\n', '0\r\nx-trailer: 1', '0\r\nx-trailer: 1\r\n']) {
		for (const [name, close] of Object.entries(closings)) {
			for (const line of ['', 'connection: close\r\n']) {
				const {caller, targets} = await runRequest(t, onceRoute, (_request, reply) => {
					reply.write(`${named}${line}transfer-encoding: chunked\r\n\r\n${text}`);
					close(reply);
				});
				t.strictSame([caller.records, targets.list()[0]!.connections.size], [lost, 0], `${JSON.stringify(text)} ${line} ${name}`);
			}
		}
	}
});

// Guards against heads that other parsers read differently.
t.test('a head that ends its lines with bare line feeds, or folds a line, is no answer', async t => {
	for (const text of [
		'HTTP/1.1 200 OK\nx-signed: s1\nx-id: a\ncontent-length: 2\n\nok',
		`${named}content-length: 2\r\n\nok`,
		`${named}content-length: 2\n\r\nok`,
		`${named}content-length: 2\n\nok`,
		`${named}\nok`,
		`${named}x-note: 1\r\n 2\r\ncontent-length: 2\r\n\r\nok`,
		`${named}content-length: 1\r\n 2\r\n\r\nok`,
		`${named}content-length\r\n : 2\r\n\r\nok`,
	]) {
		for (const run of [runRequest, runSecondRequest]) {
			const {caller, targets} = await run(t, onceRoute, sendTextAndClose(text));
			t.strictSame([caller.records, caller.text, targets.list()[0]!.connections.size], [lost, '', 0], JSON.stringify(text));
		}
	}
});

/** Writes one byte in each turn of the event loop, so that the head arrives in many parts. */
function writeInParts(text: string): RawScript {
	return (_request, reply) => {
		void (async () => {
			for (const byte of text) {
				reply.write(byte);
				await nextTurn();
			}
		})();
	};
}

t.test('a head that arrives in many parts is read as one', async t => {
	for (const run of [runRequest, runSecondRequest]) {
		const {caller} = await run(t, safeRoute, writeInParts(`HTTP/1.1 103 Early\r\n\r\n${heads.length}ok`));
		t.strictSame([caller.records, caller.text], [['200 s1', 'end'], 'ok']);
	}
});

// Guards against an answer to HEAD, which ends with its head, that is complete before the head is.
t.test('an answer to HEAD that breaks off inside its head is not complete', async t => {
	for (const text of Object.values(places)) {
		for (const [name, close] of Object.entries(closings)) {
			const setup = await startRelay(t, (_request, reply) => {
				reply.write(text);
				close(reply);
			});
			const {caller, isDone} = setup.startRequest({...safeRoute, maxTargets: 1}, 0, 'a', {method: 'HEAD'});
			await setup.waitUntil(isDone);
			t.strictSame([caller.records, setup.targets.list()[0]!.connections.size], [lost, 0], `${JSON.stringify(text)} ${name}`);
		}
	}
});

t.test('an answer with a status that has no body is not complete before its head is', async t => {
	for (const status of ['204 No Content', '304 Not Modified']) {
		for (const rest of ['', 'x-no', 'x-note: 1\r\n', 'x-note: 1\r\n\r']) {
			for (const [name, close] of Object.entries(closings)) {
				const {caller, targets} = await runSecondRequest(t, onceRoute, (_request, reply) => {
					reply.write(`HTTP/1.1 ${status}\r\nx-signed: s1\r\nx-id: a\r\n${rest}`);
					close(reply);
				});
				t.strictSame([caller.records, targets.list()[0]!.connections.size], [lost, 0], `${status} ${JSON.stringify(rest)} ${name}`);
			}
		}
	}
});

/** Lets a peer run a request at its target; returns how the answer arrives at the instance that has sent the request there. */
async function runThroughPeer(t: Test, route: RelayRoute, script: RawScript, lastEventId?: string): Promise<string> {
	const setup = await startRelay(t, script);
	const {clock, relay, waitUntil} = setup;
	const network = new PeerNetworkStandin(clock);
	const bus = network.join({name: 'here', zone: 'z', incarnation: 'here'});
	const peer = {name: 'there', zone: 'z', incarnation: 'there'};
	serveRelayedRequests({
		clock, telemetry: createTelemetry({level: 'silent'}), bus: network.join(peer), relay, heldBodies: createHeldBodies(clock), isReady: () => true,
	});
	const request: RelayRequest = {
		id: 'a', method: 'POST', path: '/x', headers: [], body: new Uint8Array(4), route, customer: undefined, prompt: undefined, cacheScope: undefined, lastEventId,
		resumedRequestId: undefined, softwareVersion: undefined, configurationVersion: 1, arrivedMs: clock.now(), deadlineMs: clock.now() + route.timeoutMs,
	};
	const exchange = new PeerExchange(() => clock.now());
	exchange.start(bus, peer, encodeRelayedRequest(request, pool, {
		remainingMs: route.timeoutMs, lastEventId, softwareVersion: undefined, maxTargets: 1,
	}));
	const ends: string[] = [];
	void (async () => {
		const read = await exchange.readHead();
		if (read.kind !== 'head') {
			ends.push(read.kind === 'refusal' ? `refusal ${read.refusal.status} ${read.refusal.reason} ${read.refusal.ran}` : 'fault');
			return;
		}

		for (;;) {
			const part = await exchange.readBody();
			if (part.kind !== 'data') {
				ends.push(`${read.head.status} ${part.kind}`);
				return;
			}
		}
	})();

	await waitUntil(() => ends.length > 0);
	return ends[0]!;
}

// Guards against a peer that makes an answer of a head that never ended.
t.test('an answer that breaks off inside its head at a peer is lost there', async t => {
	for (const [name, close] of Object.entries(closings)) {
		for (const [placeName, text] of Object.entries(places)) {
			for (const [route, lastEventId] of [[onceRoute], [safeRoute], [streamRoute], [streamRoute, '1']] as const) {
				t.equal(await runThroughPeer(t, route, (_request, reply) => {
					reply.write(text);
					close(reply);
				}, lastEventId), 'refusal 502 target_lost unknown', `${placeName} ${name}`);
			}
		}
	}

	t.equal(await runThroughPeer(t, onceRoute, answerOk), '200 end', 'a whole answer arrives');
	t.equal(await runThroughPeer(t, streamRoute, breakOffStream), '200 fault', 'a stream that breaks off is incomplete');
});
