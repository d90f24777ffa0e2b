/** A network between instances in memory, with latency and partitions, for tests of what uses the bus. */
import type {Clock} from '#clock';
import {fail, succeed, type Result} from '#core';
import type {
	Peer, PeerBus, PeerMessage, PeerRequest, PeerRequestFailure, PeerResponse,
} from '#peer-protocol';

type Handler = (message: never, from: Peer) => void;
type Answerer = (request: never, from: Peer) => PeerResponse | undefined;
type Member = Readonly<{peer: Peer; handlers: Map<string, Set<Handler>>; answerers: Map<string, Answerer>}>;

/** Options of {@link PeerNetworkStandin}. */
export type PeerNetworkOptions = Readonly<{
	/** One-way delay, in milliseconds. Default: 1. */
	latencyMs?: number;
}>;

/** Connects the buses of several instances. */
export class PeerNetworkStandin {
	/** Messages delivered, by kind. */
	readonly delivered = new Map<string, number>();
	readonly #clock: Clock;
	readonly #latencyMs: number;
	readonly #members = new Map<string, Member>();
	readonly #cut = new Set<string>();

	constructor(clock: Clock, options: PeerNetworkOptions = {}) {
		this.#clock = clock;
		this.#latencyMs = options.latencyMs ?? 1;
	}

	/** Adds an instance and gives it its bus. */
	join(peer: Peer): PeerBus {
		const member: Member = {peer, handlers: new Map(), answerers: new Map()};
		this.#members.set(peer.name, member);
		const send = (message: PeerMessage) => {
			this.#sendToAll(peer, message);
		};

		return {
			listPeers: () => this.#listReachable(peer.name).map(other => other.peer),
			listNeighbours: () => this.#listReachable(peer.name).map(other => other.peer),
			relay: send,
			spread: send,
			sample: send,
			subscribe(kind, handler) {
				const handlers = member.handlers.get(kind) ?? new Set();
				member.handlers.set(kind, handlers);
				handlers.add(handler);
				return () => {
					handlers.delete(handler);
				};
			},
			request: async (to, request) => this.#ask(to.name, peer, request) as never, // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- answerers are kept by the request's own kind
			answer(kind, answerer) {
				member.answerers.set(kind, answerer);
			},
		};
	}

	/** Removes an instance. */
	leave(name: string): void {
		this.#members.delete(name);
	}

	/** Cuts an instance off from the others, or connects it again. */
	setCut(name: string, isCut: boolean): void {
		if (isCut) {
			this.#cut.add(name);
		} else {
			this.#cut.delete(name);
		}
	}

	#listReachable(from: string): readonly Member[] {
		return this.#cut.has(from) ? [] : [...this.#members.values()].filter(({peer}) => peer.name !== from && !this.#cut.has(peer.name));
	}

	async #ask(to: string, from: Peer, request: PeerRequest): Promise<Result<PeerResponse, PeerRequestFailure>> {
		await this.#clock.sleep(2 * this.#latencyMs);
		const member = this.#listReachable(from.name).find(({peer}) => peer.name === to);
		if (!member) {
			return fail('no_link');
		}

		const response = member.answerers.get(request.kind)?.(request as never, from); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- answerers are kept by the request's own kind
		return response ? succeed(response) : fail('unanswered');
	}

	#sendToAll(from: Peer, message: PeerMessage): void {
		for (const {peer} of this.#listReachable(from.name)) {
			this.#clock.after(this.#latencyMs, () => {
				this.#deliver(peer.name, from, message);
			});
		}
	}

	#deliver(to: string, from: Peer, message: PeerMessage): void {
		if (this.#cut.has(to) || this.#cut.has(from.name)) {
			return;
		}

		this.delivered.set(message.kind, (this.delivered.get(message.kind) ?? 0) + 1);
		for (const handler of this.#members.get(to)?.handlers.get(message.kind) ?? []) {
			handler(message as never, from); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- handlers are kept by the message's own kind
		}
	}
}
