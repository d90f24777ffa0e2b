/** Dependencies and options of the membership, and the instance status that it reports. */
import type {Clock} from '#clock';
import type {Random} from '#core';
import type {
	LinkLimits, MemberRecord, Peer, PeerIdentity, PeerStatus, PeerTransport,
} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

/** Limits and intervals of {@link Membership}. */
export type MembershipOptions = Readonly<{
	/** Addresses of instances to connect to first. Default: none. */
	seeds?: readonly string[];
	/** Time in which a suspect instance must refute the suspicion, in milliseconds; otherwise it is gone. Default: 3000. */
	suspicionTimeoutMs?: number;
	/** Time between updates of the connections to the desired addresses, in milliseconds. Default: 500. */
	connectionUpdateIntervalMs?: number;
	/** Maximum time to connect, in milliseconds. Default: 1500. */
	connectTimeoutMs?: number;
	/** Minimum and maximum time before a peer is dialled again, in milliseconds. Default: 200 and 5000. */
	minRedialDelayMs?: number;
	maxRedialDelayMs?: number;
	/** Time for which records of gone instances are kept and their addresses occasionally dialled, in milliseconds. Default: 900 000. */
	goneRetentionMs?: number;
	/** Limits of each link. Default: those of the link. */
	limits?: LinkLimits;
}>;

/** Dependencies of {@link Membership}. */
export type MembershipDependencies = Readonly<{
	self: PeerIdentity;
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	transport: PeerTransport;
	/** Authenticates links; the same for all instances. */
	secret: string;
	/** Returns the state that the heartbeats carry. */
	getStatus: () => Omit<PeerStatus, 'membersDigest'>;
	/** Called with each heartbeat of a neighbour. */
	handleHeartbeat?: (peer: Peer, status: PeerStatus) => void;
	options?: MembershipOptions;
}>;

/** An instance that is not gone, as shown to operators. */
export type InstanceStatus = Readonly<{
	name: string;
	zone: string;
	address: string;
	incarnation: string;
	state: MemberRecord['state'];
	leaving: boolean;
	/** State from the newest heartbeat; absent without a connection. */
	status?: Readonly<{generation: number; ready: boolean; running: number}>;
}>;
