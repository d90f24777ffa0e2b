import t from 'tap';
import {Membership} from './membership.ts';
import {ManualClock} from '#clock';
import {createRandom, prepareHash} from '#core';
import type {ChannelPart, ChannelReceiver, PeerMessage} from '#peer-protocol';
import {PeerTransportStandin} from '#standins';
import {createTelemetry} from '#telemetry';

t.before(prepareHash);

type Member = Readonly<{membership: Membership; stop: () => Promise<void>; address: string; received: PeerMessage[]}>;

function createFleet() {
	const clock = new ManualClock();
	const network = new PeerTransportStandin(clock);
	const telemetry = createTelemetry({level: 'silent'});
	const start = async (index: number, seeds: readonly string[], secret = 'secret'): Promise<Member> => {
		const address = `10.0.0.${index}:1`;
		const transport = network.open(address);
		const membership = new Membership({
			self: {
				name: `r${index}`, zone: `z${index % 3}`, incarnation: `i${index}`, address,
			}, clock, random: createRandom(index), telemetry, transport, secret,
			getStatus: () => ({generation: index, ready: true, running: 0}), options: {seeds},
		});
		const received: PeerMessage[] = [];
		membership.bus.subscribe('leaving', message => {
			received.push(message);
		});
		const listener = await transport.listen(address, stream => {
			membership.accept(stream);
		});
		const stopController = new AbortController();
		const running = membership.run(stopController.signal);
		return {
			membership, address, received,
			async stop() {
				stopController.abort();
				await clock.advance(600);
				await listener.close();
				await running;
			},
		};
	};

	return {
		clock, network, telemetry, start,
	};
}

function countLive(member: Member): number {
	return member.membership.listInstances().filter(({state}) => state === 'live').length;
}

async function startMany(fleet: ReturnType<typeof createFleet>, count: number): Promise<readonly Member[]> {
	const members: Member[] = [];
	for (let index = 1; index <= count; index++) {
		members.push(await fleet.start(index, index === 1 ? [] : ['10.0.0.1:1']));
	}

	return members;
}

t.test('an instance learns of all others from one seed address', async t => {
	const fleet = createFleet();
	const members = await startMany(fleet, 8);
	t.ok(await fleet.clock.advanceUntil(() => members.every(member => countLive(member) === 8 && member.membership.bus.listNeighbours().length === 7), 5000, 10));
	await fleet.clock.advance(1500);
	t.same(members[0]!.membership.listInstances().map(({status}) => status?.generation).toSorted((a, b) => a! - b!), [1, 2, 3, 4, 5, 6, 7, 8]);
});

t.test('a message to all instances is sent directly where all are neighbours, and relayed otherwise', async t => {
	for (const count of [6, 20]) {
		const fleet = createFleet();
		const members = await startMany(fleet, count);
		t.ok(await fleet.clock.advanceUntil(() => members.every(member => countLive(member) === count), 20_000, 50));
		await fleet.clock.advance(3000);
		const before = fleet.telemetry.getCounter('peer_messages_total', {kind: 'leaving'});
		members[2]!.membership.bus.broadcast({kind: 'leaving', name: 'e1', incarnation: 'x'});
		await fleet.clock.advance(100);
		t.equal(members.filter(({received}) => received.length === 1).length, count - 1, 'each other instance receives it once');
		t.equal(fleet.telemetry.getCounter('peer_messages_total', {kind: 'leaving'}) - before, count - 1);
	}
});

t.test('ranks do not count a leaving instance', async t => {
	const fleet = createFleet();
	const members = await startMany(fleet, 5);
	t.ok(await fleet.clock.advanceUntil(() => members.every(member => countLive(member) === 5), 5000, 10));
	const getRanks = () => members.map(({membership}) => membership.getRank('duty'));
	const before = getRanks();
	t.strictSame(before.toSorted((a, b) => a - b), [0, 1, 2, 3, 4]);
	members[before.indexOf(0)]!.membership.announceLeaving();
	await fleet.clock.advance(300);
	t.strictSame(getRanks().filter((_rank, index) => before[index] !== 0).toSorted((a, b) => a - b), [0, 1, 2, 3]);
});

t.test('the number of connections stays bounded in a large fleet', async t => {
	const fleet = createFleet();
	const members = await startMany(fleet, 48);
	t.ok(await fleet.clock.advanceUntil(() => members.every(member => countLive(member) === 48), 20_000, 100));
	await fleet.clock.advance(15_000);
	const degrees = members.map(member => member.membership.bus.listNeighbours().length);
	t.ok(Math.max(...degrees) <= 20, `largest degree ${Math.max(...degrees)}`);
	members[5]!.membership.bus.broadcastViaPeers({kind: 'leaving', name: 'e1', incarnation: 'x'});
	await fleet.clock.advance(100);
	t.ok(members.every((member, index) => member.received.length === (index === 5 ? 0 : 1)));
});

const request: ChannelPart = {
	kind: 'request',
	request: {
		id: 'a', method: 'GET', path: '/x', headers: [], body: undefined, configurationVersion: 1, remainingMs: 100_000,
		route: {
			name: 'r', host: 'h', pathPrefix: '/', pools: [{pool: 'p', weight: 1}], isStream: false, retryPolicy: 'once', maxTargets: 1, timeoutMs: 100_000, promisedMs: 100,
			promisedGapMs: 0, priority: 2, isPublic: true,
		},
		pool: {name: 'p', healthPath: '/health', maxConnections: 10},
	},
};

// Guards against requests through a peer that are cut because its instance is no longer among the neighbours (LOST).
t.test('a link to an instance that is no longer a neighbour stays until the requests on it have ended', async t => {
	const fleet = createFleet();
	const members = await startMany(fleet, 8);
	t.ok(await fleet.clock.advanceUntil(() => members.every(({membership}) => membership.bus.listChannelPeers().length === 7), 5000, 10));
	let lost = 0;
	const createReceiver = (handlePart: (part: ChannelPart) => void): ChannelReceiver => ({
		handlePart,
		handleLost() {
			lost++;
		},
	});
	for (const {membership: {bus}} of members) {
		bus.setChannelHandler(channel => createReceiver(part => {
			if (part.kind === 'abort') {
				channel.close();
			}
		}));
	}

	const channels = members.flatMap(({membership: {bus}}) => bus.listChannelPeers().map(peer => bus.openChannel(peer, createReceiver(() => undefined))!));
	for (const channel of channels) {
		channel.send(request);
	}

	for (let index = 9; index <= 24; index++) {
		await fleet.start(index, ['10.0.0.1:1']);
	}

	await fleet.clock.advance(15_000);
	t.equal(lost, 0);
	const countLinks = () => members.reduce((sum, {membership}) => sum + membership.bus.listNeighbours().length, 0);
	const linksInUse = countLinks();
	for (const channel of channels) {
		channel.send({kind: 'abort'});
		channel.close();
	}

	await fleet.clock.advance(5000);
	t.ok(countLinks() < linksInUse, 'links that are no longer needed close after that');
});

t.test('a connection that has gone silent is replaced', async t => {
	const fleet = createFleet();
	const [a, b] = await startMany(fleet, 2);
	await fleet.clock.advanceUntil(() => a!.membership.bus.listNeighbours().length === 1, 3000, 10);
	await fleet.clock.advance(1000);
	fleet.network.silenceConnections(a!.address, b!.address);
	await fleet.clock.advance(6000);
	a!.membership.bus.broadcastViaPeers({kind: 'leaving', name: 'e1', incarnation: 'x'});
	await fleet.clock.advance(50);
	t.equal(b!.received.length, 1);
	t.ok(fleet.telemetry.getCounter('peer_links_closed_total', {reason: 'silent'}) >= 1);
});

t.test('a crashed instance becomes gone', async t => {
	const fleet = createFleet();
	const members = await startMany(fleet, 5);
	await fleet.clock.advanceUntil(() => members.every(member => countLive(member) === 5), 5000, 10);
	await members[4]!.stop();
	t.ok(await fleet.clock.advanceUntil(() => members.slice(0, 4).every(member => member.membership.listInstances().length === 4), 10_000, 50));
});

t.test('an instance that only one neighbour cannot reach does not become gone', async t => {
	const fleet = createFleet();
	const [a, b, c] = await startMany(fleet, 3);
	await fleet.clock.advanceUntil(() => [a!, b!, c!].every(member => countLive(member) === 3), 5000, 10);
	fleet.network.setPartitioned(a!.address, b!.address, true);
	await fleet.clock.advance(20_000);
	t.equal(a!.membership.listInstances().length, 3);
	t.equal(b!.membership.listInstances().length, 3);
	a!.membership.bus.broadcastViaPeers({kind: 'leaving', name: 'e1', incarnation: 'x'});
	// In steps, as each hop takes turns of the event loop.
	await fleet.clock.advanceUntil(() => b!.received.length > 0, 50);
	await fleet.clock.advance(50);
	t.equal(b!.received.length, 1);
});

// Guards against a lost link that nobody opens again, as no timer looks for it.
t.test('a link that has closed is opened again at once', async t => {
	const fleet = createFleet();
	const [a, b] = await startMany(fleet, 2);
	t.ok(await fleet.clock.advanceUntil(() => a!.membership.bus.listNeighbours().length === 1 && b!.membership.bus.listNeighbours().length === 1, 5000, 10));
	fleet.network.setPartitioned(a!.address, b!.address, true);
	t.ok(await fleet.clock.advanceUntil(() => a!.membership.bus.listNeighbours().length === 0 && b!.membership.bus.listNeighbours().length === 0, 10_000, 10));
	fleet.network.setPartitioned(a!.address, b!.address, false);
	t.ok(await fleet.clock.advanceUntil(() => a!.membership.bus.listNeighbours().length === 1 && b!.membership.bus.listNeighbours().length === 1, 6000, 10));
});

t.test('instances reconnect after a partition', async t => {
	const fleet = createFleet();
	const members = await startMany(fleet, 6);
	await fleet.clock.advanceUntil(() => members.every(member => countLive(member) === 6), 5000, 10);
	const setPartition = (isPartitioned: boolean) => {
		for (const left of members.slice(0, 3)) {
			for (const right of members.slice(3)) {
				fleet.network.setPartitioned(left.address, right.address, isPartitioned);
			}
		}
	};

	setPartition(true);
	await fleet.clock.advance(60_000);
	t.ok(members.every(member => member.membership.listInstances().length === 3));
	setPartition(false);
	t.ok(await fleet.clock.advanceUntil(() => members.every(member => countLive(member) === 6), 60_000, 100));
});

t.test('all instances learn that one is leaving, and then that it is gone', async t => {
	const fleet = createFleet();
	const members = await startMany(fleet, 4);
	await fleet.clock.advanceUntil(() => members.every(member => countLive(member) === 4), 5000, 10);
	members[2]!.membership.announceLeaving();
	await fleet.clock.advance(200);
	t.ok(members.every(member => member.membership.listInstances().find(({name}) => name === 'r3')?.leaving));
	members[2]!.membership.announceStop();
	await members[2]!.stop();
	await fleet.clock.advance(200);
	t.ok(members.filter((_, index) => index !== 2).every(member => member.membership.listInstances().length === 3));
});

t.test('an instance with another secret cannot connect', async t => {
	const fleet = createFleet();
	const [a] = await startMany(fleet, 1);
	const other = await fleet.start(9, [a!.address], 'another');
	await fleet.clock.advance(5000);
	t.equal(a!.membership.listInstances().length, 1);
	t.equal(other.membership.listInstances().length, 1);
	t.ok(fleet.telemetry.getCounter('peer_links_closed_total', {reason: 'unauthenticated'}) >= 1);
});

t.test('an error in a handler ends the handling of one message, and the link stays', async t => {
	const fleet = createFleet();
	const [first, second] = await startMany(fleet, 2);
	await fleet.clock.advance(1000);
	const before = fleet.telemetry.getCounter('peer_links_opened_total');
	let received = 0;
	first!.membership.bus.subscribe('blind', () => {
		received++;
		throw new Error('odd');
	});
	for (let count = 0; count < 2; count++) {
		second!.membership.bus.broadcast({kind: 'blind'});
		await fleet.clock.advance(1000);
	}

	t.equal(received, 2);
	t.equal(fleet.telemetry.getCounter('escaped_errors_total', {activity: 'message'}), 2);
	t.equal(fleet.telemetry.getCounter('peer_links_opened_total'), before);
	await Promise.all([first!.stop(), second!.stop()]);
});
