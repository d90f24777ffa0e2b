/** Channels between members over links of a simulated network. */
import {Buffer} from 'node:buffer';
import t from 'tap';
import {Membership} from './membership.ts';
import {ManualClock} from '#clock';
import {createRandom, prepareHash} from '#core';
import type {ChannelPart, ChannelReceiver, PeerChannel} from '#peer-protocol';
import {PeerTransportStandin} from '#standins';
import {createTelemetry} from '#telemetry';

t.before(prepareHash);

/** One end of a channel that records what it receives. */
class Recorder implements ChannelReceiver {
	readonly parts: ChannelPart[] = [];
	lost = 0;

	handlePart(part: ChannelPart): void {
		this.parts.push(part);
	}

	handleLost(): void {
		this.lost++;
	}
}

const request: ChannelPart = {
	kind: 'request',
	request: {
		id: 'a', method: 'POST', path: '/x', headers: ['n', 'v'], body: Buffer.from('body'), configurationVersion: 1, remainingMs: 100,
		route: {
			name: 'r', host: 'h', pathPrefix: '/', pools: [{pool: 'p', weight: 1}], isStream: false, retryPolicy: 'any', maxTargets: 2, timeoutMs: 800, promisedMs: 100,
			promisedGapMs: 0, priority: 2, isPublic: true,
		},
		pool: {name: 'p', healthPath: '/health', maxConnections: 10},
	},
};

/** Starts two members with a link, of which the second accepts channels. */
async function startPair() {
	const clock = new ManualClock();
	const network = new PeerTransportStandin(clock);
	const telemetry = createTelemetry({level: 'silent'});
	const accepted: Array<Readonly<{channel: PeerChannel; recorder: Recorder}>> = [];
	const stopping = new AbortController();
	const members: Membership[] = [];
	for (const index of [1, 2]) {
		const address = `10.0.0.${index}:1`;
		const transport = network.open(address);
		const membership = new Membership({
			self: {
				name: `r${index}`, zone: 'z', incarnation: `i${index}`, address,
			}, clock, random: createRandom(index), telemetry, transport, secret: 's', getStatus: () => ({generation: 1, ready: true, running: 0}),
			options: {seeds: index === 1 ? [] : ['10.0.0.1:1']},
		});
		await transport.listen(address, stream => {
			membership.accept(stream);
		});
		void membership.run(stopping.signal);
		members.push(membership);
	}

	members[1]!.bus.setChannelHandler(channel => {
		const recorder = new Recorder();
		accepted.push({channel, recorder});
		return recorder;
	});
	await clock.advanceUntil(() => members.every(({bus}) => bus.listChannelPeers().length === 1), 5000, 10);
	const {bus} = members[0]!;
	return {
		clock, bus, accepted, peer: bus.listChannelPeers()[0]!, async stop() {
			stopping.abort();
			await clock.advance(1000);
		},
	};
}

t.test('a request and the parts of its answer arrive in order, on each of several channels', async t => {
	const {clock, bus, accepted, peer, stop} = await startPair();
	const recorders = [new Recorder(), new Recorder()];
	const channels = recorders.map(recorder => bus.openChannel(peer, recorder)!);
	for (const channel of channels) {
		channel.send(request);
	}

	await clock.advance(50);
	t.equal(accepted.length, 2);
	t.match(accepted[0]!.recorder.parts, [{kind: 'request', request: {id: 'a', path: '/x', route: {retryPolicy: 'any'}}}]);
	accepted[1]!.channel.send({kind: 'data', bytes: Buffer.from('one')});
	accepted[1]!.channel.send({kind: 'end'});
	await clock.advance(50);
	t.same(recorders[0]!.parts, []);
	t.match(recorders[1]!.parts, [{kind: 'data'}, {kind: 'end'}]);
	await stop();
});

t.test('nothing is handled on a channel that was closed, and no other part than a request opens one', async t => {
	const {clock, bus, accepted, peer, stop} = await startPair();
	const recorder = new Recorder();
	const channel = bus.openChannel(peer, recorder)!;
	channel.send({kind: 'abort'});
	await clock.advance(50);
	t.equal(accepted.length, 0);
	channel.send(request);
	await clock.advance(50);
	channel.close();
	accepted[0]!.channel.send({kind: 'end'});
	await clock.advance(50);
	t.same(recorder.parts, []);
	await stop();
	t.equal(recorder.lost, 0);
});

t.test('both ends learn that their link is lost', async t => {
	const {clock, bus, accepted, peer, stop} = await startPair();
	const recorder = new Recorder();
	bus.openChannel(peer, recorder)!.send(request);
	await clock.advance(50);
	await stop();
	t.equal(recorder.lost, 1);
	t.equal(accepted[0]!.recorder.lost, 1);
	t.equal(bus.openChannel(peer, recorder), undefined);
});
