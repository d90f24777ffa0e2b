import t from 'tap';
import {EngineStandin} from './engine.ts';
import {ManualClock} from '#clock';
import {prepareHash, type TargetCall, type TargetFrame} from '#core';

t.before(prepareHash);

const baseCall: TargetCall = {
	attemptId: 'a1', requestId: 'r1', customer: 'c', work: {
		kind: 'chat', messages: [{role: 'user', content: 'hej'}], maxTokens: 10, extra: {},
	}, chain: ['k1', 'k2'], pieceTokens: [800, 800], priority: 1, remainingMs: 10_000, resumeOffset: 0, deliveredText: '',
	shouldUseNewConnection: false, importKeys: [],
};

function startCall(engine: EngineStandin, call: TargetCall) {
	const frames: TargetFrame[] = [];
	const controller = new AbortController();
	const done = (async () => {
		for await (const frame of engine.run(call, controller.signal)) {
			frames.push(frame);
		}
	})();
	return {frames, controller, done};
}

t.test('prefills prompts one at a time', async t => {
	const clock = new ManualClock();
	const engine = new EngineStandin(clock);
	const first = startCall(engine, baseCall);
	const second = startCall(engine, {...baseCall, requestId: 'r2', chain: ['k3']});
	await clock.advance(250);
	t.ok(first.frames.some(frame => frame.kind === 'head'));
	t.notOk(second.frames.some(frame => frame.kind === 'head'));
	await clock.advance(1000);
	t.equal(first.frames.at(-1)?.kind, 'end');
	t.equal(second.frames.at(-1)?.kind, 'end');
});

t.test('reports uncached tokens of waiting prompts only', async t => {
	const clock = new ManualClock();
	const engine = new EngineStandin(clock);
	startCall(engine, baseCall);
	await clock.advance(1000);
	startCall(engine, {...baseCall, requestId: 'r2', chain: ['k9']});
	startCall(engine, {...baseCall, requestId: 'r3', chain: ['k1', 'k5']});
	await clock.runPendingCallbacks();
	t.equal(engine.measureLoad().queuedTokens, 800);
});

t.test('an aborted request releases its slot and the prefill lane', async t => {
	const clock = new ManualClock();
	const engine = new EngineStandin(clock, {slots: 1});
	const first = startCall(engine, baseCall);
	const waiting = startCall(engine, {...baseCall, requestId: 'r2'});
	const last = startCall(engine, {
		...baseCall, requestId: 'r3', chain: ['k3'], pieceTokens: [8],
	});
	await clock.advance(50);
	waiting.controller.abort();
	first.controller.abort();
	await clock.advance(20);
	t.equal(engine.measureLoad().running, 1);
	t.equal(last.frames[0]?.kind, 'head');
	t.equal(engine.prefilledTokens, 8);
});

t.test('resumes at the offset after a lost connection', async t => {
	const clock = new ManualClock();
	const engine = new EngineStandin(clock);
	const first = startCall(engine, baseCall);
	await clock.advance(250);
	engine.breakConnections();
	await first.done;
	const data = first.frames.filter(frame => frame.kind === 'data');
	const resumeOffset = data.reduce((sum, frame) => sum + frame.bytes.length, 0);
	t.ok(resumeOffset > 0);
	await clock.advance(1000);
	const second = startCall(engine, {...baseCall, attemptId: 'a2', resumeOffset});
	await clock.advance(0);
	t.equal(second.frames.find(frame => frame.kind === 'data')?.offset, resumeOffset);
	t.equal(second.frames.at(-1)?.kind, 'end');
	t.equal(engine.prefilledTokens, 1600);
});

t.test('aborts a generation that is not resumed in time', async t => {
	const clock = new ManualClock();
	const engine = new EngineStandin(clock, {resumeHoldMs: 500, tokenGapMs: 200});
	startCall(engine, baseCall);
	await clock.advance(450);
	engine.breakConnections();
	await clock.advance(600);
	t.equal(engine.measureLoad().running, 0);
});

t.test('evicts the last pieces of a chain first', async t => {
	const clock = new ManualClock();
	const engine = new EngineStandin(clock, {cacheTokens: 2400});
	startCall(engine, baseCall);
	await clock.advance(1000);
	startCall(engine, {...baseCall, requestId: 'r2', chain: ['k3', 'k4']});
	await clock.advance(1000);
	t.same(['k1', 'k2', 'k3', 'k4'].map(key => engine.isCached(key)), [true, false, true, true]);
});

t.test('cache events are delayed, and lost events leave gaps in the sequence', async t => {
	const clock = new ManualClock();
	const engine = new EngineStandin(clock, {eventDelayMs: 300, seed: 3});
	for (let index = 0; index < 20; index++) {
		startCall(engine, {
			...baseCall, requestId: `r${index}`, chain: [`k${index}`], pieceTokens: [8],
		});
	}

	await clock.advance(200);
	const early = await engine.readCacheEvents(0);
	t.same(early.ok && early.value.events, []);
	await clock.advance(1000);
	engine.setEventLossRatio(0.5);
	const late = await engine.readCacheEvents(0);
	t.equal(late.ok && late.value.sequence, 20);
	t.ok(late.ok && late.value.events.length < 20);
	t.ok(late.ok && late.value.events.length > 0);
});
