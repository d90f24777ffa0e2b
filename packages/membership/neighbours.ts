/**
 * Which instances an instance keeps connections to. While there are few, all
 * of them. Beyond, the next ones on a ring ordered by hash, so that the graph
 * is connected, the next ones on the ring of the own zone, so that news crosses
 * zones seldom, and a few by rendezvous hash, so that news needs few hops. All
 * of it follows from the names alone.
 */
import {hash64} from '#core';
import type {PeerIdentity} from '#peer-protocol';

/** Other instances up to which all are neighbours; beyond, a message to the neighbours reaches a part of the fleet. */
export const meshPeers = 11;

/** Options of {@link chooseNeighbours}. */
export type NeighbourOptions = Readonly<{
	/** Up to this many others, all are neighbours. Default: 11. */
	allUpTo?: number;
	/** Successors on the ring of all instances. Default: 2. */
	ring?: number;
	/** Successors on the ring of the own zone. Default: 1. */
	zoneRing?: number;
	/** Instances by rendezvous hash. Default: 2. */
	chance?: number;
}>;

/**
 * Chooses the instances to connect to; they in turn choose others, so that
 * about twice as many connections are open.
 *
 * @param self this instance
 * @param others the live instances besides it
 */
export function chooseNeighbours(self: PeerIdentity, others: readonly PeerIdentity[], options: NeighbourOptions = {}): readonly PeerIdentity[] {
	const {allUpTo = meshPeers, ring = 2, zoneRing = 1, chance = 2} = options;
	if (others.length <= allUpTo) {
		return others;
	}

	const chosen = new Map<string, PeerIdentity>();
	const include = (peers: readonly PeerIdentity[], count: number) => {
		for (const peer of peers.filter(({incarnation}) => !chosen.has(incarnation)).slice(0, count)) {
			chosen.set(peer.incarnation, peer);
		}
	};

	const successors = sortAfter(hash64(self.name), others);
	include(successors, ring);
	include(successors.filter(({zone}) => zone === self.zone), zoneRing);
	include(sortByHash(others, peer => `${self.name} ${peer.name}`), chance);
	return [...chosen.values()];
}

/** Sorts by hash of a text made from each peer. */
function sortByHash(peers: readonly PeerIdentity[], makeText: (peer: PeerIdentity) => string): readonly PeerIdentity[] {
	const keyed = peers.map(peer => ({peer, key: hash64(makeText(peer))}));
	keyed.sort((a, b) => a.key < b.key ? -1 : 1);
	return keyed.map(({peer}) => peer);
}

function sortAfter(point: string, peers: readonly PeerIdentity[]): readonly PeerIdentity[] {
	const sorted = sortByHash(peers, ({name}) => name);
	const first = sorted.findIndex(({name}) => hash64(name) > point);
	return first === -1 ? sorted : [...sorted.slice(first), ...sorted.slice(0, first)];
}
