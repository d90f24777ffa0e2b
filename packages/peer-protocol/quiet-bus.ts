/** The bus of an instance that has no peers. */
import type {PeerBus} from './bus.ts';
import {fail} from '#core';

/** Creates a bus that reaches nobody. */
export function createQuietBus(): PeerBus {
	return {
		listPeers: () => [],
		listNeighbours: () => [],
		relay() {
			// There is nobody to tell.
		},
		spread() {
			// There is nobody to tell.
		},
		sample() {
			// There is nobody to tell.
		},
		subscribe: () => () => {
			// Nothing was subscribed.
		},
		request: async () => fail('no_link'),
		answer() {
			// Nobody asks.
		},
	};
}
