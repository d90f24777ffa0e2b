/**
 * Generated and mutated answers of a target, through undici's parser on a loopback
 * socket: the caller gets what one complete answer to its request says, or a
 * failure. APRICOTDOOR_ANSWER_RUNS and APRICOTDOOR_ANSWER_SEED set the number of
 * runs and the seed. Inputs that ever failed stand in generated-answers.json.
 */
import process from 'node:process';
import {setImmediate as nextTurn} from 'node:timers/promises';
import fc from 'fast-check';
import t, {type Test} from 'tap';
import corpus from './generated-answers.json' with {type: 'json'};
import {readAnswer, type ConnectionEnd, type ModelAnswer} from './testing/answer-model.ts';
import {
	formatChunk, forwardedNames, onceRoute, safeRoute, startRelay, streamRoute,
} from './testing/relay.ts';
import type {RelayRoute} from '#core';
import type {RawScript} from '#standins';

const runs = Number(process.env.APRICOTDOOR_ANSWER_RUNS ?? 250);
const seed = Number(process.env.APRICOTDOOR_ANSWER_SEED ?? 20_261_205);

const routes: Readonly<Record<string, RelayRoute>> = {
	safe: {...safeRoute, maxTargets: 1}, once: onceRoute, stream: {...streamRoute, maxTargets: 1},
};

/** One answer, how it is sent, and what comes late on the same connection, before the answer to the next request. */
type Plan = Readonly<{
	method: string;
	route: string;
	/** Whether the connection has carried an earlier exchange. */
	isKept: boolean;
	text: string;
	/** Positions in the text at which the target pauses. */
	pauses: readonly number[];
	end: string;
	late: string;
	/** Whether the text was generated as a complete answer and not mutated. */
	isSound: boolean;
}>;

const signed = 'x-signed: s1\r\nx-id: a\r\n';
const nextBody = 'body of the next answer';
const nextAnswer = `HTTP/1.1 200 OK\r\nx-signed: s2\r\nx-id: b\r\ncontent-length: ${nextBody.length}\r\n\r\n${nextBody}`;

/** Runs an action with a test whose teardown follows at once. */
async function runAlone<Value>(action: (t: Pick<Test, 'teardown' | 'ok'>) => Promise<Value>): Promise<Value> {
	const teardowns: Array<() => unknown> = [];
	try {
		const test: Pick<Test, 'teardown' | 'ok'> = {
			teardown(handler) {
				teardowns.push(handler);
			},
			ok(condition) {
				if (!condition) {
					throw new Error('the awaited condition does not hold');
				}

				return true;
			},
		};
		return await action(test);
	} finally {
		for (const teardown of teardowns) {
			await teardown();
		}
	}
}

/** Returns the scripts' part of a plan: the answers to the earlier request, to the one under test, and to the next. */
function createScript({text, pauses, end, late}: Plan): RawScript {
	let connection = -1;
	return ({headers, connectionNumber}, reply) => {
		const id = String(headers['x-id']);
		if (id === 'earlier') {
			reply.write('HTTP/1.1 200 OK\r\nx-signed: s0\r\nx-id: earlier\r\ncontent-length: 2\r\n\r\nok');
		} else if (id === 'b') {
			reply.write(connection === connectionNumber ? late + nextAnswer : nextAnswer);
		} else {
			connection = connectionNumber;
			void (async () => {
				let start = 0;
				for (const pause of pauses.toSorted((first, second) => first - second)) {
					reply.write(text.slice(start, pause));
					start = Math.max(start, pause);
					await nextTurn();
					await nextTurn();
				}

				reply.write(text.slice(start));
				if (end === 'close') {
					reply.close();
				} else if (end === 'reset') {
					reply.reset();
				}
			})();
		}
	};
}

/** Removes the events of a stream whose id is not later than that of the last event before them. */
function removeRepeatedEvents(body: string): string {
	let lastId = Number.NEGATIVE_INFINITY;
	return body.split(/(?<=(?:\r\n|\r(?!\n)|\n)(?:\r\n|\r(?!\n)|\n))/v).filter(event => {
		const id = /(?:^|[\r\n])id: ?(?<id>\d+)(?=[\r\n])/v.exec(event)?.groups?.id;
		if (id === undefined) {
			return true;
		}

		const isLater = Number(id) > lastId;
		lastId = isLater ? Number(id) : lastId;
		return isLater;
	}).join('');
}

/** Returns the records of the answer's delivery by what the bytes say, or `undefined` if no answer may be delivered as complete. */
function deriveRecords(plan: Plan, answer: ModelAnswer | undefined): readonly [records: readonly string[], text: string] | undefined {
	if (!answer) {
		return undefined;
	}

	const {status, lines, body, endsWithConnection} = answer;
	const headers = new Map(lines.toReversed());
	const id = headers.get('x-id');
	const isStream = plan.method !== 'HEAD' && status < 300 && plan.route === 'stream';
	const isBroken = isStream && (!/^$|(?:\r\n|\r|\n){2}$/v.test(body) || (endsWithConnection && body === ''));
	if ((id !== 'a' && (id !== undefined || plan.isKept)) || (status < 300 && !headers.has('x-signed')) || headers.has('x-not-run') || status === 421 || isBroken) {
		return undefined;
	}

	// The caller of these tests records the first header that it is sent.
	// An event whose id does not rise is not delivered again.
	const text = isStream ? removeRepeatedEvents(body) : body;
	return [[`${status} ${lines.find(([name]) => forwardedNames.has(name))?.[1] ?? ''}`, 'end'], text];
}

/** Throws an error if the caller, or the caller of the next request, gets what no complete answer to its request says. */
async function checkPlan(plan: Plan): Promise<void> {
	await runAlone(async t => {
		const setup = await startRelay(t, createScript(plan));
		const {clock, targets, startRequest, waitUntil} = setup;
		if (plan.isKept) {
			const earlier = startRequest(safeRoute, 0, 'earlier');
			await waitUntil(() => earlier.isDone() && targets.list()[0]!.connections.hasIdle);
		}

		const {caller, isDone} = startRequest(routes[plan.route]!, 0, 'a', {method: plan.method as 'GET'}); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- plans hold known methods
		await waitUntil(isDone);
		const expected = deriveRecords(plan, readAnswer(plan.method, plan.text, plan.end as ConnectionEnd)); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- plans hold known ends
		const actual = [caller.records, caller.text];
		if ((caller.records.includes('end') || (plan.isSound && plan.end !== 'reset')) && JSON.stringify(actual) !== JSON.stringify(expected)) {
			throw new Error(`the caller got ${JSON.stringify(actual)}, but the answer says ${JSON.stringify(expected)}`);
		}

		await clock.advance(10_000);
		const connections = setup.raw[0]!.countConnections();
		const next = startRequest({...safeRoute, maxTargets: 1}, 0, 'b');
		await waitUntil(next.isDone);
		const isComplete = next.caller.records.join(' ') === '200 s2 end' && next.caller.text === nextBody;
		if (!isComplete && (next.caller.records.includes('end') || next.caller.text !== '' || setup.raw[0]!.countConnections() > connections)) {
			throw new Error(`the caller of the next request got ${JSON.stringify([next.caller.records, next.caller.text])}`);
		}

		if (targets.list()[0]!.inFlight !== 0) {
			throw new Error('a request still counts as in progress');
		}
	});
}

const interims = ['HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n', 'HTTP/1.1 102 Processing\r\n\r\n'];
const extras = [
	'HTTP/1.1 200 O',
	'HTTP/1.1 200 OK\r\nx-signed: s9\r\nx-note: ',
	'HTTP/1.1 200 OK\r\nx-signed: s9\r\nx-id: z\r\ncontent-length: 1\r\n\r\nz',
	'HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n',
	'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n',
	'HTTP/1.1 103 Early\r\n\r\n',
	'\r\n',
	'rubbish',
];

/** Text that a mutation puts into an answer. */
const insertions = [
	...extras,
	'\r',
	'\n',
	' ',
	'\t',
	'\0',
	'\u007F',
	':',
	'content-length: 3\r\n',
	'Content-Length: 0\r\n',
	'transfer-encoding: chunked\r\n',
	'connection: close\r\n',
	'x-not-run: 1\r\n',
	'5\r\n',
	'0\r\n\r\n',
	'id: 9\n',
];

/** An answer as it ought to be. */
const soundAnswer = fc.record({
	interim: fc.constantFrom('', '', '', ...interims, interims.join('')),
	status: fc.constantFrom('200 OK', '200 OK', '200 OK', '201 Created', '204 No Content', '304 Not Modified', '404 Not Found', '500 Oh'),
	extraLine: fc.constantFrom('', 'connection: close\r\n', 'connection: keep-alive\r\nkeep-alive: timeout=5\r\n', 'x-note: 1, 2\r\n', 'x-empty:\r\n', 'content-type: text/event-stream\r\n'),
	framing: fc.constantFrom('length', 'chunked', 'connection'),
	events: fc.array(fc.nat({max: 40}), {maxLength: 4}),
	trailer: fc.constantFrom('', '', 'x-trailer: 1\r\n'),
});

type SoundAnswer = typeof soundAnswer extends fc.Arbitrary<infer Value> ? Value : never;

/** @param method method of the request */
function formatAnswer({interim, status, extraLine, framing, events, trailer}: SoundAnswer, method: string): string {
	const bodies = events.map((size, index) => `id: ${index + 1}\ndata: ${'x'.repeat(size)}\n\n`);
	const body = bodies.join('');
	const isBodyless = method === 'HEAD' || status.startsWith('204') || status.startsWith('304');
	const framings: Readonly<Record<string, readonly [line: string, bytes: string]>> = {
		length: [`content-length: ${body.length}\r\n`, body],
		chunked: ['transfer-encoding: chunked\r\n', `${bodies.map(part => formatChunk(part)).join('')}0\r\n${trailer}\r\n`],
		connection: ['', body],
	};
	const [line, bytes] = framings[framing]!;
	return `${interim}HTTP/1.1 ${status}\r\n${signed}${extraLine}${line}\r\n${isBodyless ? '' : bytes}`;
}

type Mutation = Readonly<{kind: string; at: number; length: number; text: string}>;

const mutators: Readonly<Record<string, (text: string, at: number, mutation: Mutation) => string>> = {
	cut: (text, at) => text.slice(0, at),
	remove: (text, at, {length}) => text.slice(0, at) + text.slice(at + length),
	insert: (text, at, mutation) => text.slice(0, at) + mutation.text + text.slice(at),
	repeat: (text, at, {length}) => text.slice(0, at + length) + text.slice(at),
	append: (text, _at, mutation) => text + mutation.text,
};

const mutation: fc.Arbitrary<Mutation> = fc.record({
	kind: fc.constantFrom('cut', 'cut', 'cut', ...Object.keys(mutators)), at: fc.nat({max: 999}), length: fc.integer({min: 1, max: 40}),
	text: fc.constantFrom(...insertions),
});

const plans: fc.Arbitrary<Plan> = fc.record({
	answer: soundAnswer,
	method: fc.constantFrom('GET', 'POST', 'POST', 'HEAD'),
	route: fc.constantFrom('safe', 'once', 'stream'),
	isKept: fc.boolean(),
	mutations: fc.array(mutation, {maxLength: 3}),
	pauses: fc.array(fc.nat({max: 300}), {maxLength: 3}),
	end: fc.constantFrom('close', 'close', 'reset', 'open'),
	late: fc.constantFrom('', '', '', ...extras),
}).map(({answer, mutations, end, ...rest}) => {
	let text = formatAnswer(answer, rest.method);
	for (const {at, ...options} of mutations) {
		text = mutators[options.kind]!(text, at % (text.length + 1), {at, ...options});
	}

	const needsEnd = answer.framing === 'connection';
	const hasEvents = answer.events.length > 0 || answer.framing !== 'connection';
	return {
		...rest, text, end, isSound: mutations.length === 0 && hasEvents && (!needsEnd || end === 'close'),
	};
});

// Guards against a success that no answer of the target says, and bytes of one answer in another.
t.test('kept inputs', async t => {
	for (const plan of corpus) {
		await t.resolves(checkPlan(plan), JSON.stringify(plan.text));
	}
});

t.test(`generated answers, seed ${seed}, ${runs} runs`, async () => {
	await fc.assert(fc.asyncProperty(plans, checkPlan), {seed, numRuns: runs});
});
