import t from 'tap';
import {
	formatEvent, onceRoute, silent, startRelay, streamHead, streamRoute, safeRoute,
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
