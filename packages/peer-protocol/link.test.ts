import {Buffer} from 'node:buffer';
import type {Duplex} from 'node:stream';
import t from 'tap';
import {encodeValue} from './codec.ts';
import type {Envelope} from './envelope.ts';
import {encodeFrame} from './framing.ts';
import type {LinkRole} from './handshake.ts';
import {PeerLink} from './link.ts';
import {ManualClock} from '#clock';
import {PeerTransportStandin} from '#standins';
import {createTelemetry} from '#telemetry';

type TestLink = Readonly<{link: PeerLink; ended: Promise<string>; received: Envelope[]}>;

const message: Envelope = {type: 'message', message: {kind: 'generation', generation: 3}};

async function connect() {
	const clock = new ManualClock();
	const network = new PeerTransportStandin(clock);
	const telemetry = createTelemetry({level: 'silent'});
	const streams: Duplex[] = [];
	await network.open('b').listen('b', stream => {
		streams.push(stream);
	});
	const connecting = network.open('a').connect('b', new AbortController().signal);
	await clock.advance(10);
	const near = await connecting;
	if (!near.ok) {
		throw new Error('stand-in network refused the connection');
	}

	const startLink = (stream: Duplex, role: LinkRole, secret = 'secret', maxQueueBytes = 4_194_304): TestLink => {
		const received: Envelope[] = [];
		const link = new PeerLink(stream, {
			role, clock, telemetry, secret,
			self: {
				name: role, zone: 'z', incarnation: role, address: role,
			},
			getStatus: () => ({
				generation: 1, ready: true, running: 0, membersDigest: '',
			}),
			handleOpen() {
				// The tests inspect the link itself.
			},
			handleEnvelope(_link, envelope) {
				if (envelope.type !== 'heartbeat') {
					received.push(envelope);
				}
			},
			limits: {maxQueueBytes},
		});
		return {link, ended: link.run(), received};
	};

	return {
		clock, network, telemetry, startLink, near: near.value, far: streams[0]!,
	};
}

t.test('both ends authenticate each other and receive messages in order', async t => {
	const {clock, startLink, near, far} = await connect();
	const a = startLink(near, 'opener');
	const b = startLink(far, 'acceptor');
	await clock.advance(50);
	t.equal(a.link.peer?.name, 'acceptor');
	t.equal(b.link.peer?.name, 'opener');
	for (let generation = 1; generation <= 5; generation++) {
		a.link.send({type: 'message', message: {kind: 'generation', generation}}, false);
	}

	await clock.advance(50);
	t.same(b.received.map(envelope => envelope.type === 'message' && envelope.message.kind === 'generation' && envelope.message.generation), [1, 2, 3, 4, 5]);
	t.equal(b.link.status?.generation, 1);
});

t.test('authentication fails if the secrets differ', async t => {
	const {clock, startLink, near, far} = await connect();
	const a = startLink(near, 'opener', 'secret');
	const b = startLink(far, 'acceptor', 'other');
	await clock.advance(50);
	t.equal(a.link.peer, undefined);
	t.equal(b.link.peer, undefined);
	t.equal(await b.ended, 'unauthenticated');
});

t.test('a replayed handshake is refused', async t => {
	const first = await connect();
	const recorded: Uint8Array[] = [];
	const write = first.near.write.bind(first.near) as (chunk: Uint8Array) => boolean;
	first.near.write = (chunk: Uint8Array) => {
		recorded.push(chunk);
		return write(chunk);
	};

	first.startLink(first.near, 'opener');
	const firstAcceptor = first.startLink(first.far, 'acceptor');
	await first.clock.advance(50);
	t.ok(firstAcceptor.link.isOpen);
	const second = await connect();
	const secondAcceptor = second.startLink(second.far, 'acceptor');
	for (const chunk of recorded) {
		second.near.write(chunk);
	}

	await second.clock.advance(50);
	t.equal(await secondAcceptor.ended, 'unauthenticated');
	t.equal(secondAcceptor.link.peer, undefined);
});

t.test('a replayed frame closes the link', async t => {
	const {clock, startLink, near, far} = await connect();
	const recorded: Uint8Array[] = [];
	const write = near.write.bind(near) as (chunk: Uint8Array) => boolean;
	near.write = (chunk: Uint8Array) => {
		recorded.push(chunk);
		return write(chunk);
	};

	const a = startLink(near, 'opener');
	const b = startLink(far, 'acceptor');
	await clock.advance(50);
	a.link.send(message, false);
	await clock.advance(50);
	write(recorded.at(-1)!);
	await clock.advance(50);
	t.equal(await b.ended, 'unauthenticated');
	t.equal(b.received.length, 1);
});

t.test('an invalid hello closes the link with the matching reason', async t => {
	const cases = [
		['oversized', Buffer.from([1, 0, 0, 0])],
		['malformed', encodeFrame(encodeValue({protocol: 'other'}))],
		['malformed', encodeFrame(Buffer.from([255, 255]))],
		['incompatible', encodeFrame(encodeValue({
			protocol: 'apricotdoor', least: 99, newest: 99, nonce: new Uint8Array(32), peer: {
				name: 'a', zone: 'z', incarnation: 'a', address: 'a',
			},
		}))],
	] as const;
	for (const [reason, bytes] of cases) {
		const {clock, telemetry, startLink, near, far} = await connect();
		const b = startLink(far, 'acceptor');
		near.write(bytes);
		await clock.advance(50);
		t.equal(await b.ended, reason);
		t.equal(telemetry.getCounter('peer_links_closed_total', {reason}), 1);
	}
});

t.test('a stream that ends inside a frame closes the link as truncated', async t => {
	const {clock, startLink, near, far} = await connect();
	const b = startLink(far, 'acceptor');
	near.write(encodeFrame(new Uint8Array(100)).subarray(0, 50));
	await clock.advance(10);
	near.destroy();
	await clock.advance(50);
	t.equal(await b.ended, 'truncated');
});

t.test('the handshake times out if the opener sends nothing', async t => {
	const {clock, startLink, far} = await connect();
	const b = startLink(far, 'acceptor');
	await clock.advance(2001);
	t.equal(await b.ended, 'handshake_timeout');
});

t.test('both ends close a connection on which nothing arrives any more', async t => {
	const {clock, network, startLink, near, far} = await connect();
	const a = startLink(near, 'opener');
	const b = startLink(far, 'acceptor');
	await clock.advance(50);
	network.silenceConnections('a', 'b');
	await clock.advance(4600);
	t.equal(await a.ended, 'silent');
	t.equal(await b.ended, 'silent');
});

t.test('non-periodic messages that the peer does not accept fill the queue and close the link', async t => {
	const {clock, startLink, near, far} = await connect();
	const a = startLink(near, 'opener', 'secret', 200);
	startLink(far, 'acceptor');
	await clock.advance(50);
	near.write = () => false;
	for (let count = 0; count < 20; count++) {
		a.link.send(message, false);
	}

	t.equal(await a.ended, 'queue_full');
});
