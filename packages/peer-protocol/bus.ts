/** The interface through which the parts of an instance exchange messages and requests with its peers. */
import type {ChannelPart} from './channel.ts';
import type {PeerMessage, PeerMessageKind, PeerMessageOf} from './messages.ts';
import type {
	PeerRequest, PeerRequestKind, PeerRequestOf, PeerResponseOf,
} from './requests.ts';
import type {Cancel} from '#clock';
import type {Result} from '#core';

/** Another instance, as seen from this one. */
export type Peer = Readonly<{
	name: string;
	zone: string;
	/** Changes each time the peer's process starts. */
	incarnation: string;
}>;

/** Handles each message of a kind. */
export type PeerMessageHandler<Kind extends PeerMessageKind> = (message: PeerMessageOf<Kind>, from: Peer) => void;

/**
 * Why a request got no response: no link to the peer is open, no response came
 * in time, the link closed before the response, or the peer cannot answer.
 */
export type PeerRequestFailure = 'no_link' | 'timeout' | 'lost' | 'unanswered';

/** Returns the response to a request of a kind, or `undefined` when this instance cannot answer it. */
export type PeerRequestHandler<Kind extends PeerRequestKind> = (request: PeerRequestOf<Kind>, from: Peer) => PeerResponseOf<Kind> | undefined;

/** Handles what the other end of a channel sends. */
export type ChannelReceiver = Readonly<{
	handlePart(part: ChannelPart): void;
	/** Called once if the link ends before the channel is closed. */
	handleLost(): void;
}>;

/** One end of a channel to a peer; see channel.ts. Parts arrive in the order in which they were sent. */
export type PeerChannel = Readonly<{
	peer: Peer;
	/** Time since the peer last sent anything, on this channel or not, in milliseconds. */
	getSilenceMs(): number;
	send(part: ChannelPart): void;
	/** Ends this end of the channel: nothing that arrives later is handled. */
	close(): void;
}>;

/** Accepts a channel that a peer has opened. */
export type ChannelHandler = (channel: PeerChannel) => ChannelReceiver;

/** Sends to and receives from the peers. Delivery is not guaranteed, so senders must repeat state. */
export type PeerBus = Readonly<{
	/** Lists the peers that are believed to be live. */
	listPeers(): readonly Peer[];
	/** Lists the peers that {@link PeerBus.request} can reach: those with an open link. */
	listNeighbours(): readonly Peer[];
	/** Sends an infrequent message to every peer. Peers forward it, which bounds the cost for the sender. */
	broadcastViaPeers(message: PeerMessage): void;
	/** Sends a message to every peer: directly if all live peers are neighbours, otherwise as {@link PeerBus.broadcastViaPeers} does. */
	broadcast(message: PeerMessage): void;
	/** Sends a periodic message to a bounded sample of the peers, or to all of them while they are few; of these, only to those for which `isReceiver` holds. */
	sendToSample(message: PeerMessage, isReceiver?: (peer: Peer) => boolean): void;
	subscribe<Kind extends PeerMessageKind>(kind: Kind, handler: PeerMessageHandler<Kind>): Cancel;
	/** Sends a request to a neighbour and waits for the response. Fails after a bounded time. */
	request<Request extends PeerRequest>(to: Peer, request: Request): Promise<Result<PeerResponseOf<Request['kind']>, PeerRequestFailure>>;
	/** Registers the only handler for requests of a kind. */
	setRequestHandler<Kind extends PeerRequestKind>(kind: Kind, handler: PeerRequestHandler<Kind>): void;
	/** Lists the neighbours to which {@link PeerBus.openChannel} can open a channel. */
	listChannelPeers(): readonly Peer[];
	/** Lists the neighbours that keep origins of streams for others; see {@link OriginArchive} of `#relay`. */
	listArchivingPeers(): readonly Peer[];
	/** Opens a channel to a neighbour; returns `undefined` if no link to it is open, or if its program knows no channels. */
	openChannel(to: Peer, receiver: ChannelReceiver): PeerChannel | undefined;
	/** Registers the only handler of channels that peers open. */
	setChannelHandler(handler: ChannelHandler): void;
}>;
