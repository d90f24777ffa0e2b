import {Buffer} from 'node:buffer';
import t from 'tap';
import {Dispatcher, type DispatcherOptions} from './dispatcher.ts';
import {TargetLinks} from './target-links.ts';
import {RetryBudget} from './retry-budget.ts';
import {ManualClock} from '#clock';
import {
	createRandom, prepareHash, type AnswerEvent, type RoutedRequest, type TargetCall, type TargetFrame, type TargetLink,
} from '#core';
import {Placer, TargetViews} from '#placement';
import {
	EngineStandin, ScriptedTarget, ServiceStandin, createAnswerSlices,
} from '#standins';
import {createNoopBus} from '#peer-protocol';
import {
	computeFingerprint, PartQuarantine, Quarantine, StruckRequestTurns,
} from '#quarantine';
import {createTelemetry} from '#telemetry';

t.before(prepareHash);

const chat = {
	kind: 'chat', messages: [{role: 'user', content: 'hej'}], maxTokens: 60, extra: {},
} as const;
const call = {
	kind: 'call', method: 'POST', path: '/movements', body: new Uint8Array(),
} as const;
const getAnswerText = () => Buffer.concat(createAnswerSlices(chat));

function createRequest(names: readonly string[], overrides: Partial<RoutedRequest> = {}): RoutedRequest {
	return {
		id: 'q1', work: chat, isRepeatable: true, arrivedMs: 0, deadlineMs: 20_000,
		customer: {
			name: 'c', keyDigests: [], routes: [], limit: {requestsPerSecond: 1, burst: 1, concurrent: 1}, weight: 1, priority: 0,
		},
		route: {
			name: 'r', pool: 'p', firstTokenMs: 500, tokenGapMs: 50, timeoutMs: 20_000, repeatable: true, calls: [],
		},
		pool: {
			name: 'p', kind: 'engine', model: 'm', weights: 'v1', pieceTokens: 100, checksFencing: true, loadsAtOnce: 2, minLoaded: 1, slots: 8,
			targets: names.map(name => ({name, address: `${name}:1`, zone: 'z'})),
		},
		...overrides,
	};
}

function createFixture(targets: Readonly<Record<string, TargetLink>>, options: DispatcherOptions & Readonly<{clock?: ManualClock}> = {}) {
	const clock = options.clock ?? new ManualClock();
	const telemetry = createTelemetry({level: 'silent'});
	const views = new TargetViews();
	const random = createRandom(3);
	const bus = createNoopBus();
	const links = new TargetLinks({open: (_pool, target) => targets[target.name]!});
	const placer = new Placer({
		views, clock, random, zone: 'z',
	});
	const quarantine = new Quarantine({
		clock, random, telemetry, bus,
	});
	const dispatcher = new Dispatcher({
		clock, random, telemetry, views, placer, links, quarantine,
		partQuarantine: new PartQuarantine({
			clock, telemetry, getRank: () => 0, strikes: new Quarantine({
				clock, random, telemetry, bus,
			}, {namespace: 'part'}),
		}),
		turns: new StruckRequestTurns({clock, random, bus}),
	}, options);
	const callerAbort = new AbortController();
	const events: AnswerEvent[] = [];
	const run = async (overrides: Partial<RoutedRequest> = {}) => {
		for await (const event of dispatcher.run(createRequest(Object.keys(targets), overrides), callerAbort.signal)) {
			events.push(event);
		}
	};

	return {
		clock, telemetry, views, quarantine, dispatcher, callerAbort, events, run,
	};
}

function createEngineFixture() {
	const clock = new ManualClock();
	const options = {model: 'm', weights: 'v1'};
	const engines = {e1: new EngineStandin(clock, {...options, seed: 1}), e2: new EngineStandin(clock, {...options, seed: 2})};
	const fixture = createFixture(engines, {clock});
	const startRun = async () => {
		const done = fixture.run();
		await clock.advanceUntil(() => fixture.events.length > 8, 1000);
		const [busy, idle] = engines.e1.attemptedRequestIds.length > 0 ? [engines.e1, engines.e2] : [engines.e2, engines.e1];
		return {done, busy, idle};
	};

	return {...fixture, startRun};
}

const joinBytes = (events: readonly AnswerEvent[]) => Buffer.concat(events.flatMap(event => event.kind === 'data' ? [event.bytes] : []));
const formatKinds = (events: readonly AnswerEvent[]) => events.map(event => event.kind).join(' ');
const formatRefusal = (events: readonly AnswerEvent[]) => {
	const last = events.at(-1);
	return last?.kind === 'refused' ? `${last.refusal.reason} ${last.refusal.ran}` : undefined;
};

// Frames that scripted targets send.

const createHead = ({attemptId}: TargetCall, weights = 'v1'): TargetFrame => ({
	kind: 'head', attemptId, status: 200, incarnation: 'i', weights, promptTokens: 1, cachedTokens: 0,
});
const createData = ({attemptId}: TargetCall, offset: number, text: string): TargetFrame => ({
	kind: 'data', attemptId, offset, bytes: Buffer.from(text),
});
const createTool = ({attemptId}: TargetCall, index: number): TargetFrame => ({
	kind: 'tool', attemptId, call: {
		index, id: `t${index}`, name: 'f', arguments: '{}',
	},
});
const createUsage = ({attemptId}: TargetCall, completionTokens: number): TargetFrame => ({
	kind: 'usage', attemptId, usage: {promptTokens: 1, completionTokens, cachedTokens: 0},
});
const createEnd = ({attemptId}: TargetCall): TargetFrame => ({kind: 'end', attemptId, finish: 'stop'});
const lostFault: TargetFrame = {kind: 'fault', outcome: 'unknown', detail: 'ECONNRESET'};
const createWholeAnswer = (call: TargetCall) => [createHead(call), createData(call, 0, 'abc'), createEnd(call)];

t.test('resumes on the same engine after a connection reset, without another prefill', async t => {
	const {startRun, clock, events, telemetry} = createEngineFixture();
	const {done, busy, idle} = await startRun();
	const prefilled = busy.prefilledTokens;
	busy.breakConnections();
	await clock.advance(3000);
	await done;
	t.same(joinBytes(events), getAnswerText());
	t.equal(events.at(-1)?.kind, 'end');
	t.equal(busy.prefilledTokens, prefilled);
	t.equal(idle.attemptedRequestIds.length, 0);
	t.equal(telemetry.getCounter('retries_total', {reason: 'lost'}), 1);
});

t.test('replaces a silent connection within the silence time-out', async t => {
	const {startRun, clock, events, telemetry} = createEngineFixture();
	const {done, busy, idle} = await startRun();
	busy.silenceConnections();
	const silentSinceMs = clock.now();
	const count = events.length;
	await clock.advanceUntil(() => events.length > count, 2000);
	t.ok(clock.now() - silentSinceMs <= 450, 'the time-out is 16 default token gaps (400 ms), plus one more token');
	await clock.advance(3000);
	await done;
	t.same(joinBytes(events), getAnswerText());
	t.equal(idle.attemptedRequestIds.length, 0);
	t.equal(telemetry.getCounter('retries_total', {reason: 'silent'}), 1);
});

t.test('reports the summed usage once after a crash', async t => {
	const {startRun, clock, events} = createEngineFixture();
	const {done, busy} = await startRun();
	busy.crash();
	await clock.advance(3000);
	await done;
	t.same(joinBytes(events), getAnswerText());
	const usages = events.flatMap(event => event.kind === 'usage' ? [event.usage.completionTokens] : []);
	t.same(usages, [createAnswerSlices(chat).length]);
});

t.test('retries a silent engine once, then moves to another one', async t => {
	async function * staySilent(_call: TargetCall, signal: AbortSignal): AsyncGenerator<TargetFrame> {
		await new Promise(resolve => {
			signal.addEventListener('abort', resolve, {once: true});
		});
		yield lostFault;
	}

	const targetNames: string[] = [];
	const createTarget = (name: string) => new ScriptedTarget((call, signal) => {
		targetNames.push(name);
		return targetNames.length <= 2 ? staySilent(call, signal) : createWholeAnswer(call);
	});
	const {clock, run, events} = createFixture({a: createTarget('a'), b: createTarget('b')});
	const done = run();
	await clock.advance(10_000);
	await done;
	t.equal(joinBytes(events).toString(), 'abc');
	t.equal(targetNames.length, 3);
	t.equal(targetNames[0], targetNames[1], 'the first retry uses a new connection to the same target');
	t.not(targetNames[1], targetNames[2], 'the second retry uses another target');
});

t.test('never delivers a frame of another attempt', async t => {
	const a = new ScriptedTarget(
		call => [createHead(call), createData(call, 0, 'ab'), createData({...call, attemptId: 'other'}, 2, 'XX'), createEnd(call)],
		call => [createHead(call), createData(call, 2, 'c'), createEnd(call)],
	);
	const {run, events, telemetry} = createFixture({a});
	await run();
	t.equal(joinBytes(events).toString(), 'abc');
	t.same(a.calls.map(call => [call.resumeOffset, call.deliveredText, call.shouldUseNewConnection]), [[0, '', false], [2, 'ab', true]]);
	t.equal(telemetry.getCounter('retries_total', {reason: 'crossed'}), 1);
});

t.test('retries on another target when the head states other weights', async t => {
	const a = new ScriptedTarget(call => [createHead(call, 'v0'), createData(call, 0, 'old'), createEnd(call)]);
	const b = new ScriptedTarget(createWholeAnswer);
	const fixture = createFixture({a, b});
	await fixture.run();
	t.equal(joinBytes(fixture.events).toString(), 'abc');
	const unbudgeted = createFixture({a, b: a}, {budget: new RetryBudget(new ManualClock(), {slack: 0, ratio: 0})});
	await unbudgeted.run();
	t.equal(formatRefusal(unbudgeted.events), 'retry_budget_spent ran');
	t.equal(formatKinds(unbudgeted.events), 'refused');
});

t.test('does not deliver an empty answer without usage as complete', async t => {
	const a = new ScriptedTarget(call => [createHead(call), createEnd(call)]);
	const fixture = createFixture({a});
	await fixture.run();
	t.equal(formatRefusal(fixture.events), 'target_failed ran');
	t.equal(fixture.events.length, 1);
});

// Guards against a truncated answer that ends with the usage and the end of an earlier, empty one.
t.test('does not deliver a kept empty answer after text of a later attempt', async t => {
	const a = new ScriptedTarget(
		call => [createHead(call), createUsage(call, 0), createEnd(call)],
		call => [createHead(call), createData(call, 0, 'abc'), lostFault],
	);
	const clock = new ManualClock();
	const {run, events} = createFixture({a, b: a}, {clock, budget: new RetryBudget(clock, {ratio: 0, slack: 2})});
	await run();
	t.equal(formatKinds(events), 'head data refused');
});

t.test('delivers an empty answer with usage after two attempts returned one', async t => {
	const script = (call: TargetCall) => [createHead(call), createUsage(call, 0), createEnd(call)];
	const [a, b] = [new ScriptedTarget(script), new ScriptedTarget(script)];
	const {run, events} = createFixture({a, b});
	await run();
	t.equal(formatKinds(events), 'head usage end');
	t.equal(a.calls.length + b.calls.length, 2);
});

t.test('delivers each tool call once', async t => {
	const a = new ScriptedTarget(
		call => [createHead(call), createTool(call, 0), createTool(call, 1), lostFault],
		call => [createHead(call), createTool(call, 0), createTool(call, 1), createTool(call, 2), createEnd(call)],
	);
	const {run, events} = createFixture({a});
	await run();
	t.same(events.flatMap(event => event.kind === 'tool' ? [event.call.index] : []), [0, 1, 2]);
	t.equal(events.at(-1)?.kind, 'end');
});

t.test('stops an answer that exceeds the maximum length', async t => {
	function * repeat(call: TargetCall): Generator<TargetFrame> {
		yield createHead(call);
		for (let offset = 0; ; offset += 10) {
			yield createData(call, offset, '0123456789');
		}
	}

	const {run, events} = createFixture({a: new ScriptedTarget(repeat)}, {maxAnswerBytes: 1000});
	await run();
	t.equal(formatRefusal(events), 'answer_too_long ran');
	t.ok(joinBytes(events).length <= 1000);
});

t.test('stops at the deadline, and states in the refusal whether the request ran', async t => {
	async function * drip(call: TargetCall): AsyncGenerator<TargetFrame> {
		yield createHead(call);
		for (let offset = 0; ; offset++) {
			await clock.sleep(10);
			yield createData(call, offset, 'x');
		}
	}

	const clock = new ManualClock();
	const {run, events, dispatcher} = createFixture({a: new ScriptedTarget(drip)}, {clock});
	const done = run({deadlineMs: 500});
	await clock.advance(600);
	await done;
	t.equal(formatRefusal(events), 'deadline_exceeded ran');
	const late: AnswerEvent[] = [];
	for await (const event of dispatcher.run(createRequest(['a'], {deadlineMs: 500}), new AbortController().signal)) {
		late.push(event);
	}

	t.equal(formatRefusal(late), 'deadline_exceeded not_run');
});

t.test('refuses at once with a retry-after time when every target refuses', async t => {
	const script = (): TargetFrame[] => [{
		kind: 'fault', outcome: 'refused', detail: 'busy', retryAfterMs: 700,
	}];
	const {run, events, clock} = createFixture({a: new ScriptedTarget(script), b: new ScriptedTarget(script)});
	await run({isRepeatable: false, work: call});
	t.equal(formatRefusal(events), 'target_refused not_run');
	t.equal(events[0]?.kind === 'refused' && events[0].refusal.retryAfterMs, 700);
	t.equal(clock.now(), 0);
});

t.test('stops retrying when the budget is spent', async t => {
	const a = new ScriptedTarget(() => [lostFault]);
	const {run, events, telemetry} = createFixture({a, b: a, c: a}, {budget: new RetryBudget(new ManualClock(), {slack: 2})});
	await run();
	t.equal(formatRefusal(events), 'retry_budget_spent unknown');
	t.equal(a.calls.length, 2);
	t.equal(telemetry.getCounter('retries_refused_total', {reason: 'budget'}), 1);
});

t.test('aborts the run on the target when the caller leaves', async t => {
	const {startRun, callerAbort, clock, events, expectedRuns} = {...createEngineFixture(), expectedRuns: 1};
	const {done, busy, idle} = await startRun();
	callerAbort.abort();
	await done;
	const count = events.length;
	await clock.advance(3000);
	t.equal(events.length, count);
	t.equal(busy.attemptedRequestIds.length + idle.attemptedRequestIds.length, expectedRuns);
	const report = await busy.readReport();
	t.equal(report.ok && report.value.running, 0);
});

t.test('reads at most one frame ahead of a slow caller', async t => {
	function * repeat(call: TargetCall): Generator<TargetFrame> {
		yield createHead(call);
		for (let offset = 0; offset < 100_000; offset++) {
			yield createData(call, offset, 'x');
		}
	}

	const a = new ScriptedTarget(repeat);
	const {dispatcher, clock, callerAbort} = createFixture({a});
	const events = dispatcher.run(createRequest(['a']), callerAbort.signal);
	for (let read = 1; read <= 50; read++) {
		await events.next();
		await clock.advance(1);
		// The head is held back until the first data frame, so one more frame than events has been read.
		t.ok(a.frameCount <= read + 1);
	}

	await events.return(undefined);
});

t.test('never joins parts of two attempts of a call', async t => {
	const a = new ScriptedTarget(
		call => [createHead(call), createData(call, 0, 'first '), lostFault],
		call => [createHead(call), createData(call, 0, 'second'), createEnd(call)],
	);
	const {run, events} = createFixture({a, b: a});
	await run({work: call});
	t.equal(joinBytes(events).toString(), 'second');
});

t.test('runs a call that may not be repeated only once, even when its connection is lost', async t => {
	const a = new ScriptedTarget(call => [createHead(call), createData(call, 0, 'part'), lostFault]);
	const fixture = createFixture({a, b: a});
	await fixture.run({work: call, isRepeatable: false});
	t.equal(formatRefusal(fixture.events), 'target_lost ran');
	t.equal(a.calls.length, 1);
	t.ok(a.calls[0]!.shouldUseNewConnection);
});

t.test('runs a call that may not be repeated on another target only when the first one provably did not run it', async t => {
	const clock = new ManualClock();
	const [s1, s2] = [new ServiceStandin(clock), new ServiceStandin(clock)];
	const fixture = createFixture({s1, s2}, {clock});
	s1.crash();
	s2.crash();
	const refused = fixture.run({work: call, isRepeatable: false});
	await clock.advance(100);
	await refused;
	t.equal(formatRefusal(fixture.events), 'no_target not_run');
	s2.restart();
	const done = fixture.run({work: call, isRepeatable: false});
	await clock.advance(100);
	await done;
	t.equal(fixture.events.at(-1)?.kind, 'end');
	t.equal(s1.ledger.length + s2.ledger.length, 1);
});

t.test('aborts an attempt before its first byte when the same request crashed a target elsewhere', async t => {
	async function * answerLate(call: TargetCall): AsyncGenerator<TargetFrame> {
		await clock.sleep(200);
		yield * createWholeAnswer(call);
	}

	const clock = new ManualClock();
	const a = new ScriptedTarget(answerLate);
	const {run, events, quarantine, telemetry} = createFixture({a, b: a}, {clock});
	const done = run();
	await clock.advance(100);
	quarantine.recordCrash(computeFingerprint(createRequest(['a', 'b'])), 'c', 'i1');
	await clock.advance(150);
	t.same(events, [], 'the aborted attempt delivers nothing');
	await clock.advance(500);
	await done;
	t.equal(joinBytes(events).toString(), 'abc');
	t.equal(telemetry.getCounter('retries_total', {reason: 'struck'}), 1);
	t.equal(quarantine.countStrikes(computeFingerprint(createRequest(['a', 'b']))), 0, 'completion clears the strike');
});
