import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import t from 'tap';
import {request} from 'undici';
import {createEntryApp, type RequestHandler} from './app.ts';
import {createSystemClock, ManualClock} from '#clock';
import {createRefusal, type AnswerEvent, type Refusal} from '#core';
import {startHttpServer} from '#http';

const headEvent: AnswerEvent = {
	kind: 'head', target: 'e1', status: 200, cachedTokens: 0, isReplayed: false,
};
const dataEvent: AnswerEvent = {kind: 'data', bytes: Buffer.from('hej')};
const endEvent: AnswerEvent = {kind: 'end', finish: 'stop'};
const refusedEvent: AnswerEvent = {kind: 'refused', refusal: createRefusal('target_lost', {ran: 'ran', retryAfterMs: 1500})};
const chatBody = {model: 'chat', messages: [{role: 'user', content: 'x'}]};

async function startApp(handleRequest: RequestHandler) {
	const refusals: Refusal[] = [];
	const errors: unknown[] = [];
	const clock = new ManualClock();
	const app = createEntryApp({
		handleRequest, clock, maxBodyBytes: 1_000_000, countRefusal(refusal) {
			refusals.push(refusal);
		}, handleError(error) {
			errors.push(error);
		},
	});
	const server = await startHttpServer(app, '127.0.0.1:0');
	t.teardown(async () => server.destroy());
	const send = async (body: unknown, path = '/v1/chat/completions', headers: Readonly<Record<string, string>> = {}) => request(`http://${server.address}${path}`, {
		method: 'POST', headers: {'content-type': 'application/json', ...headers}, body: typeof body === 'string' ? body : JSON.stringify(body),
	});
	return {
		clock, server, refusals, errors, send,
	};
}

/** Answers every request with these events. */
function createEventHandler(...events: readonly AnswerEvent[]): RequestHandler {
	return async function * () {
		yield * events;
	};
}

t.test('refuses malformed requests with a reason', async t => {
	const {send, refusals} = await startApp(createEventHandler(headEvent, endEvent));
	const tooManyMessages = Array.from({length: 10_000}, () => ({role: 'user', content: ''}));
	const deepArray = '['.repeat(5000) + ']'.repeat(5000);
	const cases = [
		['{"model":', 400, /JSON/v],
		[[], 400, /model|object/v],
		[{messages: chatBody.messages}, 400, /"model"/v],
		[{...chatBody, messages: []}, 400, /"messages"/v],
		[{...chatBody, messages: tooManyMessages}, 400, /"messages"/v],
		[{...chatBody, max_tokens: -1}, 400, /"max_tokens"/v],
		[{...chatBody, messages: [{role: 'user', content: 7}]}, 400, /"messages.0.content"/v],
		[`${JSON.stringify(chatBody).slice(0, -1)},"tools":${deepArray}}`, 400, /nested/v],
		[{...chatBody, messages: [{role: 'user', content: 'x'.repeat(1_100_000)}]}, 413, /larger/v],
	] as const;
	for (const [body, status, pattern] of cases) {
		const answer = await send(body);
		t.equal(answer.statusCode, status);
		t.match(await answer.body.json(), {error: {message: pattern, ran: 'not_run'}});
	}

	t.equal(refusals.length, cases.length, 'each refusal is counted');
	const longKeyAnswer = await send('x', '/services/ledger/movements', {'idempotency-key': 'k'.repeat(300)});
	t.equal(longKeyAnswer.statusCode, 400);
	await longKeyAnswer.body.dump();
});

// Guards against refusals before the body is read that are lost because the connection is reset, as in a stop, whose answers close it.
t.test('a refusal reaches a caller that is still sending its body', async t => {
	const {server} = await startApp(createEventHandler(headEvent, endEvent));
	const clock = createSystemClock();
	for (const path of ['/nowhere', '/v1/chat/completions']) {
		const socket = connect(Number(server.address.split(':')[1]), '127.0.0.1');
		socket.on('error', () => {
			// A reset is what the test guards against.
		});
		socket.pause();
		socket.write(`POST ${path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-type: text/plain\r\ncontent-length: 900000\r\n\r\n`);
		for (let chunk = 0; chunk < 90; chunk++) {
			socket.write('x'.repeat(10_000));
			await clock.sleep(1);
		}

		let text = '';
		socket.on('data', chunk => {
			text += chunk.toString();
		});
		socket.resume();
		await Promise.race([once(socket, 'close'), clock.sleep(2000)]);
		t.match(text, /^HTTP\/1\.1 40\d [\s\S]*not_run/v, path);
	}
});

t.test('ends a complete stream with [DONE]', async t => {
	const {send} = await startApp(createEventHandler(headEvent, dataEvent, endEvent));
	const answer = await send({...chatBody, stream: true});
	const text = await answer.body.text();
	t.match(text, /hej/v);
	t.ok(text.endsWith('data: [DONE]\n\n'));
});

t.test('keeps a byte order mark that the answer begins with', async t => {
	const markedEvent: AnswerEvent = {kind: 'data', bytes: new Uint8Array([0xEF, 0xBB, 0xBF, 0x68])};
	for (const stream of [false, true]) {
		const {send} = await startApp(createEventHandler(headEvent, markedEvent, endEvent));
		const answer = await send({...chatBody, stream});
		t.match(await answer.body.text(), '"content":"\uFEFFh"');
	}
});

t.test('states the retry time of a refusal', async t => {
	const {send} = await startApp(createEventHandler(refusedEvent));
	for (const stream of [false, true]) {
		const answer = await send({...chatBody, stream});
		t.equal(answer.statusCode, 502);
		t.equal(answer.headers['retry-after'], '2');
		t.match(await answer.body.json(), {error: {code: 'target_lost', ran: 'ran', retryAfterMs: 1500}});
	}
});

t.test('never ends an incomplete answer cleanly', async t => {
	for (const events of [[headEvent, dataEvent, refusedEvent], [headEvent, dataEvent]]) {
		const {send} = await startApp(createEventHandler(...events));
		const answer = await send({...chatBody, stream: true});
		let text = '';
		const read = async () => {
			for await (const chunk of answer.body) {
				text += String(chunk);
			}
		};

		await t.rejects(read());
		t.match(text, /hej/v);
		t.equal(text.includes('"target_lost"'), events.length === 3);
		t.notMatch(text, /DONE/v);
		if (events.length === 2) {
			await t.rejects(send(chatBody));
			await t.rejects(send('x', '/services/ledger/movements'));
		}
	}
});

// Guards against the text of an error inside a stream, and against requests without an answer that leave no trace.
t.test('an error inside a stream breaks it off and is reported', async t => {
	const {send, errors} = await startApp(async function * () {
		yield headEvent;
		yield dataEvent;
		await createSystemClock().sleep(50);
		throw Object.assign(new Error('secret detail'), {status: 400});
	});
	const answer = await send({...chatBody, stream: true});
	let text = '';
	await t.rejects(async () => {
		for await (const chunk of answer.body) {
			text += String(chunk);
		}
	});
	t.notMatch(text, /secret|DONE/v);
	t.match(errors, [{message: 'secret detail'}]);
});

t.test('buffers a limited amount of data for a caller that does not read, and disconnects it', async t => {
	let pulledChunks = 0;
	const abortController = new AbortController();
	const {server, clock} = await startApp(async function * (_request, signal) {
		signal.addEventListener('abort', () => {
			abortController.abort();
		});
		yield headEvent;
		while (!signal.aborted) {
			pulledChunks++;
			yield {kind: 'data', bytes: Buffer.alloc(65_536, 'x')};
		}
	});
	const socket = connect(Number(server.address.split(':')[1]), '127.0.0.1');
	socket.pause();
	const body = JSON.stringify({...chatBody, stream: true});
	socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
	let previousChunks = -1;
	let unchangedTurns = 0;
	for (let turn = 0; turn < 20_000 && unchangedTurns < 200; turn++) {
		await clock.runPendingCallbacks();
		unchangedTurns = pulledChunks > 0 && pulledChunks === previousChunks ? unchangedTurns + 1 : 0;
		previousChunks = pulledChunks;
	}

	t.ok(pulledChunks < 500, `${pulledChunks} chunks of 64 KiB`);
	await clock.advance(30_000);
	for (let turn = 0; turn < 20_000 && !abortController.signal.aborted; turn++) {
		await clock.runPendingCallbacks();
	}

	t.ok(abortController.signal.aborted);
	socket.destroy();
});
