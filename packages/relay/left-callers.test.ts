import t from 'tap';
import {
	ok, reset, safeRoute, sendText, startRelay,
} from './testing/relay.ts';

// Guards against a retry for a caller that left while it was checked whether the first target had crashed.
t.test('a request whose caller left during the check of its target is not sent to another', async t => {
	const setup = await startRelay(t, reset, sendText(ok));
	const {caller, isDone} = setup.startRequest(safeRoute);
	setup.handleProbe(() => {
		caller.leave();
	});
	await setup.waitUntil(isDone);
	t.strictSame([setup.raw.map(({requests}) => requests.length), caller.records], [[1, 0], []]);
});

// Guards against a retry after the deadline, when that has passed during the same check.
t.test('a request whose deadline passed during the check of its target is not sent to another', async t => {
	const setup = await startRelay(t, reset, sendText(ok));
	const {caller, isDone} = setup.startRequest(safeRoute);
	setup.handleProbe(async () => setup.clock.sleep(safeRoute.timeoutMs));
	await setup.waitUntil(isDone);
	t.strictSame([setup.raw.map(({requests}) => requests.length), caller.records], [[1, 0], ['refused 502 target_lost unknown']]);
});

// Guards against requests that are sent for callers which left while this process did not run.
t.test('a request whose caller has left by the time its connection is read is not sent', async t => {
	const setup = await startRelay(t, sendText(ok));
	const {caller, isDone} = setup.startRequest(safeRoute);
	caller.leave();
	await setup.waitUntil(isDone);
	t.strictSame([setup.raw.map(({requests}) => requests.length), caller.records], [[0], []]);
});
