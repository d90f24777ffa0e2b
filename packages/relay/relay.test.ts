import t from 'tap';
import {
	failed, formatChunk, formatEvent, notRun, ok, onceRoute, pool, reset, runRequest, safeRoute, sendText, sendTextAndClose, silent, startRelay, streamHead, streamRoute,
} from './testing/relay.ts';
import type {Prompt} from '#core';
import type {RawScript} from '#standins';

t.test('an answer is delivered with its signature', async t => {
	const {caller, raw} = await runRequest(t, safeRoute, sendText(ok));
	t.strictSame(caller.records, ['200 s1', 'end']);
	t.equal(caller.text, 'ok');
	t.match(raw[0]!.requests[0], {
		method: 'POST', path: '/x', body: 'body', headers: {'x-own': '1', 'x-id': 'a', 'x-left': '800'},
	});
});

t.test('a safe request whose target answers with an error is retried on another target', async t => {
	const {caller, counts} = await runRequest(t, safeRoute, sendText(failed), sendText(ok));
	t.strictSame([caller.records, counts], [['200 s1', 'end'], [1, 1]]);
});

t.test('an error answer is delivered if all targets answer with errors', async t => {
	const {caller, counts} = await runRequest(t, safeRoute, sendText(failed), sendText(failed));
	t.strictSame([caller.records, caller.text, counts], [['500 s2', 'end'], 'no', [1, 1]]);
});

t.test('a request that must not run twice is not sent again once it may have run', async t => {
	for (const script of [reset, sendTextAndClose('HTTP/1.1 200 OK\r\nx-signed: s\r\ncontent-length: 9\r\n\r\nok'), sendText('no answer at all\r\n\r\n')]) {
		const {caller, counts} = await runRequest(t, onceRoute, script, sendText(ok));
		t.strictSame(counts, [1, 0]);
		t.match(caller.records, ['refused 502 target_lost unknown']);
	}
});

t.test('an error answer to a request that must not run twice is delivered', async t => {
	const {caller, counts} = await runRequest(t, onceRoute, sendText(failed), sendText(ok));
	t.strictSame([caller.records, counts], [['500 s2', 'end'], [1, 0]]);
});

t.test('a request that provably has not run is retried, even if it must not run twice', async t => {
	for (const script of [sendText(notRun), sendText('HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n')]) {
		const {caller, counts} = await runRequest(t, onceRoute, script, sendText(ok));
		t.strictSame([caller.records, counts], [['200 s1', 'end'], [1, 1]]);
	}
});

t.test('a misdirected request reports whether the process was replaced or the weights differ', async t => {
	const other = await runRequest(t, onceRoute, sendText('HTTP/1.1 421 Other\r\nx-target: t9\r\ncontent-length: 0\r\n\r\n'), sendText(ok));
	t.strictSame(other.mismatches, ['t0 replaced']);
	const same = await runRequest(t, onceRoute, sendText('HTTP/1.1 421 Other\r\nx-target: t0\r\ncontent-length: 0\r\n\r\n'), sendText(ok));
	t.strictSame(same.mismatches, ['t0 other_weights']);
});

t.test('a request that all targets refuse is refused as not run, with a time to retry', async t => {
	const {caller} = await runRequest(t, onceRoute, sendText(notRun), sendText(notRun));
	t.strictSame(caller.records, ['refused 503 target_refused not_run']);
	t.ok(caller.refusal!.retryAfterMs! > 0);
});

t.test('a target that refuses connections does not use up the retry budget', async t => {
	const setup = await startRelay(t, sendText(ok), sendText(ok));
	await setup.raw[0]!.close();
	const {caller, isDone} = setup.startRequest(onceRoute);
	await setup.waitUntil(isDone);
	t.strictSame(caller.records, ['200 s1', 'end']);
	t.equal(setup.budget.getRemaining('p'), 8);
});

t.test('an answer to another request is not delivered', async t => {
	const crossed = sendText('HTTP/1.1 200 OK\r\nx-id: other\r\nx-signed: s\r\ncontent-length: 2\r\n\r\nno');
	const safe = await runRequest(t, safeRoute, crossed, sendText(ok));
	t.strictSame([safe.caller.records, safe.caller.text], [['200 s1', 'end'], 'ok']);
	const once = await runRequest(t, onceRoute, crossed, sendText(ok));
	t.strictSame([once.caller.records, once.counts], [['refused 502 target_lost unknown'], [1, 0]]);
});

t.test('a successful answer without a signature is not delivered', async t => {
	const {caller} = await runRequest(t, safeRoute, sendText('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno'), sendText(ok));
	t.strictSame([caller.records, caller.text], [['200 s1', 'end'], 'ok']);
});

t.test('a request ends at its deadline', async t => {
	const {caller, clock} = await runRequest(t, onceRoute, silent);
	t.strictSame(caller.records, ['refused 504 deadline_exceeded unknown']);
	t.ok(clock.now() >= 800 && clock.now() < 900);
});

t.test('a safe request is retried if its target is silent', async t => {
	const {caller, clock} = await runRequest(t, safeRoute, silent, sendText(ok));
	t.strictSame(caller.records, ['200 s1', 'end']);
	t.ok(clock.now() < 500);
});

t.test('a request is sent to no more targets than its route allows', async t => {
	const {counts} = await runRequest(t, safeRoute, reset, reset, reset, reset);
	t.equal(counts.reduce((sum, count) => sum + count, 0), 2);
});

// The other half of the budget of 8 is reserved for started streams.
t.test('retries stop when the half of the budget that is open to all requests is used up', async t => {
	const setup = await startRelay(t, reset, sendText(ok));
	for (let request = 0; request < 8; request++) {
		setup.raw[1]!.setScript(sendText(ok));
		setup.targets.get('t0')!.clearSuspicion();
		const {isDone} = setup.startRequest(safeRoute, 0, `a${request}`);
		await setup.waitUntil(isDone);
	}

	const retries = setup.raw[1]!.requests.length;
	t.equal(retries, 4);
});

t.test('started streams may also use the half of the budget that is reserved for them', async t => {
	const breakOff: RawScript = (_request, reply) => {
		reply.write(`${streamHead}${formatEvent(1)}`);
		reply.reset();
	};

	const setup = await startRelay(t, breakOff, breakOff);
	for (let request = 0; request < 8; request++) {
		setup.raw[1]!.setScript(sendText(`${streamHead}${formatEvent(2)}0\r\n\r\n`));
		setup.targets.get('t0')!.clearSuspicion();
		const {isDone} = setup.startRequest(streamRoute, 0, `a${request}`);
		await setup.waitUntil(isDone);
	}

	t.equal(setup.raw[1]!.requests.length, 8);
});

t.test('requests beyond this instance\'s share of connections are refused at once; later ones are served when connections are free', async t => {
	const setup = await startRelay(t, silent);
	// The pool allows 10 connections to a target, and two instances share them.
	const started = Array.from({length: 7}, (_item, index) => setup.startRequest(onceRoute, 0, `a${index}`));
	await setup.waitUntil(() => started.filter(({isDone}) => isDone()).length === 2);
	t.equal(setup.clock.now(), 0);
	for (const {caller} of started.slice(5)) {
		t.strictSame(caller.records, ['refused 503 queue_full not_run']);
		t.ok(caller.refusal!.retryAfterMs! > 0);
	}

	await setup.waitUntil(() => setup.raw[0]!.requests.length === 5);
	started[0]!.caller.leave();
	await setup.waitUntil(started[0]!.isDone);
	setup.startRequest(onceRoute, 0, 'late');
	await setup.waitUntil(() => setup.raw[0]!.requests.length === 6);
});

t.test('a request is aborted when its caller leaves', async t => {
	const setup = await startRelay(t, silent);
	const {caller, isDone} = setup.startRequest(onceRoute);
	await setup.waitUntil(() => setup.raw[0]!.requests.length === 1);
	caller.leave();
	await setup.waitUntil(isDone);
	t.strictSame(caller.records, []);
	await setup.waitUntil(() => setup.targets.get('t0')!.connections.size === 0);
});

t.test('a stream is delivered completely', async t => {
	const {caller} = await runRequest(t, streamRoute, sendText(`${streamHead}${formatEvent(1)}${formatEvent(2)}0\r\n\r\n`));
	t.strictSame(caller.records, ['200 s3', 'end']);
	t.equal(caller.text, 'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n');
});

t.test('a stream that breaks off is resumed on another target, with no event missing or duplicated', async t => {
	const first = sendTextAndClose(`${streamHead}${formatEvent(1)}${formatChunk('id: 2\ndata:')}`);
	const {caller, raw} = await runRequest(t, streamRoute, first, sendText(`${streamHead}${formatEvent(1)}${formatEvent(2)}${formatEvent(3)}0\r\n\r\n`));
	t.strictSame(caller.records, ['200 s3', 'end']);
	t.equal(caller.text, 'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n');
	t.equal(raw[1]!.requests[0]!.headers['x-after'], '1');
});

t.test('a stream that must not be resumed is aborted where it broke off', async t => {
	const {caller, counts} = await runRequest(t, {...streamRoute, retryPolicy: 'once'}, sendTextAndClose(`${streamHead}${formatEvent(1)}`), sendText(ok));
	t.strictSame([caller.records, counts], [['200 s3', 'aborted'], [1, 0]]);
});

t.test('a stream that falls silent is resumed on another target', async t => {
	const {caller} = await runRequest(t, streamRoute, sendText(`${streamHead}${formatEvent(1)}`), sendText(`${streamHead}${formatEvent(2)}0\r\n\r\n`));
	t.strictSame(caller.records, ['200 s3', 'end']);
	t.equal(caller.text, 'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n');
});

t.test('a stream that ends inside its first event is refused', async t => {
	const {caller} = await runRequest(t, {...streamRoute, maxTargets: 1}, sendText(`${streamHead}${formatChunk('id: 1\ndata:')}0\r\n\r\n`));
	t.strictSame(caller.records, ['refused 502 target_lost unknown']);
});

t.test('a request that crashed three targets is not sent to a fourth', async t => {
	const setup = await startRelay(t, reset, reset, reset, reset);
	for (const id of ['t0', 't1', 't2', 't3']) {
		setup.alive.delete(id);
	}

	const records: string[] = [];
	for (let request = 0; request < 4; request++) {
		const {caller, isDone} = setup.startRequest(onceRoute, request, `a${request}`);
		await setup.waitUntil(isDone);
		records.push(...caller.records);
	}

	t.equal(setup.raw[3]!.requests.length, 0);
	t.match(records.at(-1), /^refused 503 crashes_targets not_run$/v);
});

const prompt: Prompt = {
	model: 'm', inputTokens: 1000, maxOutputTokens: 50, parts: [{key: 'k', tokens: 500}, {key: 'own', tokens: 500}],
};

// Guards against prompts that wait at engines until their deadline, and against refusals while slots are spare.
t.test('a prompt that will be late goes behind those in time if slots are spare; if they are in use, it is refused', async t => {
	const completeStream = sendText(`${streamHead}${formatEvent(1)}0\r\n\r\n`);
	const urgencies: Array<string | undefined> = [];
	// At 0.02 ms per token, these queues take 2 ms, 0.8 s and 3.2 s. The route promises 0.5 s, and the engine has 64 slots.
	for (const [queued, requests] of [[100, 0], [40_000, 0], [160_000, 30], [160_000, 40]] as const) {
		const setup = await startRelay(t, completeStream);
		const state = setup.targets.get('t0')!;
		state.pendingTokens.add(0, queued);
		state.inFlight = requests;
		const {caller, isDone} = setup.startRequest(streamRoute, 0, 'a', {prompt});
		await setup.waitUntil(isDone);
		urgencies.push(String(setup.raw[0]!.requests[0]?.headers['x-urgency']));
		if (requests === 40) {
			t.strictSame(caller.records, ['refused 503 promise_unreachable not_run']);
			t.ok(caller.refusal!.retryAfterMs! > 0);
			t.equal(setup.clock.now(), 0);
		} else {
			t.strictSame(caller.records, ['200 s3', 'end']);
		}
	}

	t.strictSame(urgencies, ['0', '1', '1', 'undefined']);
});

// Guards against a change for deployments that limit no customer.
t.test('without limits of customers, a prompt that will be late gets the lowest urgency; one that its caller would not wait for is refused', async t => {
	const completeStream = sendText(`${streamHead}${formatEvent(1)}0\r\n\r\n`);
	const urgencies: Array<string | undefined> = [];
	// At 0.02 ms per token, these queues take 2 ms, 0.8 s and 3.2 s. The route promises 0.5 s, and a caller waits for four times that.
	for (const queued of [100, 40_000, 160_000]) {
		const setup = await startRelay(t, completeStream);
		setup.setConfiguration({routes: []});
		const state = setup.targets.get('t0')!;
		state.pendingTokens.add(0, queued);
		const {caller, isDone} = setup.startRequest(streamRoute, 0, 'a', {prompt});
		await setup.waitUntil(isDone);
		urgencies.push(String(setup.raw[0]!.requests[0]?.headers['x-urgency']));
		if (queued === 160_000) {
			t.strictSame(caller.records, ['refused 503 promise_unreachable not_run']);
			t.ok(caller.refusal!.retryAfterMs! > 0);
		} else {
			t.strictSame(caller.records, ['200 s3', 'end']);
		}
	}

	t.strictSame(urgencies, ['2', '9', 'undefined']);
});

t.test('a request is refused at once as not run if its pool has no target', async t => {
	const {caller, clock} = await runRequest(t, onceRoute);
	t.strictSame(caller.records, ['refused 503 no_target not_run']);
	t.ok(caller.refusal!.retryAfterMs! > 0);
	t.equal(clock.now(), 0);
});
