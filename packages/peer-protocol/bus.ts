/** The interface through which parts of an instance talk to the peers. */
import type {PeerMessage, PeerMessageKind, PeerMessageOf} from './messages.ts';
import type {
	PeerRequest, PeerRequestKind, PeerRequestOf, PeerResponseOf,
} from './requests.ts';
import type {Cancel} from '#clock';
import type {Result} from '#core';

/** Another instance. */
export type Peer = Readonly<{
	name: string;
	zone: string;
	/** Changes at each start of the peer's process. */
	incarnation: string;
}>;

/** Called for each message of a kind. */
export type PeerHandler<Kind extends PeerMessageKind> = (message: PeerMessageOf<Kind>, from: Peer) => void;

/** Why a request has no answer. */
export type PeerRequestFailure = 'no_link' | 'timeout' | 'lost' | 'unanswered';

/** Answers requests of a kind; `undefined` when this instance cannot. */
export type PeerAnswerer<Kind extends PeerRequestKind> = (request: PeerRequestOf<Kind>, from: Peer) => PeerResponseOf<Kind> | undefined;

/** Sends to and hears from the peers. Nothing is promised of delivery; state must be repeated. */
export type PeerBus = Readonly<{
	/** Peers that are believed to be live. */
	listPeers(): readonly Peer[];
	/** Peers that {@link PeerBus.request} reaches. */
	listNeighbours(): readonly Peer[];
	/** Sends a rare message to every peer; peers relay it, so that the cost stays bounded. */
	relay(message: PeerMessage): void;
	/** Sends a message to every peer, directly where all are neighbours, else as {@link PeerBus.relay} does. */
	spread(message: PeerMessage): void;
	/** Sends a periodic message to a bounded sample of the peers; to all of them while they are few. */
	sample(message: PeerMessage): void;
	subscribe<Kind extends PeerMessageKind>(kind: Kind, handler: PeerHandler<Kind>): Cancel;
	/** Asks a neighbour; fails after a bounded time. */
	request<Request extends PeerRequest>(to: Peer, request: Request): Promise<Result<PeerResponseOf<Request['kind']>, PeerRequestFailure>>;
	/** Registers the one answerer of a kind. */
	answer<Kind extends PeerRequestKind>(kind: Kind, answerer: PeerAnswerer<Kind>): void;
}>;
