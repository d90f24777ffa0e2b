/**
 * The open links of an instance. Delivers messages and requests from peers to
 * their handlers, and forwards relayed messages.
 */
import {Channels} from './_channels.ts';
import {PendingRequests} from './_pending-requests.ts';
import {SeenIds} from './_seen-ids.ts';
import type {Cancel, Clock} from '#clock';
import {fail, type Result} from '#core';
import {
	encodeEnvelope, type ChannelHandler, type ChannelReceiver, type Envelope, type Peer, type PeerChannel, type PeerRequestHandler, type PeerBus, type PeerMessageHandler,
	type PeerIdentity, type PeerLink, type PeerMessage, type PeerMessageKind, type PeerRequest, type PeerRequestFailure, type PeerRequestKind, type PeerResponse,
	type ProtocolExtension,
} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

type MessageHandler = (message: never, from: Peer) => void;
type RequestHandler = (request: never, from: Peer) => PeerResponse | undefined;
type RelayedEnvelope = Extract<Envelope, {type: 'relayed'}>;

/** Maximum number of times that a relayed message is forwarded on one path. */
const maxHops = 32;

/** Dependencies of {@link Links}. */
export type LinksDependencies = Readonly<{self: PeerIdentity; clock: Clock; telemetry: Telemetry}>;

/** The open links, at most one to each peer. */
export class Links {
	readonly #self: PeerIdentity;
	readonly #telemetry: Telemetry;
	readonly #links = new Map<string, PeerLink>();
	readonly #messageHandlers = new Map<string, Set<MessageHandler>>();
	readonly #requestHandlers = new Map<string, RequestHandler>();
	readonly #pendingRequests: PendingRequests;
	readonly #channels = new Channels();
	readonly #seenIds = new SeenIds();
	readonly #removalHandlers = new Set<() => void>();
	#relayedCount = 0;

	constructor(dependencies: LinksDependencies) {
		this.#self = dependencies.self;
		this.#telemetry = dependencies.telemetry;
		this.#pendingRequests = new PendingRequests(dependencies.clock);
	}

	/** Lists the open links. */
	list(): readonly PeerLink[] {
		return [...this.#links.values()].filter(link => link.isOpen);
	}

	get(incarnation: string): PeerLink | undefined {
		const link = this.#links.get(incarnation);
		return link?.isOpen ? link : undefined;
	}

	/** Returns whether channels are open on a link, so that closing it would cut the requests on them. */
	hasOpenChannels(link: PeerLink): boolean {
		return this.#channels.hasOpen(link);
	}

	/** Returns whether a link to the instance at this address is open. */
	hasLinkTo(address: string): boolean {
		return this.list().some(link => link.peer?.address === address);
	}

	/**
	 * Adds a link, so that only one to its peer remains. If each end has opened
	 * one, both ends keep the link that the instance with the lesser incarnation
	 * opened. A second link that the same end opened replaces the first.
	 */
	add(link: PeerLink): void {
		const {incarnation} = link.peer!;
		const existing = this.get(incarnation);
		if (existing && this.#getOpenerIncarnation(existing) !== this.#getOpenerIncarnation(link) && this.#getOpenerIncarnation(existing) < this.#getOpenerIncarnation(link)) {
			link.close('duplicate');
			return;
		}

		existing?.close('duplicate');
		this.#links.set(incarnation, link);
		this.#telemetry.count('peer_links_opened_total');
		this.#telemetry.set('peers_linked', this.list().length);
	}

	/** Removes a closed link and fails its pending requests. */
	remove(link: PeerLink): void {
		this.#pendingRequests.abortAll(link);
		this.#channels.abortAll(link);
		if (link.peer && this.#links.get(link.peer.incarnation) === link) {
			this.#links.delete(link.peer.incarnation);
		}

		this.#telemetry.set('peers_linked', this.list().length);
		for (const handler of this.#removalHandlers) {
			handler();
		}
	}

	/** Calls `handler` whenever a closed link is removed. */
	subscribeRemovals(handler: () => void): Cancel {
		this.#removalHandlers.add(handler);
		return () => {
			this.#removalHandlers.delete(handler);
		};
	}

	subscribe<Kind extends PeerMessageKind>(kind: Kind, handler: PeerMessageHandler<Kind>): () => void {
		const handlers = this.#messageHandlers.get(kind) ?? new Set();
		this.#messageHandlers.set(kind, handlers);
		handlers.add(handler);
		return () => {
			handlers.delete(handler);
		};
	}

	setRequestHandler<Kind extends PeerRequestKind>(kind: Kind, handler: PeerRequestHandler<Kind>): void {
		this.#requestHandlers.set(kind, handler);
	}

	/**
	 * Sends a message to each neighbour.
	 *
	 * @param isPeriodic whether the sender repeats the message, so that a link with a full queue may drop it
	 * @param isReceiver whether a neighbour receives the message
	 */
	sendToNeighbours(message: PeerMessage, isPeriodic: boolean, isReceiver: (peer: Peer) => boolean = () => true): void {
		const body = encodeEnvelope({type: 'message', message});
		for (const link of this.list()) {
			if (isReceiver(link.peer!)) {
				link.sendEncoded(body, isPeriodic);
			}
		}
	}

	/** Sends a message to every instance: to the neighbours, which each forward it once. */
	relay(message: PeerMessage): void {
		const id = `${this.#self.incarnation} ${this.#relayedCount++}`;
		this.#seenIds.add(id);
		this.#forward({
			type: 'relayed', id, origin: this.#self, hops: 0, message,
		});
	}

	/** Sends a request to a neighbour; see {@link PeerBus.request}. */
	async request(to: Peer, request: PeerRequest): Promise<Result<PeerResponse, PeerRequestFailure>> {
		const link = this.get(to.incarnation);
		return link ? this.#pendingRequests.send(link, request) : fail('no_link');
	}

	/** Lists the neighbours whose programs understand an extension of the protocol. */
	listPeersWith(extension: ProtocolExtension): readonly Peer[] {
		return this.list().filter(link => link.hasExtension(extension)).map(link => link.peer!);
	}

	/** Opens a channel to a neighbour; see {@link PeerBus.openChannel}. */
	openChannel(to: Peer, receiver: ChannelReceiver): PeerChannel | undefined {
		const link = this.get(to.incarnation);
		return link?.hasExtension('channels') ? this.#channels.open(link, receiver) : undefined;
	}

	setChannelHandler(handler: ChannelHandler): void {
		this.#channels.setHandler(handler);
	}

	/** Handles an envelope from a peer. */
	handleEnvelope(link: PeerLink, envelope: Envelope): void {
		const from = link.peer!;
		switch (envelope.type) {
			case 'heartbeat': {
				return;
			}

			case 'message': {
				this.#deliver(envelope.message, from);
				return;
			}

			case 'relayed': {
				if (this.#seenIds.add(envelope.id)) {
					this.#deliver(envelope.message, envelope.origin);
					this.#forward({...envelope, hops: envelope.hops + 1}, from);
				}

				return;
			}

			case 'request': {
				const response = this.#requestHandlers.get(envelope.request.kind)?.(envelope.request as never, from); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- handlers are stored by the kind of request that they take
				link.send({type: 'response', id: envelope.id, ...(response ? {response} : {})}, false);
				return;
			}

			case 'response': {
				this.#pendingRequests.handleResponse(link, envelope.id, envelope.response);
				return;
			}

			case 'channel': {
				this.#channels.handleEnvelope(link, envelope);
			}
		}
	}

	#forward(envelope: RelayedEnvelope, except?: Peer): void {
		if (envelope.hops > maxHops) {
			return;
		}

		const body = encodeEnvelope(envelope);
		for (const link of this.list()) {
			const {incarnation} = link.peer!;
			if (incarnation !== except?.incarnation && incarnation !== envelope.origin.incarnation) {
				link.sendEncoded(body, false);
			}
		}
	}

	#deliver(message: PeerMessage, from: Peer): void {
		this.#telemetry.count('peer_messages_total', {kind: message.kind});
		for (const handler of this.#messageHandlers.get(message.kind) ?? []) {
			handler(message as never, from); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- handlers are stored by the kind of message that they take
		}
	}

	#getOpenerIncarnation(link: PeerLink): string {
		return link.role === 'opener' ? this.#self.incarnation : link.peer!.incarnation;
	}
}
