/** Requests whose target falls silent for a time, though it is sound. */
import t, {type Test} from 'tap';
import {
	formatEvent, ok, runRequest, safeRoute, silent, startRelay, streamHead, streamRoute,
} from './testing/relay.ts';
import type {RelayRoute} from '#core';
import type {RawReply, RawScript} from '#standins';

/** Time for which a sound target falls silent, in milliseconds. */
const pauseMs = 1900;

const wholeText = 'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n';

/** Sends the first event of a stream and falls silent; `resume` sends the rest. */
function createPausingTarget() {
	const replies: RawReply[] = [];
	const script: RawScript = (_request, reply) => {
		reply.write(`${streamHead}${formatEvent(1)}`);
		replies.push(reply);
	};

	return {
		script,
		resume() {
			for (const reply of replies) {
				reply.write(`${formatEvent(2)}0\r\n\r\n`);
			}
		},
	};
}

/** Runs a stream whose first target pauses after the first event; `prepare` sets what keeps it from going on elsewhere. */
async function runPausedStream(t: Test, others: readonly RawScript[], prepare: (setup: Awaited<ReturnType<typeof startRelay>>) => void = () => undefined, route: RelayRoute = streamRoute) {
	const paused = createPausingTarget();
	const setup = await startRelay(t, paused.script, ...others);
	const {caller, isDone} = setup.startRequest(route);
	await setup.waitUntil(() => caller.text !== '');
	prepare(setup);
	const untilMs = setup.clock.now() + pauseMs;
	await setup.waitUntil(() => setup.clock.now() >= untilMs || isDone());
	const wasEndedEarly = isDone();
	paused.resume();
	await setup.waitUntil(isDone);
	return {
		...setup, caller, wasEndedEarly, counts: setup.raw.map(({requests}) => requests.length),
	};
}

// Guards against a stream that is cut because its target is silent for a while, although no other target can go on with it (LOST).
t.test('a silent stream goes on at its target if the pool has no other', async t => {
	const {caller, wasEndedEarly} = await runPausedStream(t, []);
	t.notOk(wasEndedEarly);
	t.strictSame([caller.records, caller.text], [['200 s3', 'end'], wholeText]);
});

t.test('a silent stream goes on at its target if its route allows no other', async t => {
	const {caller, counts} = await runPausedStream(t, [silent], undefined, {...streamRoute, maxTargets: 1});
	t.strictSame([caller.records, caller.text, counts], [['200 s3', 'end'], wholeText, [1, 0]]);
});

t.test('a silent stream goes on at its target if the retry budget is used up', async t => {
	const {caller, counts} = await runPausedStream(t, [silent], ({budget}) => {
		while (budget.acquire('p', true)) {
			// Uses it up.
		}
	});
	t.strictSame([caller.records, caller.text, counts], [['200 s3', 'end'], wholeText, [1, 0]]);
});

t.test('a silent stream goes on at its target if the others are suspected of being silent too', async t => {
	const {caller, counts} = await runPausedStream(t, [silent], ({targets}) => {
		targets.get('t1')!.suspect(Infinity);
	});
	t.strictSame([caller.records, caller.text, counts], [['200 s3', 'end'], wholeText, [1, 0]]);
});

t.test('a silent stream goes on at its target if the others have other software', async t => {
	const {caller, counts} = await runPausedStream(t, [silent], ({targets}) => {
		targets.update(targets.list().map(({target}) => ({...target, softwareVersion: target.id === 't1' ? 'v2' : target.softwareVersion})));
	});
	t.strictSame([caller.records, caller.text, counts], [['200 s3', 'end'], wholeText, [1, 0]]);
});

t.test('a stream that has moved to its last target goes on there, however long that is silent', async t => {
	const second = createPausingTarget();
	const setup = await startRelay(t, (_request, reply) => {
		reply.write(`${streamHead}${formatEvent(0)}`);
		reply.reset();
	}, second.script, second.script);
	const {caller, isDone} = setup.startRequest(streamRoute);
	await setup.waitUntil(() => caller.text.includes('e1'));
	const untilMs = setup.clock.now() + pauseMs;
	await setup.waitUntil(() => setup.clock.now() >= untilMs || isDone());
	second.resume();
	await setup.waitUntil(isDone);
	t.strictSame(caller.records, ['200 s3', 'end']);
});

t.test('a stream whose target never goes on ends at its deadline, and does not look complete', async t => {
	const paused = createPausingTarget();
	const setup = await startRelay(t, paused.script);
	const {caller, isDone} = setup.startRequest(streamRoute);
	await setup.waitUntil(isDone);
	t.strictSame(caller.records, ['200 s3', 'aborted']);
	t.ok(setup.clock.now() >= streamRoute.timeoutMs);
});

t.test('the silence of a stream that stays where it is makes this instance check its links', async t => {
	let checks = 0;
	await runPausedStream(t, [], ({handleCheck}) => {
		handleCheck(async () => {
			checks++;
			return true;
		});
	});
	t.ok(checks > 0);
});

t.test('a stream that has not begun is still answered when its last target is silent, so that its caller can try again', async t => {
	const setup = await startRelay(t, silent, silent);
	const {caller, isDone} = setup.startRequest(streamRoute);
	await setup.waitUntil(isDone);
	t.strictSame(caller.records, ['refused 502 target_lost unknown']);
	t.ok(setup.clock.now() < streamRoute.timeoutMs);
});

t.test('a silent stream moves to a target that can take it', async t => {
	const {caller, counts, wasEndedEarly} = await runPausedStream(t, [(_request, reply) => {
		reply.write(`${streamHead}${formatEvent(2)}0\r\n\r\n`);
	}]);
	t.ok(wasEndedEarly);
	t.strictSame([caller.records, caller.text, counts], [['200 s3', 'end'], wholeText, [1, 1]]);
});

/** Answers a request late, but before its deadline. */
async function runLateAnswer(t: Test, others: readonly RawScript[], route: RelayRoute, prepare: (setup: Awaited<ReturnType<typeof startRelay>>) => void = () => undefined) {
	const replies: RawReply[] = [];
	const setup = await startRelay(t, (_request, reply) => {
		replies.push(reply);
	}, ...others);
	prepare(setup);
	const {caller, isDone} = setup.startRequest(route);
	await setup.waitUntil(() => replies.length > 0);
	const untilMs = setup.clock.now() + route.timeoutMs - 100;
	await setup.waitUntil(() => setup.clock.now() >= untilMs || isDone());
	replies[0]!.write(ok);
	await setup.waitUntil(isDone);
	return caller;
}

// Guards against a request that is ended as possibly run while its sound target works on it, although it cannot be tried elsewhere: neither an answer nor a refusal.
t.test('a request that may be tried at one target only waits for its answer', async t => {
	const caller = await runLateAnswer(t, [silent], {...safeRoute, maxTargets: 1});
	t.strictSame([caller.records, caller.text], [['200 s1', 'end'], 'ok']);
});

t.test('a request waits for its answer if the retry budget is used up', async t => {
	const caller = await runLateAnswer(t, [silent], safeRoute, ({budget}) => {
		while (budget.acquire('p', false)) {
			// Uses it up.
		}
	});
	t.strictSame(caller.records, ['200 s1', 'end']);
});

t.test('a request waits for its answer if there is no other target', async t => {
	const caller = await runLateAnswer(t, [], safeRoute);
	t.strictSame(caller.records, ['200 s1', 'end']);
});

t.test('a request that cannot be tried elsewhere is answered before its deadline, so that its caller can try again', async t => {
	const {caller, clock} = await runRequest(t, {...safeRoute, maxTargets: 1, timeoutMs: 5000}, silent);
	t.strictSame(caller.records, ['refused 502 target_lost unknown']);
	t.ok(clock.now() < 2500);
});
