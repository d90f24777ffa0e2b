/** The ways in which a target's answer can break off, for each kind of route and each framing of the body. */
import t from 'tap';
import {
	formatChunk, onceRoute, runRequest, safeRoute, startRelay, streamRoute,
} from './testing/relay.ts';
import type {RelayRoute} from '#core';
import type {RawReply, RawScript} from '#standins';

const firstEvent = 'id: 1\ndata: e1\n\n';
const secondEvent = 'id: 2\ndata: e2\n\n';

type Framing = Readonly<{
	name: string;
	/** Header lines, each with its line break. */
	headers: string;
	formatPart: (text: string) => string;
}>;

const returnText = (text: string) => text;

const framings: readonly Framing[] = [
	{name: 'no length', headers: '', formatPart: returnText},
	{name: 'chunked', headers: 'transfer-encoding: chunked\r\n', formatPart: formatChunk},
	{name: 'length', headers: 'content-length: 400000\r\n', formatPart: returnText},
];

type Closing = Readonly<{name: string; close: (reply: RawReply) => void}>;

const closings: readonly Closing[] = [
	{
		name: 'closed', close(reply) {
			reply.close();
		},
	},
	{
		name: 'reset', close(reply) {
			reply.reset();
		},
	},
];

/** Header line about the connection, and how the target ends it. */
const connections = ['', 'connection: close\r\n'].flatMap(line => closings.map(closing => [line, closing] as const));

type Kind = Readonly<{name: string; route: RelayRoute}>;

const streamKinds: readonly Kind[] = [
	{name: 'resumable stream', route: streamRoute},
	{name: 'stream that must not run twice', route: {...streamRoute, retryPolicy: 'once'}},
	{name: 'repeatable stream', route: {...streamRoute, retryPolicy: 'any'}},
];

const plainKinds: readonly Kind[] = [
	{name: 'safe request', route: safeRoute},
	{name: 'request that must not run twice', route: onceRoute},
];

type Break = Readonly<{name: string; parts: readonly string[]}>;

const streamBreaks: readonly Break[] = [
	{name: 'before the first event', parts: []},
	{name: 'inside the first event', parts: ['id: 1\nda']},
	{name: 'between events', parts: [firstEvent]},
	{name: 'inside a later event', parts: [firstEvent, 'id: 2\ndata: e2\n']},
];

const plainBreaks: readonly Break[] = [0, 2, 100_000, 300_000].map(size => ({name: `after ${size} bytes`, parts: size === 0 ? [] : ['x'.repeat(size)]}));

type Case = Readonly<{kind: Kind; framing: Framing; closing: Closing; connectionLine: string; place: Break}>;

function listCases(kinds: readonly Kind[], places: readonly Break[]): readonly Case[] {
	const cases: Case[] = [];
	for (const kind of kinds) {
		for (const framing of framings) {
			for (const [connectionLine, closing] of connections) {
				cases.push(...places.map(place => ({
					kind, framing, closing, connectionLine, place,
				})));
			}
		}
	}

	return cases;
}

/** Whether the bytes are those of a complete answer: without a length, a body ends where its connection is closed, but a stream does not end before its first event or inside an event. */
function isComplete({kind, framing, closing, place}: Case): boolean {
	return framing.name === 'no length' && closing.name === 'closed' && (!kind.route.isStream || place.name === 'between events');
}

function writePart({framing, connectionLine, place}: Case, reply: RawReply): void {
	reply.write(`HTTP/1.1 200 OK\r\nx-signed: s1\r\n${connectionLine}${framing.headers}\r\n${place.parts.map(part => framing.formatPart(part)).join('')}`);
}

// Guards against a broken-off answer that reaches its caller framed as complete.
for (const testCase of [...listCases(streamKinds, streamBreaks), ...listCases(plainKinds, plainBreaks)].filter(testCase => !isComplete(testCase))) {
	const {kind, framing, closing, connectionLine, place} = testCase;
	t.test(`not complete: ${kind.name}, ${framing.name}, ${connectionLine === '' ? '' : 'connection: close, '}${closing.name} ${place.name}`, async t => {
		const {caller} = await runRequest(t, {...kind.route, maxTargets: 1}, (_request, reply) => {
			writePart(testCase, reply);
			closing.close(reply);
		});
		t.notOk(caller.records.includes('end'), 'the caller is not sent a complete answer');
	});
}

for (const {name, route} of streamKinds) {
	// Guards against an end of the body inside an event that is taken for the end of the stream.
	t.test(`not complete: ${name}, chunked, last chunk inside an event`, async t => {
		const {caller} = await runRequest(t, {...route, maxTargets: 1}, (_request, reply) => {
			reply.write(`HTTP/1.1 200 OK\r\nx-signed: s1\r\ntransfer-encoding: chunked\r\n\r\n${formatChunk(firstEvent)}${formatChunk('id: 2\nda')}0\r\n\r\n`);
		});
		t.notOk(caller.records.includes('end'), 'the caller is not sent a complete answer');
	});

	t.test(`complete: ${name}, no length`, async t => {
		const {caller} = await runRequest(t, route, sendAndClose(`HTTP/1.1 200 OK\r\nx-signed: s1\r\n\r\n${firstEvent}${secondEvent}`));
		t.strictSame([caller.records, caller.text], [['200 s1', 'end'], firstEvent + secondEvent]);
	});

	t.test(`complete: ${name}, chunked, without an event`, async t => {
		const {caller} = await runRequest(t, route, sendAndClose('HTTP/1.1 200 OK\r\nx-signed: s1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n'));
		t.strictSame([caller.records, caller.text], [['200 s1', 'end'], '']);
	});
}

for (const {name, route} of plainKinds) {
	// Guards against a broken-off event stream that is taken for complete as its route does not announce streams.
	t.test(`not complete: ${name}, no length, an event stream closed inside an event`, async t => {
		const {caller} = await runRequest(t, {...route, maxTargets: 1}, sendAndClose(`HTTP/1.1 200 OK\r\nx-signed: s1\r\ncontent-type: Text/Event-Stream;x=y\r\n\r\n${firstEvent}id: 2\nda`));
		t.notOk(caller.records.includes('end'), 'the caller is not sent a complete answer');
	});

	t.test(`complete: ${name}, no length`, async t => {
		const {caller} = await runRequest(t, route, sendAndClose('HTTP/1.1 200 OK\r\nx-signed: s1\r\n\r\nok'));
		t.strictSame([caller.records, caller.text], [['200 s1', 'end'], 'ok']);
	});
}

function sendAndClose(text: string): RawScript {
	return (_request, reply) => {
		reply.write(text);
		reply.close();
	};
}

// Guards against answers to HEAD that are refused as broken off, since they have no body.
for (const headers of ['content-type: text/event-stream\r\n', '', 'content-length: 400000\r\n', 'transfer-encoding: chunked\r\n']) {
	t.test(`an answer to HEAD is complete with its head: ${headers.trim() || 'no length'}`, async t => {
		const setup = await startRelay(t, (_request, reply) => {
			reply.write(`HTTP/1.1 200 OK\r\nx-signed: s1\r\n${headers}\r\n`);
			reply.close();
		});
		const {caller, isDone} = setup.startRequest(streamRoute, 0, 'a', {method: 'HEAD'});
		await setup.waitUntil(isDone);
		t.strictSame(caller.records, ['200 s1', 'end']);
	});
}
