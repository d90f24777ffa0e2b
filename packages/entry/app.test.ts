import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import t from 'tap';
import {request} from 'undici';
import {createEntryApp, type HandleRequest} from './app.ts';
import {ManualClock} from '#clock';
import {makeRefusal, type AnswerEvent, type Refusal} from '#core';
import {startHttpServer} from '#http';

const head: AnswerEvent = {
	kind: 'head', target: 'e1', status: 200, cachedTokens: 0, replayed: false,
};
const data: AnswerEvent = {kind: 'data', bytes: Buffer.from('hej')};
const end: AnswerEvent = {kind: 'end', finish: 'stop'};
const refused: AnswerEvent = {kind: 'refused', refusal: makeRefusal('target_lost', {ran: 'ran', retryAfterMs: 1500})};
const chat = {model: 'chat', messages: [{role: 'user', content: 'x'}]};

async function start(handle: HandleRequest) {
	const refusals: Refusal[] = [];
	const clock = new ManualClock();
	const app = createEntryApp({
		handle, clock, maxBodyBytes: 1_000_000, countRefusal(refusal) {
			refusals.push(refusal);
		},
	});
	const server = await startHttpServer(app, '127.0.0.1:0');
	t.teardown(async () => server.destroy());
	const send = async (body: unknown, path = '/v1/chat/completions', headers: Readonly<Record<string, string>> = {}) => request(`http://${server.address}${path}`, {
		method: 'POST', headers: {'content-type': 'application/json', ...headers}, body: typeof body === 'string' ? body : JSON.stringify(body),
	});
	return {
		clock, server, refusals, send,
	};
}

/** Answers every request with these events. */
function play(...events: readonly AnswerEvent[]): HandleRequest {
	return async function * () {
		yield * events;
	};
}

t.test('refuses requests that it cannot read, and says why', async t => {
	const {send, refusals} = await start(play(head, end));
	const tiny = Array.from({length: 10_000}, () => ({role: 'user', content: ''}));
	const deep = '['.repeat(5000) + ']'.repeat(5000);
	const cases = [
		['{"model":', 400, /JSON/v],
		[[], 400, /model|object/v],
		[{messages: chat.messages}, 400, /"model"/v],
		[{...chat, messages: []}, 400, /"messages"/v],
		[{...chat, messages: tiny}, 400, /"messages"/v],
		[{...chat, max_tokens: -1}, 400, /"max_tokens"/v],
		[{...chat, messages: [{role: 'user', content: 7}]}, 400, /"messages.0.content"/v],
		[`${JSON.stringify(chat).slice(0, -1)},"tools":${deep}}`, 400, /nested/v],
		[{...chat, messages: [{role: 'user', content: 'x'.repeat(1_100_000)}]}, 413, /larger/v],
	] as const;
	for (const [body, status, pattern] of cases) {
		const answer = await send(body);
		t.equal(answer.statusCode, status);
		t.match(await answer.body.json(), {error: {message: pattern, ran: 'not_run'}});
	}

	t.equal(refusals.length, cases.length, 'each is counted');
	const keyed = await send('x', '/services/ledger/movements', {'idempotency-key': 'k'.repeat(300)});
	t.equal(keyed.statusCode, 400);
	await keyed.body.dump();
});

t.test('ends a complete stream with its mark', async t => {
	const {send} = await start(play(head, data, end));
	const answer = await send({...chat, stream: true});
	const text = await answer.body.text();
	t.match(text, /hej/v);
	t.ok(text.endsWith('data: [DONE]\n\n'));
});

t.test('keeps a byte order mark that the answer begins with', async t => {
	const marked: AnswerEvent = {kind: 'data', bytes: new Uint8Array([0xEF, 0xBB, 0xBF, 0x68])};
	for (const stream of [false, true]) {
		const {send} = await start(play(head, marked, end));
		const answer = await send({...chat, stream});
		t.match(await answer.body.text(), '"content":"\uFEFFh"');
	}
});

t.test('says when to come back', async t => {
	const {send} = await start(play(refused));
	for (const stream of [false, true]) {
		const answer = await send({...chat, stream});
		t.equal(answer.statusCode, 502);
		t.equal(answer.headers['retry-after'], '2');
		t.match(await answer.body.json(), {error: {code: 'target_lost', ran: 'ran', retryAfterMs: 1500}});
	}
});

t.test('never ends an incomplete answer cleanly', async t => {
	for (const events of [[head, data, refused], [head, data]]) {
		const {send} = await start(play(...events));
		const answer = await send({...chat, stream: true});
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
			await t.rejects(send(chat));
			await t.rejects(send('x', '/services/ledger/movements'));
		}
	}
});

t.test('bounds what it holds for a caller that does not read, and cuts it off', async t => {
	let pulled = 0;
	const left = new AbortController();
	const {server, clock} = await start(async function * (_request, signal) {
		signal.addEventListener('abort', () => {
			left.abort();
		});
		yield head;
		while (!signal.aborted) {
			pulled++;
			yield {kind: 'data', bytes: Buffer.alloc(65_536, 'x')};
		}
	});
	const socket = connect(Number(server.address.split(':')[1]), '127.0.0.1');
	socket.pause();
	const body = JSON.stringify({...chat, stream: true});
	socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
	let before = -1;
	let still = 0;
	for (let turn = 0; turn < 20_000 && still < 200; turn++) {
		await clock.settle();
		still = pulled > 0 && pulled === before ? still + 1 : 0;
		before = pulled;
	}

	t.ok(pulled < 500, `${pulled} chunks of 64 KiB`);
	await clock.advance(30_000);
	for (let turn = 0; turn < 20_000 && !left.signal.aborted; turn++) {
		await clock.settle();
	}

	t.ok(left.signal.aborted);
	socket.destroy();
});
