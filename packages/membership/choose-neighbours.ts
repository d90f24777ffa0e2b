/**
 * Chooses the instances that an instance keeps connections to: all others in a
 * small fleet. In a larger one, it chooses the next ones on a ring ordered by
 * hash, so that the graph is connected; the next ones on the ring of its own
 * zone, so that messages seldom cross zones; and a few by rendezvous hash, so
 * that messages need few hops. The choice depends only on the names and zones.
 */
import {hash64} from '#core';
import type {PeerIdentity} from '#peer-protocol';

/** Maximum number of other instances at which each instance connects to all of them. In a larger fleet, a message to the neighbours reaches only part of the instances. */
export const maxFullMeshPeers = 11;

/** Options of {@link chooseNeighbours}. */
export type NeighbourOptions = Readonly<{
	/** Maximum number of other instances at which all of them are chosen. Default: 11. */
	fullMeshThreshold?: number;
	/** Number of successors on the ring of all instances. Default: 2. */
	ringSuccessors?: number;
	/** Number of successors on the ring of the own zone. Default: 1. */
	zoneRingSuccessors?: number;
	/** Number of instances chosen by rendezvous hash. Default: 2. */
	rendezvousPeers?: number;
}>;

/**
 * Chooses the instances to connect to. About as many other instances choose this
 * one, so that it has about twice as many connections.
 *
 * @param self this instance
 * @param others the other instances that are not gone
 */
export function chooseNeighbours(self: PeerIdentity, others: readonly PeerIdentity[], options: NeighbourOptions = {}): readonly PeerIdentity[] {
	const {fullMeshThreshold = maxFullMeshPeers, ringSuccessors = 2, zoneRingSuccessors = 1, rendezvousPeers = 2} = options;
	if (others.length <= fullMeshThreshold) {
		return others;
	}

	const chosen = new Map<string, PeerIdentity>();
	const addFirst = (peers: readonly PeerIdentity[], count: number) => {
		for (const peer of peers.filter(({incarnation}) => !chosen.has(incarnation)).slice(0, count)) {
			chosen.set(peer.incarnation, peer);
		}
	};

	const successors = listSuccessors(hash64(self.name), others);
	addFirst(successors, ringSuccessors);
	addFirst(successors.filter(({zone}) => zone === self.zone), zoneRingSuccessors);
	addFirst(sortByHash(others, peer => `${self.name} ${peer.name}`), rendezvousPeers);
	return [...chosen.values()];
}

/** Sorts peers by the hash of a text that `getHashInput` returns for each. */
function sortByHash(peers: readonly PeerIdentity[], getHashInput: (peer: PeerIdentity) => string): readonly PeerIdentity[] {
	const keyed = peers.map(peer => ({peer, key: hash64(getHashInput(peer))}));
	keyed.sort((a, b) => a.key < b.key ? -1 : 1);
	return keyed.map(({peer}) => peer);
}

/** Sorts peers by their position on the hash ring, starting after `point`. */
function listSuccessors(point: string, peers: readonly PeerIdentity[]): readonly PeerIdentity[] {
	const sorted = sortByHash(peers, ({name}) => name);
	const first = sorted.findIndex(({name}) => hash64(name) > point);
	return first === -1 ? sorted : [...sorted.slice(first), ...sorted.slice(0, first)];
}
