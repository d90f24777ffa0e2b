import {Buffer} from 'node:buffer';
import t from 'tap';
import {Dispatcher, type DispatcherOptions} from './dispatcher.ts';
import {TargetLinks} from './links.ts';
import {RetryBudget} from './retry-budget.ts';
import {ManualClock} from '#clock';
import {
	createRandom, prepareHash, type AnswerEvent, type RoutedRequest, type TargetCall, type TargetFrame, type TargetLink,
} from '#core';
import {Placer, TargetViews} from '#placement';
import {
	EngineStandin, ScriptedTarget, ServiceStandin, writeAnswerText,
} from '#standins';
import {createQuietBus} from '#peer-protocol';
import {makeFingerprint, Quarantine, StruckTurns} from '#quarantine';
import {createTelemetry} from '#telemetry';

t.before(prepareHash);

const chat = {
	kind: 'chat', messages: [{role: 'user', content: 'hej'}], maxTokens: 60, extra: {},
} as const;
const call = {
	kind: 'call', method: 'POST', path: '/movements', body: new Uint8Array(),
} as const;
const answerText = () => Buffer.concat(writeAnswerText(chat));

function makeRequest(names: readonly string[], changes: Partial<RoutedRequest> = {}): RoutedRequest {
	return {
		id: 'q1', work: chat, repeatable: true, arrivedMs: 0, deadlineMs: 20_000,
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
		...changes,
	};
}

function start(targets: Readonly<Record<string, TargetLink>>, options: DispatcherOptions & Readonly<{clock?: ManualClock}> = {}) {
	const clock = options.clock ?? new ManualClock();
	const telemetry = createTelemetry({level: 'silent'});
	const views = new TargetViews();
	const random = createRandom(3);
	const bus = createQuietBus();
	const links = new TargetLinks({open: (_pool, target) => targets[target.name]!});
	const placer = new Placer({
		views, clock, random, zone: 'z',
	});
	const quarantine = new Quarantine({
		clock, random, telemetry, bus,
	});
	const dispatcher = new Dispatcher({
		clock, random, telemetry, views, placer, links, quarantine,
		turns: new StruckTurns({clock, random, bus}),
	}, options);
	const leave = new AbortController();
	const events: AnswerEvent[] = [];
	const run = async (changes: Partial<RoutedRequest> = {}) => {
		for await (const event of dispatcher.run(makeRequest(Object.keys(targets), changes), leave.signal)) {
			events.push(event);
		}
	};

	return {
		clock, telemetry, views, quarantine, dispatcher, leave, events, run,
	};
}

function startEngines() {
	const clock = new ManualClock();
	const options = {model: 'm', weights: 'v1'};
	const engines = {e1: new EngineStandin(clock, {...options, seed: 1}), e2: new EngineStandin(clock, {...options, seed: 2})};
	const rig = start(engines, {clock});
	const begin = async () => {
		const done = rig.run();
		await clock.advanceUntil(() => rig.events.length > 8, 1000);
		const [busy, idle] = engines.e1.runs.length > 0 ? [engines.e1, engines.e2] : [engines.e2, engines.e1];
		return {done, busy, idle};
	};

	return {...rig, begin};
}

const readBytes = (events: readonly AnswerEvent[]) => Buffer.concat(events.flatMap(event => event.kind === 'data' ? [event.bytes] : []));
const listKinds = (events: readonly AnswerEvent[]) => events.map(event => event.kind).join(' ');
const readRefusal = (events: readonly AnswerEvent[]) => {
	const last = events.at(-1);
	return last?.kind === 'refused' ? `${last.refusal.reason} ${last.refusal.ran}` : undefined;
};

// Frames of scripted attempts.

const head = ({attemptId}: TargetCall, weights = 'v1'): TargetFrame => ({
	kind: 'head', attemptId, status: 200, incarnation: 'i', weights, promptTokens: 1, cachedTokens: 0,
});
const data = ({attemptId}: TargetCall, offset: number, text: string): TargetFrame => ({
	kind: 'data', attemptId, offset, bytes: Buffer.from(text),
});
const tool = ({attemptId}: TargetCall, index: number): TargetFrame => ({
	kind: 'tool', attemptId, call: {
		index, id: `t${index}`, name: 'f', arguments: '{}',
	},
});
const usage = ({attemptId}: TargetCall, completionTokens: number): TargetFrame => ({
	kind: 'usage', attemptId, usage: {promptTokens: 1, completionTokens, cachedTokens: 0},
});
const end = ({attemptId}: TargetCall): TargetFrame => ({kind: 'end', attemptId, finish: 'stop'});
const lost: TargetFrame = {kind: 'fault', outcome: 'unknown', detail: 'ECONNRESET'};
const whole = (call: TargetCall) => [head(call), data(call, 0, 'abc'), end(call)];

t.test('resumes on the same engine after a reset, without another prefill', async t => {
	const {begin, clock, events, telemetry} = startEngines();
	const {done, busy, idle} = await begin();
	const prefilled = busy.prefilledTokens;
	busy.breakConnections();
	await clock.advance(3000);
	await done;
	t.same(readBytes(events), answerText());
	t.equal(events.at(-1)?.kind, 'end');
	t.equal(busy.prefilledTokens, prefilled);
	t.equal(idle.runs.length, 0);
	t.equal(telemetry.read('retries_total', {reason: 'lost'}), 1);
});

t.test('replaces a silent connection within its bound', async t => {
	const {begin, clock, events, telemetry} = startEngines();
	const {done, busy, idle} = await begin();
	busy.silenceConnections();
	const atMs = clock.now();
	const count = events.length;
	await clock.advanceUntil(() => events.length > count, 2000);
	t.ok(clock.now() - atMs <= 450, 'sixteen token gaps of the default pace, and one more token');
	await clock.advance(3000);
	await done;
	t.same(readBytes(events), answerText());
	t.equal(idle.runs.length, 0);
	t.equal(telemetry.read('retries_total', {reason: 'silent'}), 1);
});

t.test('reports the sum of usage once after a crash', async t => {
	const {begin, clock, events} = startEngines();
	const {done, busy} = await begin();
	busy.crash();
	await clock.advance(3000);
	await done;
	t.same(readBytes(events), answerText());
	const usages = events.flatMap(event => event.kind === 'usage' ? [event.usage.completionTokens] : []);
	t.same(usages, [writeAnswerText(chat).length]);
});

t.test('leaves an engine that stays silent for another one', async t => {
	async function * stay(_call: TargetCall, signal: AbortSignal): AsyncGenerator<TargetFrame> {
		await new Promise(resolve => {
			signal.addEventListener('abort', resolve, {once: true});
		});
		yield lost;
	}

	const places: string[] = [];
	const makeTarget = (name: string) => new ScriptedTarget((call, signal) => {
		places.push(name);
		return places.length <= 2 ? stay(call, signal) : whole(call);
	});
	const {clock, run, events} = start({a: makeTarget('a'), b: makeTarget('b')});
	const done = run();
	await clock.advance(10_000);
	await done;
	t.equal(readBytes(events).toString(), 'abc');
	t.equal(places.length, 3);
	t.equal(places[0], places[1], 'first over a new connection');
	t.not(places[1], places[2], 'then on another target');
});

t.test('never delivers a frame of another attempt', async t => {
	const a = new ScriptedTarget(
		call => [head(call), data(call, 0, 'ab'), data({...call, attemptId: 'other'}, 2, 'XX'), end(call)],
		call => [head(call), data(call, 2, 'c'), end(call)],
	);
	const {run, events, telemetry} = start({a});
	await run();
	t.equal(readBytes(events).toString(), 'abc');
	t.same(a.calls.map(call => [call.resumeOffset, call.deliveredText, call.freshConnection]), [[0, '', false], [2, 'ab', true]]);
	t.equal(telemetry.read('retries_total', {reason: 'crossed'}), 1);
});

t.test('places again when the head states other weights', async t => {
	const a = new ScriptedTarget(call => [head(call, 'v0'), data(call, 0, 'old'), end(call)]);
	const b = new ScriptedTarget(whole);
	const rig = start({a, b});
	await rig.run();
	t.equal(readBytes(rig.events).toString(), 'abc');
	const none = start({a, b: a}, {budget: new RetryBudget(new ManualClock(), {slack: 0, ratio: 0})});
	await none.run();
	t.equal(readRefusal(none.events), 'retry_budget_spent ran');
	t.equal(listKinds(none.events), 'refused');
});

t.test('does not pass an empty answer as complete', async t => {
	const a = new ScriptedTarget(call => [head(call), end(call)]);
	const rig = start({a});
	await rig.run();
	t.equal(readRefusal(rig.events), 'target_failed ran');
	t.equal(rig.events.length, 1);
});

t.test('believes an empty answer that accounts for itself', async t => {
	const script = (call: TargetCall) => [head(call), usage(call, 0), end(call)];
	const [a, b] = [new ScriptedTarget(script), new ScriptedTarget(script)];
	const {run, events} = start({a, b});
	await run();
	t.equal(listKinds(events), 'head usage end');
	t.equal(a.calls.length + b.calls.length, 2);
});

t.test('delivers each tool call once', async t => {
	const a = new ScriptedTarget(
		call => [head(call), tool(call, 0), tool(call, 1), lost],
		call => [head(call), tool(call, 0), tool(call, 1), tool(call, 2), end(call)],
	);
	const {run, events} = start({a});
	await run();
	t.same(events.flatMap(event => event.kind === 'tool' ? [event.call.index] : []), [0, 1, 2]);
	t.equal(events.at(-1)?.kind, 'end');
});

t.test('bounds an answer that never ends', async t => {
	function * repeat(call: TargetCall): Generator<TargetFrame> {
		yield head(call);
		for (let offset = 0; ; offset += 10) {
			yield data(call, offset, '0123456789');
		}
	}

	const {run, events} = start({a: new ScriptedTarget(repeat)}, {maxAnswerBytes: 1000});
	await run();
	t.equal(readRefusal(events), 'answer_too_long ran');
	t.ok(readBytes(events).length <= 1000);
});

t.test('ends at the deadline and says truly what ran', async t => {
	async function * drip(call: TargetCall): AsyncGenerator<TargetFrame> {
		yield head(call);
		for (let offset = 0; ; offset++) {
			await clock.sleep(10);
			yield data(call, offset, 'x');
		}
	}

	const clock = new ManualClock();
	const {run, events, dispatcher} = start({a: new ScriptedTarget(drip)}, {clock});
	const done = run({deadlineMs: 500});
	await clock.advance(600);
	await done;
	t.equal(readRefusal(events), 'deadline_exceeded ran');
	const late: AnswerEvent[] = [];
	for await (const event of dispatcher.run(makeRequest(['a'], {deadlineMs: 500}), new AbortController().signal)) {
		late.push(event);
	}

	t.equal(readRefusal(late), 'deadline_exceeded not_run');
});

t.test('refuses at once when every target refuses, and says when to come back', async t => {
	const script = (): TargetFrame[] => [{
		kind: 'fault', outcome: 'refused', detail: 'busy', retryAfterMs: 700,
	}];
	const {run, events, clock} = start({a: new ScriptedTarget(script), b: new ScriptedTarget(script)});
	await run({repeatable: false, work: call});
	t.equal(readRefusal(events), 'target_refused not_run');
	t.equal(events[0]?.kind === 'refused' && events[0].refusal.retryAfterMs, 700);
	t.equal(clock.now(), 0);
});

t.test('stops retrying when the budget is spent', async t => {
	const a = new ScriptedTarget(() => [lost]);
	const {run, events, telemetry} = start({a, b: a, c: a}, {budget: new RetryBudget(new ManualClock(), {slack: 2})});
	await run();
	t.equal(readRefusal(events), 'retry_budget_spent unknown');
	t.equal(a.calls.length, 2);
	t.equal(telemetry.read('retries_refused_total', {reason: 'budget'}), 1);
});

t.test('cancels the target when the caller leaves', async t => {
	const {begin, leave, clock, events, busyRuns} = {...startEngines(), busyRuns: 1};
	const {done, busy, idle} = await begin();
	leave.abort();
	await done;
	const count = events.length;
	await clock.advance(3000);
	t.equal(events.length, count);
	t.equal(busy.runs.length + idle.runs.length, busyRuns);
	const report = await busy.readReport();
	t.equal(report.ok && report.value.running, 0);
});

t.test('reads at most one frame ahead of a slow caller', async t => {
	function * repeat(call: TargetCall): Generator<TargetFrame> {
		yield head(call);
		for (let offset = 0; offset < 100_000; offset++) {
			yield data(call, offset, 'x');
		}
	}

	const a = new ScriptedTarget(repeat);
	const {dispatcher, clock, leave} = start({a});
	const events = dispatcher.run(makeRequest(['a']), leave.signal);
	for (let read = 1; read <= 50; read++) {
		await events.next();
		await clock.advance(1);
		t.ok(a.frames <= read + 1);
	}

	await events.return(undefined);
});

t.test('never joins parts of two runs of a call', async t => {
	const a = new ScriptedTarget(
		call => [head(call), data(call, 0, 'first '), lost],
		call => [head(call), data(call, 0, 'second'), end(call)],
	);
	const {run, events} = start({a, b: a});
	await run({work: call});
	t.equal(readBytes(events).toString(), 'second');
});

t.test('runs a call that may not be repeated once, whatever is lost', async t => {
	const a = new ScriptedTarget(call => [head(call), data(call, 0, 'part'), lost]);
	const rig = start({a, b: a});
	await rig.run({work: call, repeatable: false});
	t.equal(readRefusal(rig.events), 'target_lost ran');
	t.equal(a.calls.length, 1);
	t.ok(a.calls[0]!.freshConnection);
});

t.test('tries another member only when the first provably got nothing', async t => {
	const clock = new ManualClock();
	const [s1, s2] = [new ServiceStandin(clock), new ServiceStandin(clock)];
	const rig = start({s1, s2}, {clock});
	s1.crash();
	s2.crash();
	const refused = rig.run({work: call, repeatable: false});
	await clock.advance(100);
	await refused;
	t.equal(readRefusal(rig.events), 'no_target not_run');
	s2.restart();
	const done = rig.run({work: call, repeatable: false});
	await clock.advance(100);
	await done;
	t.equal(rig.events.at(-1)?.kind, 'end');
	t.equal(s1.ledger.length + s2.ledger.length, 1);
});

t.test('takes an attempt back when the same request crashed a target elsewhere', async t => {
	async function * wait(call: TargetCall): AsyncGenerator<TargetFrame> {
		await clock.sleep(200);
		yield * whole(call);
	}

	const clock = new ManualClock();
	const a = new ScriptedTarget(wait);
	const {run, events, quarantine, telemetry} = start({a, b: a}, {clock});
	const done = run();
	await clock.advance(100);
	quarantine.recordCrash(makeFingerprint(makeRequest(['a', 'b'])), 'c', 'i1');
	await clock.advance(150);
	t.same(events, [], 'the first attempt delivers nothing any more');
	await clock.advance(500);
	await done;
	t.equal(readBytes(events).toString(), 'abc');
	t.equal(telemetry.read('retries_total', {reason: 'struck'}), 1);
	t.equal(quarantine.countStrikes(makeFingerprint(makeRequest(['a', 'b']))), 0, 'completion clears the strike');
});
