/** The interface through which parts of an instance talk to the peers. */
import type {PeerMessage, PeerMessageKind, PeerMessageOf} from './messages.ts';
import type {Cancel} from '#clock';

/** Another instance. */
export type Peer = Readonly<{
	name: string;
	zone: string;
	/** Changes at each start of the peer's process. */
	incarnation: string;
}>;

/** Called for each message of a kind. */
export type PeerHandler<Kind extends PeerMessageKind> = (message: PeerMessageOf<Kind>, from: Peer) => void;

/** Sends to and hears from the peers. Nothing is promised of delivery; state must be repeated. */
export type PeerBus = Readonly<{
	/** Peers that are believed to be live. */
	listPeers(): readonly Peer[];
	/** Sends a rare message to every peer; peers relay it, so that the cost stays bounded. */
	relay(message: PeerMessage): void;
	/** Sends a periodic message to a bounded sample of the peers; to all of them while they are few. */
	sample(message: PeerMessage): void;
	subscribe<Kind extends PeerMessageKind>(kind: Kind, handler: PeerHandler<Kind>): Cancel;
}>;
