/**
 * The inner protocol: frames, authenticated links and heartbeats between
 * instances, what they tell and ask each other, and the bus that parts of an
 * instance use to do so.
 */
export {
	peerMessageSchema, type MemberRecord, type PeerMessage, type PeerMessageKind, type PeerMessageOf,
} from './messages.ts';
export type {
	PeerRequest, PeerRequestKind, PeerRequestOf, PeerResponse, PeerResponseOf,
} from './requests.ts';
export type {
	Peer, PeerAnswerer, PeerBus, PeerHandler, PeerRequestFailure,
} from './bus.ts';
export type {Envelope, PeerStatus} from './envelope.ts';
export type {PeerIdentity} from './identity.ts';
export {
	PeerLink, type LinkDeps, type LinkEnd, type LinkLimits,
} from './link.ts';
export type {LinkRole} from './handshake.ts';
export type {PeerListener, PeerTransport} from './transport.ts';
export {createTcpTransport} from './tcp-transport.ts';
export {createQuietBus} from './quiet-bus.ts';
