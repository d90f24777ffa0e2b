import t from 'tap';
import {
	formatEvent, onceRoute, reset, silent, startRelay, streamHead, streamRoute, safeRoute,
} from './testing/relay.ts';
import {OpenRequests} from './open-requests.ts';

t.test('a request is open until it is removed, once', async t => {
	const requests = new OpenRequests();
	const remove = requests.add();
	requests.add();
	t.equal(requests.size, 2);
	remove();
	remove();
	t.equal(requests.size, 1);
});

t.test('a request that waits for its target when all requests are ended is answered as possibly run, and not retried', async t => {
	const setup = await startRelay(t, silent, silent);
	const {caller, isDone} = setup.startRequest(safeRoute);
	await setup.waitUntil(() => setup.raw[0]!.requests.length === 1);
	setup.openRequests.endAll();
	await setup.waitUntil(isDone, 50);
	t.strictSame(caller.records, ['refused 502 stopped unknown']);
	t.equal(setup.raw[1]!.requests.length, 0);
});

t.test('a request that starts after all requests were ended is refused as not run', async t => {
	const setup = await startRelay(t, silent);
	setup.openRequests.endAll();
	const {caller, isDone} = setup.startRequest(onceRoute);
	await setup.waitUntil(isDone, 50);
	t.strictSame(caller.records, ['refused 503 stopping not_run']);
	t.equal(setup.raw[0]!.requests.length, 0);
});

t.test('a stream that has begun is aborted when all requests are ended, and does not look complete', async t => {
	const setup = await startRelay(t, (_request, reply) => {
		reply.write(`${streamHead}${formatEvent(1)}`);
	});
	const {caller, isDone} = setup.startRequest(streamRoute);
	await setup.waitUntil(() => caller.text !== '');
	setup.openRequests.endAll();
	await setup.waitUntil(isDone, 50);
	t.equal(caller.records.at(-1), 'aborted');
});

/** Time in which all requests are to be ended, in milliseconds; that of a stop of 8 s is 333. */
const endMs = 330;

// Guards against a request that ends without an answer because it still waits for a probe of its target when all requests have been ended.
t.test('a request whose target is being probed when all requests are ended is answered', async t => {
	const setup = await startRelay(t, reset, silent);
	let finishProbe: () => void = () => undefined;
	let isProbing = false;
	setup.handleProbe(async () => new Promise<void>(resolve => {
		isProbing = true;
		finishProbe = resolve;
	}));
	const {caller, isDone} = setup.startRequest(onceRoute);
	await setup.waitUntil(() => isProbing);
	setup.openRequests.endAll();
	await setup.waitUntil(isDone, endMs / 2);
	t.strictSame(caller.records, ['refused 502 target_lost unknown']);
	finishProbe();
});

// Guards against a request that ends without an answer because it still waits for a check of its links when all requests have been ended.
t.test('a request that waits for a check of its pool when all requests are ended is refused as not run', async t => {
	const setup = await startRelay(t, silent, silent);
	let finishCheck: (isReached: boolean) => void = () => undefined;
	setup.handleCheck(async () => new Promise<boolean>(resolve => {
		finishCheck = resolve;
	}));
	await setup.raw[0]!.close();
	const {caller, isDone} = setup.startRequest(onceRoute);
	await setup.waitUntil(() => setup.targets.get('t0')!.suspectUntilMs > setup.clock.now());
	setup.openRequests.endAll();
	await setup.waitUntil(isDone, endMs / 2);
	t.strictSame(caller.records, ['refused 503 stopping not_run']);
	finishCheck(true);
});
