/**
 * The open links of an instance and what travels on them: messages to
 * handlers, relayed messages onwards, requests to answerers.
 */
import {PendingRequests} from './_requests.ts';
import {SeenIds} from './_seen.ts';
import type {Clock} from '#clock';
import {fail, type Result} from '#core';
import type {
	Envelope, Peer, PeerAnswerer, PeerBus, PeerHandler, PeerIdentity, PeerLink, PeerMessage, PeerMessageKind, PeerRequest,
	PeerRequestFailure, PeerRequestKind, PeerResponse,
} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

type Handler = (message: never, from: Peer) => void;
type Answerer = (request: never, from: Peer) => PeerResponse | undefined;
type RelayedEnvelope = Extract<Envelope, {type: 'relayed'}>;

const maxHops = 32;

/** What the links work with. */
export type LinksDeps = Readonly<{self: PeerIdentity; clock: Clock; telemetry: Telemetry}>;

/** Links by the peer's incarnation, at most one each. */
export class Links {
	readonly #self: PeerIdentity;
	readonly #telemetry: Telemetry;
	readonly #links = new Map<string, PeerLink>();
	readonly #handlers = new Map<string, Set<Handler>>();
	readonly #answerers = new Map<string, Answerer>();
	readonly #pending: PendingRequests;
	readonly #seen = new SeenIds();
	#relayed = 0;

	constructor(deps: LinksDeps) {
		this.#self = deps.self;
		this.#telemetry = deps.telemetry;
		this.#pending = new PendingRequests(deps.clock);
	}

	/** Open links. */
	list(): readonly PeerLink[] {
		return [...this.#links.values()].filter(link => link.isOpen);
	}

	get(incarnation: string): PeerLink | undefined {
		const link = this.#links.get(incarnation);
		return link?.isOpen ? link : undefined;
	}

	/** Whether a link to the instance at this address is open. */
	hasAddress(address: string): boolean {
		return this.list().some(link => link.peer?.address === address);
	}

	/**
	 * Keeps one link for each peer: of two that both ends opened at the same
	 * time, both keep the one that the lesser name opened; a second one from the
	 * same end replaces the first.
	 */
	add(link: PeerLink): void {
		const {incarnation} = link.peer!;
		const other = this.get(incarnation);
		if (other && this.#findOpener(other) !== this.#findOpener(link) && this.#findOpener(other) < this.#findOpener(link)) {
			link.close('duplicate');
			return;
		}

		other?.close('duplicate');
		this.#links.set(incarnation, link);
		this.#telemetry.count('peer_links_opened_total');
		this.#telemetry.set('peers_linked', this.list().length);
	}

	/** Forgets a link that ended. */
	remove(link: PeerLink): void {
		this.#pending.drop(link);
		if (link.peer && this.#links.get(link.peer.incarnation) === link) {
			this.#links.delete(link.peer.incarnation);
		}

		this.#telemetry.set('peers_linked', this.list().length);
	}

	subscribe<Kind extends PeerMessageKind>(kind: Kind, handler: PeerHandler<Kind>): () => void {
		const handlers = this.#handlers.get(kind) ?? new Set();
		this.#handlers.set(kind, handlers);
		handlers.add(handler);
		return () => {
			handlers.delete(handler);
		};
	}

	answer<Kind extends PeerRequestKind>(kind: Kind, answerer: PeerAnswerer<Kind>): void {
		this.#answerers.set(kind, answerer);
	}

	/** Sends a message to each neighbour but one. */
	sendToAll(message: PeerMessage, isPeriodic: boolean, except?: Peer): void {
		for (const link of this.list()) {
			if (link.peer!.incarnation !== except?.incarnation) {
				link.send({type: 'message', message}, isPeriodic);
			}
		}
	}

	/** Sends a message that every instance passes on once. */
	relay(message: PeerMessage): void {
		const id = `${this.#self.incarnation} ${this.#relayed++}`;
		this.#seen.add(id);
		this.#pass({
			type: 'relayed', id, origin: this.#self, hops: 0, message,
		});
	}

	/** Sends a request; {@link PeerBus.request}. */
	async request(to: Peer, request: PeerRequest): Promise<Result<PeerResponse, PeerRequestFailure>> {
		const link = this.get(to.incarnation);
		return link ? this.#pending.send(link, request) : fail('no_link');
	}

	/** Handles an envelope from a peer. */
	receive(link: PeerLink, envelope: Envelope): void {
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
				if (this.#seen.add(envelope.id)) {
					this.#deliver(envelope.message, envelope.origin);
					this.#pass({...envelope, hops: envelope.hops + 1}, from);
				}

				return;
			}

			case 'request': {
				const response = this.#answerers.get(envelope.request.kind)?.(envelope.request as never, from); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- answerers are kept by the request's own kind
				link.send({type: 'response', id: envelope.id, ...(response ? {response} : {})}, false);
				return;
			}

			case 'response': {
				this.#pending.receive(link, envelope.id, envelope.response);
			}
		}
	}

	#pass(envelope: RelayedEnvelope, except?: Peer): void {
		if (envelope.hops > maxHops) {
			return;
		}

		for (const link of this.list()) {
			const {incarnation} = link.peer!;
			if (incarnation !== except?.incarnation && incarnation !== envelope.origin.incarnation) {
				link.send(envelope, false);
			}
		}
	}

	#deliver(message: PeerMessage, from: Peer): void {
		this.#telemetry.count('peer_messages_total', {kind: message.kind});
		for (const handler of this.#handlers.get(message.kind) ?? []) {
			handler(message as never, from); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- handlers are kept by the message's own kind
		}
	}

	#findOpener(link: PeerLink): string {
		return link.role === 'opener' ? this.#self.incarnation : link.peer!.incarnation;
	}
}
