/** What counts as work for peers, and what they are sent at its end. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import t from 'tap';
import {serveRelayedRequests} from './peer-relay-server.ts';
import {createHeldBodies} from './testing/relay.ts';
import type {RelayCaller} from './caller.ts';
import {ManualClock} from '#clock';
import type {
	ChannelHandler, ChannelPart, ChannelReceiver, RelayedRequest,
} from '#peer-protocol';
import {createTelemetry} from '#telemetry';

const request: RelayedRequest = {
	id: 'r', method: 'GET', path: '/', headers: [], configurationVersion: 1, remainingMs: 10_000,
	route: {
		name: 'look', host: 'shop.example', pathPrefix: '/', pools: [], isStream: false, retryPolicy: 'any', maxTargets: 1, timeoutMs: 10_000, promisedMs: 1000,
		promisedGapMs: 1000, priority: 1, isPublic: true,
	},
	pool: {name: 'ledger', healthPath: '/', maxConnections: 1},
};

/** Starts the server for peers with a relay whose runs the test writes. */
function startServer(run: (caller: RelayCaller) => Promise<void>, isReady = () => true, maxBodyBytes?: number) {
	const clock = new ManualClock();
	const handlers: ChannelHandler[] = [];
	const work = serveRelayedRequests({
		clock, telemetry: createTelemetry({level: 'silent'}), isReady, heldBodies: createHeldBodies(clock, maxBodyBytes),
		bus: {
			setChannelHandler(next) {
				handlers.push(next);
			},
		},
		relay: {run: async (_request, _pool, caller) => run(caller)},
	});
	const sent: ChannelPart[] = [];
	const receiver: ChannelReceiver = handlers[0]!({
		peer: {name: 'other', zone: 'z1', incarnation: 'other'}, getSilenceMs: () => 0,
		send(part) {
			sent.push(part);
		},
		close() {
			// The channel is not used again.
		},
	});
	return {work, sent, receiver};
}

t.test('a request of a peer is pending from its arrival until the relay runs it', async t => {
	let finish = () => undefined as void;
	const {work, receiver} = startServer(async caller => {
		await new Promise<void>(resolve => {
			finish = resolve;
		});
		caller.finish();
	});
	receiver.handlePart({kind: 'request', request});
	t.equal(work.countPending(), 1, 'before the relay counts it');
	await nextTurn();
	await nextTurn();
	await nextTurn();
	t.equal(work.countPending(), 0, 'the relay counts it');
	finish();
	await nextTurn();
	t.equal(work.countPending(), 0);
});

t.test('an answer is pending until the peer has given credit for all of it', async t => {
	const {work, sent, receiver} = startServer(async caller => {
		caller.sendHead(500, [], 40_000);
		caller.write(new Uint8Array(40_000));
		caller.finish();
	});
	receiver.handlePart({kind: 'request', request});
	await nextTurn();
	await nextTurn();
	await nextTurn();
	t.equal(work.countPending(), 1);
	t.strictSame(sent.map(({kind}) => kind), ['head', 'data']);
	receiver.handlePart({kind: 'credit', bytes: 16_384});
	receiver.handlePart({kind: 'credit', bytes: 16_384});
	await nextTurn();
	t.strictSame(sent.map(({kind}) => kind), ['head', 'data', 'data', 'data', 'end']);
	t.equal(work.countPending(), 0);
});

t.test('an answer whose peer is gone is not pending', async t => {
	const {work, receiver} = startServer(async caller => {
		caller.sendHead(500, [], 40_000);
		caller.write(new Uint8Array(40_000));
		caller.finish();
	});
	receiver.handlePart({kind: 'request', request});
	await nextTurn();
	await nextTurn();
	await nextTurn();
	receiver.handleLost();
	await nextTurn();
	t.equal(work.countPending(), 0);
});

t.test('an instance that is not ready refuses requests of peers at once', async t => {
	const {work, sent, receiver} = startServer(async () => undefined, () => false);
	receiver.handlePart({kind: 'request', request});
	t.match(sent, [{kind: 'refusal', ran: 'not_run'}]);
	t.equal(work.countPending(), 0);
});

// Guards against bodies of peers' requests that fill the memory beside those of this instance's own callers.
t.test('a request of a peer whose body does not fit is refused as not run, and a small one runs', async t => {
	let finish = () => undefined as void;
	const {receiver, sent, work} = startServer(async caller => {
		await new Promise<void>(resolve => {
			finish = resolve;
		});
		caller.finish();
	}, undefined, 1_000_000);
	const send = (bytes: number) => {
		receiver.handlePart({kind: 'request', request: {...request, body: new Uint8Array(bytes)}});
	};

	send(700_000);
	send(100_000);
	t.match(sent, [{
		kind: 'refusal', reason: 'body_memory_full', status: 503, ran: 'not_run',
	}]);
	send(50_000);
	t.equal(work.countPending(), 2);
	t.equal(sent.length, 1);
	for (let turn = 0; turn < 5; turn++) {
		await nextTurn();
	}

	finish();
});
