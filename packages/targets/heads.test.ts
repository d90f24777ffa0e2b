/** Answers of engines and services that break off inside their head, or whose head is joined with another answer. */
import t, {type Test} from 'tap';
import {createHttpConnector} from './http-connector.ts';
import type {TargetCall, TargetLink, TargetPool} from '#core';
import {
	listBrokenHeads, listJoinedHeads, startRawTarget, type RawReply, type RawScript,
} from '#standins';

const pool: TargetPool = {
	name: 'p', kind: 'service', pieceTokens: 1, checksFencing: true, loadsAtOnce: 1, minLoaded: 1, slots: 1, targets: [],
};
const call: TargetCall = {
	attemptId: 'a1', requestId: 'q1', customer: 'c', chain: [], pieceTokens: [], priority: 0, remainingMs: 1000, resumeOffset: 0, deliveredText: '',
	shouldUseNewConnection: false, importKeys: [], work: {
		kind: 'call', method: 'GET', path: '/', body: new Uint8Array(0),
	},
};
const report = JSON.stringify({
	incarnation: 'e', running: 0, queued: 0, queuedTokens: 0, prefillTokensPerMs: 1, tokenGapMs: 1, ageMs: 0, leaving: false, cacheSequence: 0, loading: false,
});

const closings: ReadonlyArray<(reply: RawReply) => void> = [
	reply => {
		reply.close();
	},
	reply => {
		reply.reset();
	},
];

async function open(t: Test, kind: TargetPool['kind'], script: RawScript) {
	const raw = await startRawTarget(script);
	const link = createHttpConnector({maxConnections: 1}).open({...pool, kind}, {name: 's1', address: raw.address, zone: 'z'});
	t.teardown(async () => {
		await link.close();
		await raw.close();
	});
	return {raw, link};
}

async function run(link: TargetLink, options: Partial<TargetCall> = {}): Promise<string> {
	const frames: string[] = [];
	for await (const frame of link.run({...call, ...options}, new AbortController().signal)) {
		frames.push(frame.kind === 'fault' ? frame.outcome : frame.kind);
	}

	return frames.join(' ');
}

/** Answers the first request with a report, and the others with a text. */
function answerAfterReport(text: string, close: (reply: RawReply) => void): RawScript {
	return ({path}, reply) => {
		if (path === '/report') {
			reply.write(`HTTP/1.1 200 OK\r\ncontent-length: ${report.length}\r\n\r\n${report}`);
		} else {
			reply.write(text);
			close(reply);
		}
	};
}

const {signal} = new AbortController();
const chat: TargetCall['work'] = {
	kind: 'chat', messages: [{role: 'user', content: 'x'}], maxTokens: 1, extra: {},
};
const order = {
	orderId: 'o', fencing: 1, weights: 'w', model: 'm',
};

t.test('an answer that breaks off inside its head is none, and its connection is not reused', async t => {
	for (const text of listBrokenHeads('x-attempt-id: a1\r\n')) {
		for (const close of closings) {
			for (const options of [{}, {shouldUseNewConnection: true}, {
				work: {
					kind: 'call', method: 'HEAD', path: '/', body: new Uint8Array(0),
				},
			}, {
				work: {
					kind: 'call', method: 'POST', path: '/', body: new Uint8Array(3),
				},
			}] as const) {
				const {raw, link} = await open(t, 'service', answerAfterReport(text, close));
				t.match(await link.readReport(signal), {ok: true});
				t.equal(await run(link, options), 'unknown', JSON.stringify(text));
				t.equal(raw.requests.length, 2, 'the request is sent once');
				t.match(await link.readReport(signal), {ok: true});
				t.not(raw.requests[2]!.connectionNumber, raw.requests[1]!.connectionNumber, 'the next request is sent on another connection');
			}

			const {raw, link} = await open(t, 'engine', answerAfterReport(text, close));
			t.match(await link.readReport(signal), {ok: true});
			t.equal(await run(link, {work: chat}), 'unknown', JSON.stringify(text));
			t.match(await link.sendOrder(order as never, signal), {ok: false, error: {outcome: 'unknown'}}); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the answer does not depend on the order
			t.match(await link.readCacheEvents(0, signal), {ok: false, error: {outcome: 'unknown'}});
			t.equal(raw.requests.length, 4, 'each request is sent once');
		}
	}
});

// Guards against a success, or a proof that the request did not run, from a head that never ended.
t.test('a head that is joined with another answer is none', async t => {
	const follower = 'HTTP/1.1 500 Oh\r\nx-attempt-id: a1\r\nx-not-run: 0\r\ncontent-length: 0\r\n\r\n';
	for (const [status, lines] of [[200, 'x-attempt-id: a1\r\n'], [503, 'x-attempt-id: a1\r\nx-not-run: 1\r\n']] as const) {
		for (const text of listJoinedHeads(status, lines, follower)) {
			for (const shouldUseNewConnection of [false, true]) {
				const service = await open(t, 'service', answerAfterReport(text, closings[0]!));
				t.equal(await run(service.link, {shouldUseNewConnection}), 'unknown', JSON.stringify(text));
				const engine = await open(t, 'engine', answerAfterReport(text, closings[0]!));
				t.equal(await run(engine.link, {work: chat, shouldUseNewConnection}), 'unknown', JSON.stringify(text));
				t.match(await engine.link.sendOrder(order as never, signal), {ok: false, error: {outcome: 'unknown'}}); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the answer does not depend on the order
			}
		}
	}
});

t.test('an answer with another transfer coding than chunked is none', async t => {
	for (const coding of ['gzip', 'identity', 'gzip, chunked']) {
		const {link} = await open(t, 'service', answerAfterReport(`HTTP/1.1 200 OK\r\ntransfer-encoding: ${coding}\r\n\r\n2\r\nok\r\n0\r\n\r\n`, closings[0]!));
		t.equal(await run(link), 'unknown', coding);
	}
});
