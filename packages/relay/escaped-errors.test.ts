/** Errors that nobody expected, in the handling of one request. */
import t from 'tap';
import {
	ok, onceRoute, safeRoute, sendText, startRelay,
} from './testing/relay.ts';

/** An answer that names its request, so that its connection is used again. */
const named = ok.replace('x-signed', 'x-id: a\r\nx-signed');

function throwError(): never {
	throw new Error('odd');
}

// Guards against an address that the client for HTTP refuses with an exception, which ended the instance.
t.test('a target to which no connection can be begun is passed over', async t => {
	const {targets, startRequest, waitUntil, raw} = await startRelay(t, sendText(named), sendText(named));
	const [first, second] = targets.list().map(({target}) => target);
	for (const address of ['', '::1:8080', '127.0.0.1:70000', 'a b:80']) {
		targets.update([{...first!, incarnation: `t0@${address}`, address}, second!]);
		const {caller, isDone} = startRequest(onceRoute);
		await waitUntil(isDone);
		t.strictSame(caller.records, ['200 s1', 'end'], address);
	}

	t.equal(raw[1]!.requests.length, 4);
});

t.test('an error while an answer is read ends the attempt, and the request is not refused as if it had not run', async t => {
	const {startRequest, waitUntil, handleHead, telemetry, raw} = await startRelay(t, sendText(ok), sendText(ok));
	const before = telemetry.getCounter('escaped_errors_total', {activity: 'attempt'});
	handleHead(throwError);
	const {caller, isDone} = startRequest(onceRoute);
	await waitUntil(isDone);
	t.strictSame(caller.records, ['refused 502 target_lost unknown']);
	t.equal(telemetry.getCounter('escaped_errors_total', {activity: 'attempt'}) - before, 1);
	t.equal(raw[0]!.requests.length + raw[1]!.requests.length, 1);
});

t.test('a request that may run again is retried after such an error', async t => {
	const {startRequest, waitUntil, handleHead} = await startRelay(t, sendText(ok), sendText(ok));
	let heads = 0;
	handleHead(() => {
		heads++;
		if (heads === 1) {
			throwError();
		}
	});
	const {caller, isDone} = startRequest(safeRoute);
	await waitUntil(isDone);
	t.strictSame(caller.records, ['200 s1', 'end']);
});

t.test('an error before any attempt refuses the request as not run, and the next request is served', async t => {
	const {startRequest, waitUntil, targets, telemetry} = await startRelay(t, sendText(ok));
	const before = telemetry.getCounter('escaped_errors_total', {activity: 'request'});
	const listPool = targets.listPool.bind(targets);
	targets.listPool = throwError;
	const failed = startRequest(onceRoute);
	await waitUntil(failed.isDone);
	t.strictSame(failed.caller.records, ['refused 503 internal_error not_run']);
	t.equal(telemetry.getCounter('escaped_errors_total', {activity: 'request'}) - before, 1);
	targets.listPool = listPool;
	const served = startRequest(onceRoute);
	await waitUntil(served.isDone);
	t.strictSame(served.caller.records, ['200 s1', 'end']);
});
