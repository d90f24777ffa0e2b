/**
 * The protocol between instances: framing, authenticated links with heartbeats,
 * the messages and requests that instances exchange, and the bus through which
 * the parts of an instance send and receive them.
 */
export {
	peerMessageSchema, type MemberRecord, type PeerMessage, type PeerMessageKind, type PeerMessageOf,
} from './messages.ts';
export type {
	PeerRequest, PeerRequestKind, PeerRequestOf, PeerResponse, PeerResponseOf,
} from './requests.ts';
export type {
	ChannelHandler, ChannelReceiver, Peer, PeerChannel, PeerRequestHandler, PeerBus, PeerMessageHandler, PeerRequestFailure,
} from './bus.ts';
export {
	canRelay, maxRelayedBodyBytes, type ChannelPart, type ChannelPartKind, type ChannelPartHandlers, type RelayedRequest,
} from './channel.ts';
export type {Envelope, PeerStatus} from './envelope.ts';
export type {PeerIdentity} from './identity.ts';
export {encodeEnvelope} from './encode-envelope.ts';
export {
	PeerLink, type LinkDependencies, type LinkEndReason, type LinkLimits,
} from './link.ts';
export type {LinkRole, ProtocolExtension} from './handshake.ts';
export type {PeerListener, PeerTransport} from './transport.ts';
export {createTcpTransport} from './tcp-transport.ts';
export {createNoopBus} from './noop-bus.ts';
