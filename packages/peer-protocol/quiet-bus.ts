/** The bus of an instance that has no peers. */
import type {PeerBus} from './bus.ts';

/** Creates a bus that reaches nobody. */
export function createQuietBus(): PeerBus {
	return {
		listPeers: () => [],
		relay() {
			// There is nobody to tell.
		},
		sample() {
			// There is nobody to tell.
		},
		subscribe: () => () => {
			// Nothing was subscribed.
		},
	};
}
