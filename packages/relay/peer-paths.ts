/**
 * Chooses the peer through which a request goes if this instance reaches no target
 * itself. Peers state in their heartbeats which pools they do not reach either.
 */
import type {Clock} from '#clock';
import type {Random} from '#core';
import {
	maxRelayedBodyBytes, type Peer, type PeerBus, type PeerStatus,
} from '#peer-protocol';

export type PeerPathsDependencies = Readonly<{
	bus: Pick<PeerBus, 'listChannelPeers'>;
	random: Random;
	clock: Clock;
	/** This instance's availability zone. */
	zone: string;
}>;

/** Which peers may be chosen. */
export type PeerCriteria = Readonly<{
	/** Incarnations of peers that must not be chosen. */
	excluded: ReadonlySet<string>;
	/** Incarnations of the only peers that may be chosen; absent if any may. */
	allowed?: ReadonlySet<string>;
	/** Size of the request's body. */
	bodyBytes: number;
}>;

/** Requests in progress through one peer. */
type PeerUse = {requests: number; bodyBytes: number};

/** Maximum number of requests in progress through one peer; together with the credit of a channel, it bounds the bytes that wait on a link. */
const maxRequestsPerPeer = 64;

/** Cost of a peer in another availability zone, in requests in progress: traffic between zones is priced. */
const crossZoneCost = 0.5;

export class PeerPaths {
	readonly #dependencies: PeerPathsDependencies;
	readonly #unreachablePools = new Map<string, ReadonlySet<string>>();
	/** Times until which peers want no request of a pool, as they have no share left in what its targets take, by peer and pool. */
	readonly #limitedUntilMs = new Map<string, Map<string, number>>();
	readonly #uses = new Map<string, PeerUse>();

	constructor(dependencies: PeerPathsDependencies) {
		this.#dependencies = dependencies;
	}

	/** Records which pools a peer does not reach. */
	recordStatus({incarnation}: Peer, {unreachablePools}: PeerStatus): void {
		if (unreachablePools) {
			this.#unreachablePools.set(incarnation, new Set(unreachablePools));
			this.#removeUnknownPeers();
		} else {
			this.#unreachablePools.delete(incarnation);
		}
	}

	/** Marks a peer as having no target of a pool for a request; its next heartbeat replaces this. */
	markUnavailable({incarnation}: Peer, pool: string): void {
		this.#unreachablePools.set(incarnation, new Set([...this.#unreachablePools.get(incarnation) ?? [], pool]));
	}

	/** Marks a peer as having no share left in what the targets of a pool take, for a time. */
	markLimited({incarnation}: Peer, pool: string, durationMs: number): void {
		const byPool = this.#limitedUntilMs.get(incarnation) ?? new Map<string, number>();
		this.#limitedUntilMs.set(incarnation, byPool.set(pool, this.#dependencies.clock.now() + durationMs));
		this.#removeUnknownPeers();
	}

	/** Whether a peer has stated that it reaches no target of a pool. */
	isCutOff(incarnation: string, pool: string): boolean {
		return this.#unreachablePools.get(incarnation)?.has(pool) === true;
	}

	/**
	 * Chooses the peer with the fewest requests from this instance in progress.
	 *
	 * @returns `undefined` if there is none, or none has room
	 */
	choose(pool: string, {excluded, allowed, bodyBytes}: PeerCriteria): Peer | undefined {
		const {bus, random, zone} = this.#dependencies;
		let best: Readonly<{peer: Peer; cost: number}> | undefined;
		for (const peer of bus.listChannelPeers()) {
			const use = this.#uses.get(peer.incarnation);
			const requests = use?.requests ?? 0;
			const hasRoom = requests < maxRequestsPerPeer && (use?.bodyBytes ?? 0) + bodyBytes <= maxRelayedBodyBytes;
			const cost = requests + (peer.zone === zone ? 0 : crossZoneCost) + (random.next() / 2);
			const isEligible = !excluded.has(peer.incarnation) && (allowed?.has(peer.incarnation) ?? true);
			if (hasRoom && isEligible && this.#isAvailable(peer, pool) && (!best || cost < best.cost)) {
				best = {peer, cost};
			}
		}

		return best?.peer;
	}

	/** Counts a request through a peer as in progress until the returned function is called. */
	recordStart({incarnation}: Peer, bodyBytes: number): () => void {
		const use = this.#uses.get(incarnation) ?? {requests: 0, bodyBytes: 0};
		this.#uses.set(incarnation, use);
		use.requests++;
		use.bodyBytes += bodyBytes;
		return () => {
			use.requests--;
			use.bodyBytes -= bodyBytes;
			if (use.requests === 0) {
				this.#uses.delete(incarnation);
			}
		};
	}

	/** Whether a peer reaches a pool and has a share left in what its targets take, as far as known. */
	#isAvailable({incarnation}: Peer, pool: string): boolean {
		return !this.isCutOff(incarnation, pool) && (this.#limitedUntilMs.get(incarnation)?.get(pool) ?? 0) <= this.#dependencies.clock.now();
	}

	/** Forgets what peers have stated to which no link is open any more. */
	#removeUnknownPeers(): void {
		const known = new Set(this.#dependencies.bus.listChannelPeers().map(({incarnation}) => incarnation));
		for (const records of [this.#unreachablePools, this.#limitedUntilMs]) {
			for (const incarnation of records.keys()) {
				if (!known.has(incarnation)) {
					records.delete(incarnation);
				}
			}
		}
	}
}
