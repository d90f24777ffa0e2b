/** Tracks the requests to neighbours that wait for a response. */
import type {Clock} from '#clock';
import {fail, succeed, type Result} from '#core';
import type {
	PeerLink, PeerRequest, PeerRequestFailure, PeerResponse,
} from '#peer-protocol';

type PendingRequest = Readonly<{link: PeerLink; finish: (result: Result<PeerResponse, PeerRequestFailure>) => void}>;

const requestTimeoutMs = 2000;

/** Numbers requests and matches responses to them. */
export class PendingRequests {
	readonly #clock: Clock;
	readonly #pending = new Map<number, PendingRequest>();
	#nextId = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Sends a request and waits for its response. Fails if the link closes or the request times out. */
	async send(link: PeerLink, request: PeerRequest): Promise<Result<PeerResponse, PeerRequestFailure>> {
		const id = this.#nextId++;
		return new Promise(resolve => {
			const finish = (result: Result<PeerResponse, PeerRequestFailure>) => {
				cancel();
				this.#pending.delete(id);
				resolve(result);
			};

			const cancel = this.#clock.setTimer(requestTimeoutMs, () => {
				finish(fail('timeout'));
			});
			this.#pending.set(id, {link, finish});
			link.send({type: 'request', id, request}, false);
		});
	}

	/**
	 * Finishes the request that a response belongs to. Ignores a response without
	 * a pending request.
	 *
	 * @param response `undefined` if the peer has no answer; the request then fails as `unanswered`
	 */
	handleResponse(link: PeerLink, id: number, response: PeerResponse | undefined): void {
		const pending = this.#pending.get(id);
		if (pending?.link === link) {
			pending.finish(response ? succeed(response) : fail('unanswered'));
		}
	}

	/** Fails all pending requests on a link that has closed. */
	abortAll(link: PeerLink): void {
		for (const pending of this.#pending.values()) {
			if (pending.link === link) {
				pending.finish(fail('lost'));
			}
		}
	}
}
