/**
 * The inner protocol: what instances tell each other, and the bus that parts of
 * an instance use to do so.
 */
export {
	peerMessageSchema, type PeerMessage, type PeerMessageKind, type PeerMessageOf,
} from './messages.ts';
export type {Peer, PeerBus, PeerHandler} from './bus.ts';
export {createQuietBus} from './quiet-bus.ts';
