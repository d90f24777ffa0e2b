/** A bus without peers, for instances that run alone and for tests. */
import type {PeerBus} from './bus.ts';
import {fail} from '#core';

/** Creates a bus that has no peers: messages are discarded and requests fail with `no_link`. */
export function createNoopBus(): PeerBus {
	return {
		listPeers: () => [],
		listNeighbours: () => [],
		broadcastViaPeers() {
			// There are no peers.
		},
		broadcast() {
			// There are no peers.
		},
		sendToSample() {
			// There are no peers.
		},
		subscribe: () => () => {
			// Nothing was subscribed.
		},
		request: async () => fail('no_link'),
		setRequestHandler() {
			// There are no peers that send requests.
		},
		listChannelPeers: () => [],
		listArchivingPeers: () => [],
		openChannel: () => undefined,
		setChannelHandler() {
			// There are no peers that open channels.
		},
	};
}
