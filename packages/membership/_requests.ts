/** Requests to neighbours that wait for their answers. */
import type {Clock} from '#clock';
import {fail, succeed, type Result} from '#core';
import type {
	PeerLink, PeerRequest, PeerRequestFailure, PeerResponse,
} from '#peer-protocol';

type Waiting = Readonly<{link: PeerLink; settle: (result: Result<PeerResponse, PeerRequestFailure>) => void}>;

const timeoutMs = 2000;

/** Numbers requests and matches answers to them. */
export class PendingRequests {
	readonly #clock: Clock;
	readonly #waiting = new Map<number, Waiting>();
	#next = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Sends a request and waits for its answer, the end of the link, or the timeout. */
	async send(link: PeerLink, request: PeerRequest): Promise<Result<PeerResponse, PeerRequestFailure>> {
		const id = this.#next++;
		return new Promise(resolve => {
			const settle = (result: Result<PeerResponse, PeerRequestFailure>) => {
				cancel();
				this.#waiting.delete(id);
				resolve(result);
			};

			const cancel = this.#clock.after(timeoutMs, () => {
				settle(fail('timeout'));
			});
			this.#waiting.set(id, {link, settle});
			link.send({type: 'request', id, request}, false);
		});
	}

	/** Takes in an answer; one that nobody waits for is ignored. */
	receive(link: PeerLink, id: number, response: PeerResponse | undefined): void {
		const waiting = this.#waiting.get(id);
		if (waiting?.link === link) {
			waiting.settle(response ? succeed(response) : fail('unanswered'));
		}
	}

	/** Fails all requests on a link that ended. */
	drop(link: PeerLink): void {
		for (const waiting of this.#waiting.values()) {
			if (waiting.link === link) {
				waiting.settle(fail('lost'));
			}
		}
	}
}
