/** What membership is made of, its bounds, and what it shows. */
import type {Clock} from '#clock';
import type {Random} from '#core';
import type {
	LinkLimits, MemberRecord, Peer, PeerIdentity, PeerStatus, PeerTransport,
} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

/** Bounds and intervals of membership. */
export type MembershipOptions = Readonly<{
	/** Addresses to begin with. Default: none. */
	seeds?: readonly string[];
	/** Time that a suspect instance has to refute, in milliseconds. Default: 3000. */
	suspectMs?: number;
	/** Time between looks at which connections are wanted, in milliseconds. Default: 500. */
	reviewMs?: number;
	/** Longest time to connect, in milliseconds. Default: 1500. */
	connectMs?: number;
	/** Shortest and longest time before a peer is dialled again, in milliseconds. Default: 200 and 5000. */
	minRedialMs?: number;
	maxRedialMs?: number;
	/** Time for which gone instances are remembered and now and then dialled, in milliseconds. Default: 900 000. */
	goneMs?: number;
	/** Bounds of each link. Default: those of the link. */
	limits?: LinkLimits;
}>;

/** What membership works with. */
export type MembershipDeps = Readonly<{
	self: PeerIdentity;
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	transport: PeerTransport;
	/** Shared by all instances. */
	secret: string;
	/** State that the heartbeats carry. */
	readStatus: () => Omit<PeerStatus, 'membersDigest'>;
	/** Called with each heartbeat of a neighbour. */
	heard?: (peer: Peer, status: PeerStatus) => void;
	options?: MembershipOptions;
}>;

/** A live instance as operators see it. */
export type InstanceStatus = Readonly<{
	name: string;
	zone: string;
	address: string;
	incarnation: string;
	state: MemberRecord['state'];
	leaving: boolean;
	/** Newest state heard in a heartbeat; absent without a connection. */
	status?: Readonly<{generation: number; ready: boolean; running: number}>;
}>;
