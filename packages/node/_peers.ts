/** An instance's side of the inner protocol: its listener, membership, and the platform's list. */
import {randomBytes} from 'node:crypto';
import type {Settings} from './settings.ts';
import type {Clock} from '#clock';
import type {Random} from '#core';
import {followList, Membership, type InstanceStatus} from '#membership';
import {
	createQuietBus, createTcpTransport, type Peer, type PeerBus, type PeerStatus,
} from '#peer-protocol';
import type {InstanceEntry, ObjectStore} from '#object-store';
import type {Telemetry} from '#telemetry';

/** What the peers' side works with. */
export type PeersDeps = Readonly<{
	settings: Pick<Settings, 'name' | 'zone' | 'peers'>;
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	platform: ObjectStore;
	/** State that the heartbeats carry. */
	readStatus: () => Omit<PeerStatus, 'membersDigest'>;
	/** Called with each heartbeat of a neighbour. */
	heard: (peer: Peer, status: PeerStatus) => void;
	/** Called with each list of instances that the platform gave. */
	listed?: (entries: readonly InstanceEntry[]) => void;
	/** Shortest time between reads of that list, in milliseconds. Default: 2000. */
	listIntervalMs?: number;
}>;

/** The peers as an instance sees them. */
export type Peers = Readonly<{
	bus: PeerBus;
	/** Random for each start of the process. */
	incarnation: string;
	/** `host:port` of the inner protocol; none without peers. */
	address?: string;
	listInstances(): readonly InstanceStatus[];
	/** Whether this instance is one of `count` that do a shared duty. */
	isAmongFirst(duty: string, count: number): boolean;
	/** Place of this instance among those that could do a duty; 0 is the first. */
	readRank(duty: string): number;
	/** Incarnations of the `count` instances that come first for a shared duty. */
	listFirst(duty: string, count: number): readonly string[];
	/** Replaces the addresses to begin with. */
	setSeeds(addresses: readonly string[]): void;
	/** Tells the peers that this instance will stop. */
	markLeaving(): void;
	/** Tells the peers that this instance stops now, and ends all connections. */
	stop(): Promise<void>;
}>;

const incarnationBytes = 16;

/** Starts the peers' side; without `peers` in the settings, an instance is alone. */
export async function startPeers(deps: PeersDeps): Promise<Peers> {
	const {settings, clock, random, telemetry, platform, readStatus} = deps;
	const incarnation = randomBytes(incarnationBytes).toString('hex');
	const {name, zone, peers} = settings;
	if (!peers) {
		const self: InstanceStatus = {
			name, zone, address: '', incarnation, state: 'live', leaving: false,
		};
		return {
			bus: createQuietBus(), incarnation,
			listInstances: () => [{...self, status: readStatus()}],
			isAmongFirst: () => true,
			readRank: () => 0,
			listFirst: () => [incarnation],
			setSeeds() {
				// There is nobody to reach.
			},
			markLeaving() {
				// There is nobody to tell.
			},
			async stop() {
				// Nothing was started.
			},
		};
	}

	const transport = createTcpTransport();
	const listener = await transport.listen(peers.listen, stream => {
		membership.accept(stream);
	});
	const address = peers.advertise ?? listener.address;
	const membership = new Membership({
		self: {
			name, zone, incarnation, address,
		},
		clock, random, telemetry, transport, secret: peers.secret, readStatus, heard: deps.heard, options: {seeds: peers.seeds},
	});
	const stopping = new AbortController();
	const tasks = [
		membership.run(stopping.signal),
		followList({
			platform, membership, clock, random, listed: deps.listed, intervalMs: deps.listIntervalMs,
		}, stopping.signal),
	];
	return {
		bus: membership.bus, incarnation, address,
		listInstances: () => membership.listInstances(),
		isAmongFirst: (duty, count) => membership.isAmongFirst(duty, count),
		readRank: duty => membership.readRank(duty),
		listFirst: (duty, count) => membership.listFirst(duty, count),
		setSeeds(addresses) {
			membership.setSeeds(addresses);
		},
		markLeaving() {
			membership.markLeaving();
		},
		async stop() {
			membership.markGone();
			stopping.abort();
			await Promise.all(tasks);
			await listener.close();
		},
	};
}
