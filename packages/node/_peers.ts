/** Connects an instance to its peers: the listener, the membership, and the platform's list of instances. */
import {randomBytes} from 'node:crypto';
import type {Settings} from './settings.ts';
import type {Clock} from '#clock';
import type {Random} from '#core';
import {pollInstanceList, Membership, type InstanceStatus} from '#membership';
import {
	createNoopBus, createTcpTransport, type Peer, type PeerBus, type PeerStatus, type PeerTransport,
} from '#peer-protocol';
import type {InstanceEntry, ObjectStore} from '#object-store';
import type {Telemetry} from '#telemetry';

/** Dependencies of {@link startPeers}. */
export type PeersDependencies = Readonly<{
	settings: Pick<Settings, 'name' | 'zone' | 'peers'>;
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	platform: ObjectStore;
	/** Carries the bytes between instances. Default: TCP. */
	transport?: PeerTransport | undefined;
	/** Returns the state that heartbeats carry. */
	getStatus: () => Omit<PeerStatus, 'membersDigest'>;
	/** Called with each heartbeat of a neighbour. */
	handleHeartbeat: (peer: Peer, status: PeerStatus) => void;
	/** Called with each list of instances read from the platform. */
	handleInstanceList?: (entries: readonly InstanceEntry[]) => void;
	/** Minimum average time between reads of that list, in milliseconds; the time grows with the number of instances. Default: 2000. */
	listIntervalMs?: number;
}>;

/** The peers as seen by one instance. */
export type Peers = Readonly<{
	bus: PeerBus;
	/** Random identifier of this process; each start gets a new one. */
	incarnation: string;
	/** `host:port` of the peer protocol; absent without peers. */
	address?: string;
	listInstances(): readonly InstanceStatus[];
	/** Returns whether this instance is among the `count` that rank first for a shared duty. */
	isAmongFirst(duty: string, count: number): boolean;
	/** Returns the rank of this instance for a shared duty; 0 is the first. */
	getRank(duty: string): number;
	/** Lists the incarnations of the `count` instances that rank first for a shared duty. */
	listFirst(duty: string, count: number): readonly string[];
	/** Replaces the addresses of the peers to connect to first, except those from the settings. The next list read from the platform replaces them again. */
	setSeeds(addresses: readonly string[]): void;
	/** Announces to the peers that this instance is about to stop. */
	announceLeaving(): void;
	/** Announces to the peers that this instance stops now, and closes all connections. */
	stop(): Promise<void>;
}>;

const incarnationBytes = 16;

/** Starts the listener, the membership and the polling of the platform's list. Without `peers` in the settings, the instance runs alone. */
export async function startPeers(dependencies: PeersDependencies): Promise<Peers> {
	const {settings, clock, random, telemetry, platform, getStatus} = dependencies;
	const incarnation = randomBytes(incarnationBytes).toString('hex');
	const {name, zone, peers} = settings;
	if (!peers) {
		const self: InstanceStatus = {
			name, zone, address: '', incarnation, state: 'live', leaving: false,
		};
		return {
			bus: createNoopBus(), incarnation,
			listInstances: () => [{...self, status: getStatus()}],
			isAmongFirst: () => true,
			getRank: () => 0,
			listFirst: () => [incarnation],
			setSeeds() {
				// There are no peers to connect to.
			},
			announceLeaving() {
				// There are no peers to notify.
			},
			async stop() {
				// No listener or task was started.
			},
		};
	}

	const {transport = createTcpTransport()} = dependencies;
	const listener = await transport.listen(peers.listen, stream => {
		membership.accept(stream);
	});
	const address = peers.advertise ?? listener.address;
	const membership = new Membership({
		self: {
			name, zone, incarnation, address,
		},
		clock, random, telemetry, transport, secret: peers.secret, getStatus, handleHeartbeat: dependencies.handleHeartbeat, options: {seeds: peers.seeds},
	});
	const stopping = new AbortController();
	const tasks = [
		membership.run(stopping.signal),
		pollInstanceList({
			platform, membership, clock, random, handleInstanceList: dependencies.handleInstanceList, intervalMs: dependencies.listIntervalMs,
		}, stopping.signal),
	];
	return {
		bus: membership.bus, incarnation, address,
		listInstances: () => membership.listInstances(),
		isAmongFirst: (duty, count) => membership.isAmongFirst(duty, count),
		getRank: duty => membership.getRank(duty),
		listFirst: (duty, count) => membership.listFirst(duty, count),
		setSeeds(addresses) {
			membership.setSeeds(addresses);
		},
		announceLeaving() {
			membership.announceLeaving();
		},
		async stop() {
			membership.announceStop();
			stopping.abort();
			await Promise.all(tasks);
			await listener.close();
		},
	};
}
