/** A bus without peers, for instances that run alone and for tests. */
import type {PeerBus} from './bus.ts';
import {fail} from '#core';

/** Creates a bus that has no peers: messages are discarded and requests fail with `no_link`. */
export function createQuietBus(): PeerBus {
	return {
		listPeers: () => [],
		listNeighbours: () => [],
		relay() {
			// There are no peers.
		},
		spread() {
			// There are no peers.
		},
		sample() {
			// There are no peers.
		},
		subscribe: () => () => {
			// Nothing was subscribed.
		},
		request: async () => fail('no_link'),
		answer() {
			// There are no peers that send requests.
		},
	};
}
