import {Buffer} from 'node:buffer';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {PeerExchange} from './peer-exchange.ts';
import type {BodyRead} from './exchange.ts';
import {
	createNoopBus, type ChannelPart, type Peer, type PeerBus, type RelayedRequest,
} from '#peer-protocol';

const head: ChannelPart = {kind: 'head', status: 200, headers: []};
const data: ChannelPart = {kind: 'data', bytes: Buffer.from('x')};
const refusal: ChannelPart = {
	kind: 'refusal', reason: 'target_refused', status: 503, ran: 'not_run', message: 'no',
};
const end: ChannelPart = {kind: 'end'};

/** Feeds parts to an exchange, all at once or each in a turn of its own, and summarizes what it reads and sends. */
async function read(parts: readonly ChannelPart[], pace: 'together' | 'single'): Promise<string> {
	const sent: string[] = [];
	const bus: PeerBus = {
		...createNoopBus(),
		openChannel: (peer: Peer) => ({
			peer, send(part) {
				sent.push(part.kind);
			}, close() {
				sent.push('close');
			}, getSilenceMs: () => 0,
		}),
	};
	const exchange = new PeerExchange(() => 0);
	exchange.start(bus, {name: 'b', incarnation: 'b@1'} as Peer, {} as RelayedRequest); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the exchange only passes them on
	const feed = async () => {
		for (const part of parts) {
			exchange.handlePart(part);
			if (pace === 'single') {
				await nextTurn();
			}
		}
	};

	const fed = feed();
	const first = await exchange.readHead();
	const reads = [first.kind === 'head' ? String(first.head.status) : first.kind];
	let body: BodyRead | undefined;
	while (first.kind === 'head' && (!body || body.kind === 'data')) {
		body = await exchange.readBody();
		reads.push(body.kind);
	}

	await fed;
	return `${reads.join(' ')}; sent ${sent.filter(kind => kind !== 'credit').join(' ')}`;
}

async function check(t: Test, parts: readonly ChannelPart[], expected: string): Promise<void> {
	for (const pace of ['together', 'single'] as const) {
		t.equal(await read(parts, pace), expected, pace);
	}
}

t.test('an answer, an aborted answer and a refusal are read as such', async t => {
	await check(t, [head, data, end], '200 data end; sent request close');
	await check(t, [head, data, {kind: 'abort'}], '200 data fault; sent request close');
	await check(t, [refusal], 'refusal; sent request close');
});

// Guards against a stream that ends as complete when the peer refuses its request after all.
t.test('a refusal after the head leaves the answer incomplete', async t => {
	await check(t, [head, data, refusal], '200 data fault; sent request close');
	await check(t, [head, refusal], '200 fault; sent request close');
});

// Guards against the body of a second answer in the first one.
t.test('a second head leaves the answer incomplete', async t => {
	await check(t, [head, data, {...head, status: 500}, data, end], '200 data fault; sent request abort close');
});

t.test('an answer without a head is none, and nothing follows its end', async t => {
	await check(t, [data, end], 'fault; sent request close');
	await check(t, [end, refusal], 'fault; sent request close');
	await check(t, [head, end, data], '200 end; sent request close');
});
