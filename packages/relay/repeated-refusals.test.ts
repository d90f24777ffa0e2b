/** Targets that write an earlier refusal or error once more on a kept connection. */
import t, {type Test} from 'tap';
import {
	formatChunk, formatEvent, onceRoute, safeRoute, startRelay, streamRoute,
} from './testing/relay.ts';
import type {RelayRoute} from '#core';
import type {RawReply, RawScript} from '#standins';

type Relay = Awaited<ReturnType<typeof startRelay>>;

const kinds: ReadonlyArray<readonly [name: string, route: RelayRoute]> = [
	['safe request', safeRoute],
	['request that must not run twice', onceRoute],
	['stream that may be resumed', streamRoute],
	['stream that must not run twice', {...streamRoute, retryPolicy: 'once', maxTargets: 1}],
];

const refusalStatuses: ReadonlySet<number> = new Set([400, 408, 421, 429, 503]);

/** Time that a target takes to run a request, in milliseconds. */
const runMs = 100;

const noId = undefined;

/** Formats a refusal or an error answer that names the request with this id, or none. */
function formatRefusal(status: number, id: string | undefined, body = ''): string {
	return `HTTP/1.1 ${status} X\r\n${id === undefined ? '' : `x-id: ${id}\r\n`}${refusalStatuses.has(status) ? 'x-not-run: 1\r\n' : ''}content-length: ${body.length}\r\n\r\n${body}`;
}

function formatSuccess(id: string, isStream: boolean): string {
	const head = `HTTP/1.1 200 OK\r\nx-signed: s\r\nx-id: ${id}\r\n`;
	return isStream ? `${head}transfer-encoding: chunked\r\n\r\n${formatEvent(1)}${formatChunk('')}` : `${head}content-length: 2\r\n\r\nok`;
}

/** Answers each request after {@link runMs}. */
const createSoundScript = (route: RelayRoute, getSetup: () => Relay): RawScript => (request, reply) => {
	getSetup().clock.setTimer(runMs, () => {
		reply.write(formatSuccess(String(request.headers['x-id']), route.isStream));
	});
};

/** When the copy is written: before the next request is sent, or a time in milliseconds after the target has received it. */
type CopyTime = 'before' | number;

type CopyCase = Readonly<{route: RelayRoute; copyTime: CopyTime; refusal: string; copy: string}>;

/** Lets a target refuse request `a`, write the refusal again on the same connection and run request `b`, and returns what becomes of `b`. */
async function runAfterRefusal(t: Test, {route, copyTime, refusal, copy}: CopyCase) {
	let first: RawReply | undefined;
	const setup: Relay = await startRelay(t, (request, reply) => {
		if (request.headers['x-id'] === 'a') {
			first = reply;
			reply.write(refusal);
			return;
		}

		if (copyTime !== 'before') {
			setup.clock.setTimer(copyTime, () => {
				first?.write(copy);
			});
		}

		createSoundScript(route, () => setup)(request, reply);
	}, createSoundScript(route, () => setup));
	const a = setup.startRequest(safeRoute, 0, 'a');
	await setup.waitUntil(a.isDone);
	const [state] = setup.targets.list();
	state!.statements.clearAvoidance();
	setup.mismatches.length = 0;
	if (copyTime === 'before') {
		first?.write(copy);
	}

	const b = setup.startRequest(route, 0, 'b');
	await setup.waitUntil(b.isDone);
	const [runs, repeats] = setup.raw.map(({requests}) => requests.filter(({headers}) => headers['x-id'] === 'b').length);
	return {
		...setup, runs, repeats, records: b.caller.records, text: b.caller.text, avoidanceMs: state!.statements.computeAvoidanceMs(setup.clock.now()),
	};
}

for (const [name, route] of kinds) {
	// Guards against "not run" for a request that runs, and against its second run, as an earlier answer is taken for its own.
	t.test(`a refusal that a target writes again decides nothing for the next ${name}`, async t => {
		for (const status of [503, 429, 421, 408, 400, 500]) {
			for (const id of [noId, 'a']) {
				for (const body of ['', '{"error":"no"}']) {
					for (const copyTime of ['before', 0, 10, 40] as const) {
						const copy = formatRefusal(status, id, body);
						const {runs, repeats, records, text, mismatches, avoidanceMs} = await runAfterRefusal(t, {
							route, copyTime, copy, refusal: copy,
						});
						const label = `${status} ${id === undefined ? 'without an id' : 'with the earlier id'}, ${body.length} bytes, ${copyTime}`;
						// Bytes on an idle connection close it, so the request is not sent there.
						const isSent = copyTime !== 'before';
						const isRepeated = !isSent || route.retryPolicy !== 'once';
						t.strictSame([runs, repeats], [isSent ? 1 : 0, isRepeated ? 1 : 0], `runs: ${label}`);
						t.strictSame(records, isRepeated ? ['200 s', 'end'] : ['refused 502 target_lost unknown'], `answer: ${label}`);
						t.notMatch(text, 'error', label);
						t.strictSame([mismatches, avoidanceMs], [[], 0], `the target is believed nothing: ${label}`);
					}
				}
			}
		}
	});

	// Guards against the loss of retries after refusals that can only belong to the request.
	t.test(`a refusal that names the ${name}, or is the first answer on its connection, is believed`, async t => {
		for (const status of [503, 429, 421, 408, 400]) {
			for (const isNamed of [true, false]) {
				const setup: Relay = await startRelay(t, (request, reply) => {
					const id = String(request.headers['x-id']);
					reply.write(id === 'a' ? formatSuccess(id, false) : formatRefusal(status, isNamed ? id : noId));
				}, createSoundScript(route, () => setup));
				if (isNamed) {
					const a = setup.startRequest(safeRoute, 0, 'a');
					await setup.waitUntil(a.isDone);
				}

				const b = setup.startRequest(route, 0, 'b');
				await setup.waitUntil(b.isDone);
				const runs = setup.raw.map(({requests}) => requests.at(-1)?.headers['x-id']);
				t.strictSame([b.caller.records, runs, setup.raw[0]!.countConnections()], [['200 s', 'end'], ['b', 'b'], 1], `${status} ${isNamed ? 'named, reused' : 'unnamed, new'}`);
			}
		}
	});
}

// Guards against an error or a success of an earlier exchange that reaches the next caller.
t.test('an answer that names no request is not delivered on a connection that has carried an exchange', async t => {
	for (const [status, signature] of [[200, 'x-signed: s\r\n'], [404, ''], [409, ''], [500, 'x-signed: s\r\n']] as const) {
		for (const route of [safeRoute, onceRoute]) {
			const setup: Relay = await startRelay(t, (request, reply) => {
				reply.write(request.headers['x-id'] === 'a' ? formatSuccess('a', false) : `HTTP/1.1 ${status} X\r\n${signature}content-length: 5\r\n\r\nother`);
			}, createSoundScript(route, () => setup));
			const a = setup.startRequest(safeRoute, 0, 'a');
			await setup.waitUntil(a.isDone);
			const b = setup.startRequest(route, 0, 'b');
			await setup.waitUntil(b.isDone);
			t.strictSame([b.caller.records, b.caller.text], route === safeRoute ? [['200 s', 'end'], 'ok'] : [['refused 502 target_lost unknown'], ''], `${status} ${route.retryPolicy}`);
		}
	}
});

// Guards against a refusal without an id that is taken for an earlier one, as the request itself has no id.
t.test('a request without an id runs on a connection of its own', async t => {
	const setup: Relay = await startRelay(t, (request, reply) => {
		reply.write(request.headers['x-id'] === 'a' ? formatSuccess('a', false) : formatRefusal(400, noId));
	});
	const a = setup.startRequest(safeRoute, 0, 'a');
	await setup.waitUntil(a.isDone);
	const b = setup.startRequest(onceRoute, 0, '');
	await setup.waitUntil(b.isDone);
	t.strictSame([b.caller.records, setup.raw[0]!.countConnections()], [['refused 503 target_refused not_run'], 2]);
});
