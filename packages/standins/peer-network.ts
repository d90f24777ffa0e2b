/** An in-memory message network between instances, with latency and isolation, for tests of code that uses the peer bus. */
import type {Clock} from '#clock';
import {fail, succeed, type Result} from '#core';
import type {
	ChannelHandler, ChannelReceiver, Peer, PeerBus, PeerChannel, PeerMessage, PeerRequest, PeerRequestFailure, PeerResponse,
} from '#peer-protocol';

type MessageHandler = (message: never, from: Peer) => void;
type RequestHandler = (request: never, from: Peer) => PeerResponse | undefined;
type Member = {readonly peer: Peer; readonly messageHandlers: Map<string, Set<MessageHandler>>; readonly requestHandlers: Map<string, RequestHandler>; channelHandler?: ChannelHandler};

/** Options of {@link PeerNetworkStandin}. */
export type PeerNetworkOptions = Readonly<{
	/** One-way delay, in milliseconds. Default: 1. */
	latencyMs?: number;
}>;

/** Connects the buses of several instances. */
export class PeerNetworkStandin {
	/** Number of delivered messages by kind. */
	readonly deliveredCounts = new Map<string, number>();
	readonly #clock: Clock;
	readonly #latencyMs: number;
	readonly #members = new Map<string, Member>();
	readonly #isolated = new Set<string>();

	constructor(clock: Clock, options: PeerNetworkOptions = {}) {
		this.#clock = clock;
		this.#latencyMs = options.latencyMs ?? 1;
	}

	/** Adds an instance and returns its bus. */
	join(peer: Peer): PeerBus {
		const member: Member = {peer, messageHandlers: new Map(), requestHandlers: new Map()};
		this.#members.set(peer.name, member);
		// Each way of sending reaches every other instance directly.
		const send = (message: PeerMessage, isReceiver: (peer: Peer) => boolean = () => true) => {
			this.#sendToAll(peer, message, isReceiver);
		};

		return {
			listPeers: () => this.#listReachable(peer.name).map(other => other.peer),
			listNeighbours: () => this.#listReachable(peer.name).map(other => other.peer),
			broadcastViaPeers(message) {
				send(message);
			},
			broadcast(message) {
				send(message);
			},
			sendToSample: send,
			subscribe(kind, handler) {
				const handlers = member.messageHandlers.get(kind) ?? new Set();
				member.messageHandlers.set(kind, handlers);
				handlers.add(handler);
				return () => {
					handlers.delete(handler);
				};
			},
			request: async (to, request) => this.#request(to.name, peer, request) as never, // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- request handlers are stored by the request's own kind
			setRequestHandler(kind, handler) {
				member.requestHandlers.set(kind, handler);
			},
			listChannelPeers: () => this.#listReachable(peer.name).map(other => other.peer),
			listArchivingPeers: () => this.#listReachable(peer.name).map(other => other.peer),
			openChannel: (to, receiver) => this.#openChannel(to.name, peer, receiver),
			setChannelHandler(handler) {
				member.channelHandler = handler;
			},
		};
	}

	/** Removes an instance. */
	leave(name: string): void {
		this.#members.delete(name);
	}

	/** Isolates an instance from all others, or connects it again. */
	setIsolated(name: string, isIsolated: boolean): void {
		if (isIsolated) {
			this.#isolated.add(name);
		} else {
			this.#isolated.delete(name);
		}
	}

	#listReachable(from: string): readonly Member[] {
		return this.#isolated.has(from) ? [] : [...this.#members.values()].filter(({peer}) => peer.name !== from && !this.#isolated.has(peer.name));
	}

	async #request(to: string, from: Peer, request: PeerRequest): Promise<Result<PeerResponse, PeerRequestFailure>> {
		await this.#clock.sleep(2 * this.#latencyMs);
		const member = this.#listReachable(from.name).find(({peer}) => peer.name === to);
		if (!member) {
			return fail('no_link');
		}

		const response = member.requestHandlers.get(request.kind)?.(request as never, from); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- request handlers are stored by the request's own kind
		return response ? succeed(response) : fail('unanswered');
	}

	#openChannel(to: string, from: Peer, receiver: ChannelReceiver): PeerChannel | undefined {
		const member = this.#listReachable(from.name).find(({peer}) => peer.name === to);
		if (!member?.channelHandler) {
			return undefined;
		}

		const ends: {opener: ChannelReceiver | undefined; acceptor: ChannelReceiver | undefined} = {opener: receiver, acceptor: undefined};
		const createEnd = (peer: Peer, own: keyof typeof ends, other: keyof typeof ends): PeerChannel => ({
			peer,
			getSilenceMs: () => 0,
			send: part => {
				this.#clock.setTimer(this.#latencyMs, () => {
					ends[other]?.handlePart(part);
				});
			},
			close() {
				ends[own] = undefined;
			},
		});
		ends.acceptor = member.channelHandler(createEnd(from, 'acceptor', 'opener'));
		return createEnd(member.peer, 'opener', 'acceptor');
	}

	#sendToAll(from: Peer, message: PeerMessage, isReceiver: (peer: Peer) => boolean): void {
		for (const {peer} of this.#listReachable(from.name).filter(other => isReceiver(other.peer))) {
			this.#clock.setTimer(this.#latencyMs, () => {
				this.#deliver(peer.name, from, message);
			});
		}
	}

	#deliver(to: string, from: Peer, message: PeerMessage): void {
		if (this.#isolated.has(to) || this.#isolated.has(from.name)) {
			return;
		}

		this.deliveredCounts.set(message.kind, (this.deliveredCounts.get(message.kind) ?? 0) + 1);
		for (const handler of this.#members.get(to)?.messageHandlers.get(message.kind) ?? []) {
			handler(message as never, from); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- handlers are stored by the message's own kind
		}
	}
}
