import {Buffer} from 'node:buffer';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t, {type Test} from 'tap';
import type {RelayCaller} from './caller.ts';
import type {TargetDialect} from './dialect.ts';
import {findHeader} from './exchange.ts';
import {PlacedParts} from './placed-parts.ts';
import {Relay} from './relay.ts';
import {TargetSet} from './target-set.ts';
import {WeightsBoard} from './named-weights.ts';
import {ManualClock} from '#clock';
import {
	createRandom, prepareHash, type Prompt, type Refusal, type RelayPool, type RelayRequest, type RelayRoute,
} from '#core';
import {RetryBudget} from '#dispatch';
import {createQuietBus} from '#peer-protocol';
import {Quarantine} from '#quarantine';
import {startRawTarget, type RawScript, type RawTarget} from '#standins';
import {createTelemetry} from '#telemetry';

/** A dialect for these tests. */
const dialect: TargetDialect = {
	encodeHead: (request, facts) => [
		...request.headers,
		'x-id',
		request.id,
		'x-left',
		String(Math.floor(facts.remainingMs)),
		...(facts.lastEventId === undefined ? [] : ['x-after', facts.lastEventId]),
		...(facts.urgency === undefined ? [] : ['x-urgency', String(facts.urgency)]),
	],
	decodeHead: ({status, headers}) => ({
		status, headers: headers.filter((_line, index) => headers[index - (index % 2)]!.toLowerCase() === 'x-signed'),
		requestId: findHeader(headers, 'x-id'), isSigned: findHeader(headers, 'x-signed') !== undefined,
		hasNotRun: findHeader(headers, 'x-not-run') !== undefined, isMisdirected: status === 421, targetId: findHeader(headers, 'x-target'), load: undefined, weights: undefined,
	}),
};

const telemetry = createTelemetry({level: 'silent'});
const pool: RelayPool = {name: 'p', healthPath: '/health', maxConnections: 10};
const enginePool: RelayPool = {
	...pool, engine: {
		slots: 64, cacheTokens: 100_000, bytesPerToken: 1000, linkMbps: 1_000_000, models: ['m'],
	},
};
const safeRoute: RelayRoute = {
	name: 'r', host: 'h', pathPrefix: '/', pools: [{pool: 'p', weight: 1}], isStream: false, repetition: 'any', maxTargets: 2,
	timeoutMs: 800, promisedMs: 100, gapMs: 0, priority: 2, isPublic: true,
};
const onceRoute: RelayRoute = {...safeRoute, repetition: 'once', maxTargets: 1};
const streamRoute: RelayRoute = {
	...safeRoute, isStream: true, repetition: 'resume', timeoutMs: 3000, promisedMs: 500, gapMs: 400,
};

const ok = 'HTTP/1.1 200 OK\r\nx-signed: s1\r\ncontent-length: 2\r\n\r\nok';
const failed = 'HTTP/1.1 500 Oh\r\nx-signed: s2\r\ncontent-length: 2\r\n\r\nno';
const notRun = 'HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n';
const streamHead = 'HTTP/1.1 200 OK\r\nx-signed: s3\r\ntransfer-encoding: chunked\r\n\r\n';

function makeChunk(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function makeEvent(id: number): string {
	return makeChunk(`id: ${id}\ndata: e${id}\n\n`);
}

/** A caller that notes what it is sent. */
class NotedCaller implements RelayCaller {
	text = '';
	readonly notes: string[] = [];
	refusal: Refusal | undefined;
	#left = false;
	readonly #handlers = new Set<() => void>();

	leave(): void {
		this.#left = true;
		for (const handler of this.#handlers) {
			handler();
		}
	}

	hasLeft(): boolean {
		return this.#left;
	}

	listenLeave(handler: () => void) {
		this.#handlers.add(handler);
		return () => {
			this.#handlers.delete(handler);
		};
	}

	begin(status: number, headers: readonly string[]): void {
		this.notes.push(`${status} ${headers[1] ?? ''}`);
	}

	write(bytes: Uint8Array): boolean {
		this.text += Buffer.from(bytes).toString();
		return true;
	}

	async waitForRoom(): Promise<void> {
		// There is always room.
	}

	end(): void {
		this.notes.push('end');
	}

	cut(): void {
		this.notes.push('cut');
	}

	refuse(refusal: Refusal): void {
		this.refusal = refusal;
		this.notes.push(`refused ${refusal.status} ${refusal.reason} ${refusal.ran}`);
	}
}

async function start(t: Test, ...scripts: readonly RawScript[]) {
	await prepareHash();
	const clock = new ManualClock();
	const raw: RawTarget[] = [];
	for (const script of scripts) {
		raw.push(await startRawTarget(script));
	}

	const targets = new TargetSet(clock, {connectMs: 1000, idleMs: 30_000});
	targets.update(raw.map(({address}, index) => ({
		id: `t${index}`, incarnation: `t${index}@1`, startedWallMs: 0, pool: 'p', address, zone: 'z', slots: 4, isLeaving: false, weights: new Map(),
	})));
	const surprises: string[] = [];
	const alive = new Set(raw.map((_target, index) => `t${index}`));
	const quarantine = new Quarantine({
		clock, random: createRandom(1), telemetry, bus: createQuietBus(),
	}, {limit: 3});
	const budget = new RetryBudget(clock, {ratio: 0, slack: 8});
	const relay = new Relay({
		clock, random: createRandom(2), telemetry, targets, dialect, budget, quarantine, placed: new PlacedParts(), weights: new WeightsBoard(clock),
		weightsMs: 8000, zone: 'z', countInstances: () => 2, probe: async ({id}) => alive.has(id),
		surprised(state, surprise) {
			surprises.push(`${state.target.id} ${surprise}`);
		},
	});
	t.teardown(async () => {
		quarantine.close();
		targets.close();
		await Promise.all(raw.map(async target => target.close()));
	});

	/** Starts a request; it goes first to the target of the given number. */
	const begin = (route: RelayRoute, first = 0, id = 'a', prompt?: Prompt) => {
		const caller = new NotedCaller();
		for (const [index, state] of targets.list().entries()) {
			state.serviceMs = index === first ? 1 : 30;
		}

		const request: RelayRequest = {
			id, method: 'POST', path: '/x', headers: ['x-own', '1'], body: Buffer.from('body'), route, customer: undefined, prompt,
			cacheScope: undefined, lastEventId: undefined, configurationVersion: 1, arrivedMs: clock.now(), deadlineMs: clock.now() + route.timeoutMs,
		};
		let isDone = false;
		const done = relay.run(request, prompt ? enginePool : pool, caller).then(() => {
			isDone = true;
		});
		return {caller, done, isDone: () => isDone};
	};

	/** Moves time in small steps until a condition holds, giving sockets their turns. */
	const until = async (condition: () => boolean, limitMs = 20_000) => {
		for (let step = 0; step < limitMs / 10 && !condition(); step++) {
			for (let turn = 0; turn < 20 && !condition(); turn++) {
				await nextTurn();
			}

			if (!condition()) {
				await clock.advance(10);
			}
		}

		t.ok(condition(), 'the awaited condition came');
	};

	return {
		clock, raw, targets, quarantine, budget, alive, begin, until, surprises,
	};
}

/** Carries one request to its end. */
async function carry(t: Test, route: RelayRoute, ...scripts: readonly RawScript[]) {
	const world = await start(t, ...scripts);
	const {caller, isDone} = world.begin(route);
	await world.until(isDone);
	return {...world, caller, counts: world.raw.map(({requests}) => requests.length)};
}

const answer = (text: string): RawScript => (_request, reply) => {
	reply.write(text);
};

const answerAndClose = (text: string): RawScript => (_request, reply) => {
	reply.write(text);
	reply.close();
};

const reset: RawScript = (_request, reply) => {
	reply.reset();
};

const silent: RawScript = () => undefined;

t.test('an answer comes back with its signature', async t => {
	const {caller, raw} = await carry(t, safeRoute, answer(ok));
	t.strictSame(caller.notes, ['200 s1', 'end']);
	t.equal(caller.text, 'ok');
	t.match(raw[0]!.requests[0], {
		method: 'POST', path: '/x', body: 'body', headers: {'x-own': '1', 'x-id': 'a', 'x-left': '800'},
	});
});

t.test('a safe request whose target fails goes to another one', async t => {
	const {caller, counts} = await carry(t, safeRoute, answer(failed), answer(ok));
	t.strictSame([caller.notes, counts], [['200 s1', 'end'], [1, 1]]);
});

t.test('a failure is delivered where no other target helps', async t => {
	const {caller, counts} = await carry(t, safeRoute, answer(failed), answer(failed));
	t.strictSame([caller.notes, caller.text, counts], [['500 s2', 'end'], 'no', [1, 1]]);
});

t.test('what must not run twice is never sent after it may have run', async t => {
	for (const script of [reset, answerAndClose('HTTP/1.1 200 OK\r\nx-signed: s\r\ncontent-length: 9\r\n\r\nok'), answer('no answer at all\r\n\r\n')]) {
		const {caller, counts} = await carry(t, onceRoute, script, answer(ok));
		t.strictSame(counts, [1, 0]);
		t.match(caller.notes, ['refused 502 target_lost unknown']);
	}
});

t.test('a failure of what must not run twice is passed on', async t => {
	const {caller, counts} = await carry(t, onceRoute, answer(failed), answer(ok));
	t.strictSame([caller.notes, counts], [['500 s2', 'end'], [1, 0]]);
});

t.test('what provably has not run goes on, whatever its kind', async t => {
	for (const script of [answer(notRun), answer('HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n')]) {
		const {caller, counts} = await carry(t, onceRoute, script, answer(ok));
		t.strictSame([caller.notes, counts], [['200 s1', 'end'], [1, 1]]);
	}
});

t.test('a misdirected request tells whether the process or the weights were another', async t => {
	const other = await carry(t, onceRoute, answer('HTTP/1.1 421 Other\r\nx-target: t9\r\ncontent-length: 0\r\n\r\n'), answer(ok));
	t.strictSame(other.surprises, ['t0 replaced']);
	const same = await carry(t, onceRoute, answer('HTTP/1.1 421 Other\r\nx-target: t0\r\ncontent-length: 0\r\n\r\n'), answer(ok));
	t.strictSame(same.surprises, ['t0 other_weights']);
});

t.test('a refusal by all targets is true and says when to come back', async t => {
	const {caller} = await carry(t, onceRoute, answer(notRun), answer(notRun));
	t.strictSame(caller.notes, ['refused 503 target_refused not_run']);
	t.ok(caller.refusal!.retryAfterMs! > 0);
});

t.test('a target that refuses connections costs nothing', async t => {
	const world = await start(t, answer(ok), answer(ok));
	await world.raw[0]!.close();
	const {caller, isDone} = world.begin(onceRoute);
	await world.until(isDone);
	t.strictSame(caller.notes, ['200 s1', 'end']);
	t.equal(world.budget.read('p'), 8);
});

t.test('an answer to another request is not the caller\'s', async t => {
	const crossed = answer('HTTP/1.1 200 OK\r\nx-id: other\r\nx-signed: s\r\ncontent-length: 2\r\n\r\nno');
	const safe = await carry(t, safeRoute, crossed, answer(ok));
	t.strictSame([safe.caller.notes, safe.caller.text], [['200 s1', 'end'], 'ok']);
	const once = await carry(t, onceRoute, crossed, answer(ok));
	t.strictSame([once.caller.notes, once.counts], [['refused 502 target_lost unknown'], [1, 0]]);
});

t.test('a success without signature is none', async t => {
	const {caller} = await carry(t, safeRoute, answer('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno'), answer(ok));
	t.strictSame([caller.notes, caller.text], [['200 s1', 'end'], 'ok']);
});

t.test('a request ends at its time', async t => {
	const {caller, clock} = await carry(t, onceRoute, silent);
	t.strictSame(caller.notes, ['refused 504 deadline_exceeded unknown']);
	t.ok(clock.now() >= 800 && clock.now() < 900);
});

t.test('a safe request leaves a silent target', async t => {
	const {caller, clock} = await carry(t, safeRoute, silent, answer(ok));
	t.strictSame(caller.notes, ['200 s1', 'end']);
	t.ok(clock.now() < 500);
});

t.test('no more targets run a request than its route allows', async t => {
	const {counts} = await carry(t, safeRoute, reset, reset, reset, reset);
	t.equal(counts.reduce((sum, count) => sum + count, 0), 2);
});

t.test('repeats end with the budget', async t => {
	const world = await start(t, reset, answer(ok));
	for (let request = 0; request < 8; request++) {
		world.raw[1]!.play(answer(ok));
		world.targets.get('t0')!.trust();
		const {isDone} = world.begin(safeRoute, 0, `a${request}`);
		await world.until(isDone);
	}

	const repeats = world.raw[1]!.requests.length;
	t.equal(repeats, 4);
});

t.test('streams that have begun may use the half of the budget that others leave', async t => {
	const breakOff: RawScript = (_request, reply) => {
		reply.write(`${streamHead}${makeEvent(1)}`);
		reply.reset();
	};

	const world = await start(t, breakOff, breakOff);
	for (let request = 0; request < 8; request++) {
		world.raw[1]!.play(answer(`${streamHead}${makeEvent(2)}0\r\n\r\n`));
		world.targets.get('t0')!.trust();
		const {isDone} = world.begin(streamRoute, 0, `a${request}`);
		await world.until(isDone);
	}

	t.equal(world.raw[1]!.requests.length, 8);
});

t.test('a burst beyond this instance\'s connections is refused at once, and served when they are free', async t => {
	const world = await start(t, silent);
	const begun = Array.from({length: 7}, (_item, index) => world.begin(onceRoute, 0, `a${index}`));
	await world.until(() => begun.filter(({isDone}) => isDone()).length === 2);
	t.equal(world.clock.now(), 0);
	for (const {caller} of begun.slice(5)) {
		t.strictSame(caller.notes, ['refused 503 queue_full not_run']);
		t.ok(caller.refusal!.retryAfterMs! > 0);
	}

	await world.until(() => world.raw[0]!.requests.length === 5);
	begun[0]!.caller.leave();
	await world.until(begun[0]!.isDone);
	world.begin(onceRoute, 0, 'late');
	await world.until(() => world.raw[0]!.requests.length === 6);
});

t.test('a caller that leaves ends the work', async t => {
	const world = await start(t, silent);
	const {caller, isDone} = world.begin(onceRoute);
	await world.until(() => world.raw[0]!.requests.length === 1);
	caller.leave();
	await world.until(isDone);
	t.strictSame(caller.notes, []);
	await world.until(() => world.targets.get('t0')!.connections.size === 0);
});

t.test('a stream goes out as it comes and ends whole', async t => {
	const {caller} = await carry(t, streamRoute, answer(`${streamHead}${makeEvent(1)}${makeEvent(2)}0\r\n\r\n`));
	t.strictSame(caller.notes, ['200 s3', 'end']);
	t.equal(caller.text, 'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n');
});

t.test('a stream that breaks off goes on elsewhere, no event missing or doubled', async t => {
	const first = answerAndClose(`${streamHead}${makeEvent(1)}${makeChunk('id: 2\ndata:')}`);
	const {caller, raw} = await carry(t, streamRoute, first, answer(`${streamHead}${makeEvent(1)}${makeEvent(2)}${makeEvent(3)}0\r\n\r\n`));
	t.strictSame(caller.notes, ['200 s3', 'end']);
	t.equal(caller.text, 'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n');
	t.equal(raw[1]!.requests[0]!.headers['x-after'], '1');
});

t.test('a stream that must not be resumed is cut where it broke off', async t => {
	const {caller, counts} = await carry(t, {...streamRoute, repetition: 'once'}, answerAndClose(`${streamHead}${makeEvent(1)}`), answer(ok));
	t.strictSame([caller.notes, counts], [['200 s3', 'cut'], [1, 0]]);
});

t.test('a stream that falls silent goes on elsewhere', async t => {
	const {caller} = await carry(t, streamRoute, answer(`${streamHead}${makeEvent(1)}`), answer(`${streamHead}${makeEvent(2)}0\r\n\r\n`));
	t.strictSame(caller.notes, ['200 s3', 'end']);
	t.equal(caller.text, 'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n');
});

t.test('a stream without any complete event ends without being taken for whole', async t => {
	const {caller} = await carry(t, {...streamRoute, maxTargets: 1}, answer(`${streamHead}${makeChunk('id: 1\ndata:')}0\r\n\r\n`));
	t.strictSame(caller.notes, ['refused 502 target_lost unknown']);
});

t.test('a request that crashed three targets reaches no fourth', async t => {
	const world = await start(t, reset, reset, reset, reset);
	for (const id of ['t0', 't1', 't2', 't3']) {
		world.alive.delete(id);
	}

	const notes: string[] = [];
	for (let request = 0; request < 4; request++) {
		const {caller, isDone} = world.begin(onceRoute, request, `a${request}`);
		await world.until(isDone);
		notes.push(...caller.notes);
	}

	t.equal(world.raw[3]!.requests.length, 0);
	t.match(notes.at(-1), /^refused 503 crashes_targets not_run$/v);
});

const prompt: Prompt = {
	model: 'm', inputTokens: 1000, maxOutputTokens: 50, parts: [{key: 'k', tokens: 500}, {key: 'own', tokens: 500}],
};

t.test('a prompt that will be late goes behind the others, one that its caller would not wait for is refused', async t => {
	const whole = answer(`${streamHead}${makeEvent(1)}0\r\n\r\n`);
	const urgencies: Array<string | undefined> = [];
	for (const queued of [100, 40_000, 160_000]) {
		const world = await start(t, whole);
		const state = world.targets.get('t0')!;
		state.pending.add(0, queued);
		const {caller, isDone} = world.begin(streamRoute, 0, 'a', prompt);
		await world.until(isDone);
		urgencies.push(String(world.raw[0]!.requests[0]?.headers['x-urgency']));
		if (queued === 160_000) {
			t.strictSame(caller.notes, ['refused 503 promise_unreachable not_run']);
			t.ok(caller.refusal!.retryAfterMs! > 0);
		} else {
			t.strictSame(caller.notes, ['200 s3', 'end']);
		}
	}

	t.strictSame(urgencies, ['2', '9', 'undefined']);
});

t.test('no target is a true refusal at once', async t => {
	const {caller, clock} = await carry(t, onceRoute);
	t.strictSame(caller.notes, ['refused 503 no_target not_run']);
	t.ok(caller.refusal!.retryAfterMs! > 0);
	t.equal(clock.now(), 0);
});
