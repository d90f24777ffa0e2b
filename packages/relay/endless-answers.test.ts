/** Targets in trouble that send bytes without end, in a head or a body. */
import t from 'tap';
import {
	onceRoute, runRequest, safeRoute, streamHead, streamRoute,
} from './testing/relay.ts';
import type {RelayRoute} from '#core';
import type {RawScript} from '#standins';

/** Route timeout, in milliseconds: far longer than the bound on bytes takes to act. */
const timeoutMs = 60_000;

/** Time within which the bound on bytes must act, in milliseconds on the test's clock. */
const maxMs = 5000;

const filler = 'x'.repeat(4096);
const signedHead = 'HTTP/1.1 200 OK\r\nx-signed: s\r\n';

function send(head: string, endless: string): RawScript {
	return (_request, reply) => {
		reply.write(head);
		reply.writeEndlessly(endless);
	};
}

const routes: Readonly<Record<string, RelayRoute>> = {
	safe: {...safeRoute, timeoutMs, maxTargets: 1},
	once: {...onceRoute, timeoutMs},
	stream: {...streamRoute, timeoutMs, maxTargets: 1},
	'stream that runs once': {
		...streamRoute, timeoutMs, retryPolicy: 'once', maxTargets: 1,
	},
};

/** Endless answers by name. */
const scripts: Readonly<Record<string, RawScript>> = {
	'bytes that are no HTTP': send('', filler),
	'a reason phrase': send('HTTP/1.1 200 ', filler),
	'a header': send(`${signedHead}x-long: `, filler),
	headers: send(signedHead, 'x-more: 1\r\n'),
	'interim answers': send('', 'HTTP/1.1 103 Early Hints\r\n\r\n'),
	'a chunk extension': send(`${signedHead}transfer-encoding: chunked\r\n\r\n1;`, filler),
	trailers: send(`${signedHead}transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n`, 'x-more: 1\r\n'),
	'a body without a length': send(`${signedHead}\r\n`, filler),
	'a chunked body': send(`${signedHead}transfer-encoding: chunked\r\n\r\n`, `1000\r\n${filler}\r\n`),
	'an event': send(`${streamHead}5\r\ndata:\r\n`, `1000\r\n${filler}\r\n`),
	'events without data': send(streamHead, `1000\r\n${':\n\n\n'.repeat(1024)}\r\n`),
	'an error answer': send('HTTP/1.1 500 Oh\r\nx-signed: s\r\n\r\n', filler),
};

for (const [answerName, script] of Object.entries(scripts)) {
	for (const [routeName, route] of Object.entries(routes)) {
		// Guards against an exchange with a target in trouble that takes bytes until the request's deadline.
		t.test(`${answerName} without end, route: ${routeName}`, async t => {
			const {clock, caller} = await runRequest(t, route, script);
			t.ok(clock.now() <= maxMs, `ended after ${clock.now()} ms`);
			t.notOk(caller.records.includes('end'), 'the caller does not take it for a complete answer');
		});
	}
}
