/**
 * One request that a peer runs, seen from the instance that sends it there. The
 * answer is read in the same steps as that of a target.
 */
import type {
	BodyFraming, BodyRead, ExchangeFault, HeadRead,
} from './exchange.ts';
import {
	refusalRules, type Refusal, type RefusalReason, type RelayPool, type RelayRequest,
} from '#core';
import {ByteBlocks} from '#http';
import type {
	ChannelPart, ChannelPartHandlers, ChannelReceiver, Peer, PeerBus, PeerChannel, RelayedRequest,
} from '#peer-protocol';

/** The head of the answer with the version of the target's software, why there is none, or the peer's refusal. */
export type PeerHeadRead = HeadRead | Readonly<{kind: 'refusal'; refusal: Refusal}>;

/** Detail of the fault if the peer leaves its answer incomplete. */
export const brokenOffDetail = 'the peer left its answer incomplete';

/** Detail of the fault if the peer leaves its answer incomplete because it stops. */
const peerStoppedDetail = 'the peer stopped before its answer was complete';

const endRead: BodyRead = {kind: 'end'};

export class PeerExchange implements ChannelReceiver {
	/** Time at which a part of the answer last arrived, in milliseconds; negative infinity before that. */
	lastReceivedMs = Number.NEGATIVE_INFINITY;
	/** Version of the software of the latest target. */
	softwareVersion: string | undefined;
	/** Targets to which the peer has sent the request, or may have. */
	readonly targets: string[] = [];
	readonly #getNowMs: () => number;
	readonly #chunks = new ByteBlocks();
	readonly #handlers: ChannelPartHandlers;
	#channel: PeerChannel | undefined;
	#head: HeadRead | undefined;
	#framing: BodyFraming = 'none';
	#refusal: Refusal | undefined;
	#fault: ExchangeFault | undefined;
	#isFinished = false;
	#wake: (() => void) | undefined;

	constructor(getNowMs: () => number) {
		this.#getNowMs = getNowMs;
		this.#handlers = {
			attempt: ({target, softwareVersion, event}) => {
				if (event === 'started') {
					this.targets.push(target);
					this.softwareVersion = softwareVersion;
				} else {
					this.targets.pop();
				}
			},
			head: ({status, headers, bodyBytes}) => {
				if (this.#head) {
					this.abort('the peer sent a second head');
					return;
				}

				this.#head = {kind: 'head', head: {status, headers}};
				this.#framing = bodyBytes === undefined ? 'chunked' : 'length';
			},
			data: ({bytes}) => {
				this.#chunks.add(bytes);
			},
			end: () => {
				this.#finish();
			},
			abort: ({isStopping = false}) => {
				this.#fail(isStopping ? peerStoppedDetail : brokenOffDetail);
			},
			refusal: part => {
				if (this.#head) {
					this.#fail(brokenOffDetail);
					return;
				}

				this.#refusal = {...part, reason: isRefusalReason(part.reason) ? part.reason : 'no_target'};
				this.#finish();
			},
		};
	}

	/** How the end of the answer's body is marked; `none` before the head has arrived. */
	get framing(): BodyFraming {
		return this.#framing;
	}

	/** Sends the request. Returns `false` if no channel to the peer can be opened. */
	start(bus: PeerBus, peer: Peer, request: RelayedRequest): boolean {
		this.#channel = bus.openChannel(peer, this);
		this.#channel?.send({kind: 'request', request});
		return this.#channel !== undefined;
	}

	/** Time since the peer last sent anything, in milliseconds. */
	getPeerSilenceMs(): number {
		return this.#channel?.getSilenceMs() ?? 0;
	}

	/** Waits for the head of the answer, or for the peer's refusal. */
	async readHead(): Promise<PeerHeadRead> {
		while (!this.#head && !this.#isFinished) {
			await this.#wait();
		}

		if (this.#refusal) {
			return {kind: 'refusal', refusal: this.#refusal};
		}

		return this.#head ?? {kind: 'fault', fault: this.#fault ?? createFault(brokenOffDetail)};
	}

	/** Returns the next chunk of the body; waits if none has arrived yet. */
	async readBody(): Promise<BodyRead> {
		while (this.#chunks.length === 0 && !this.#isFinished) {
			await this.#wait();
		}

		const bytes = this.#chunks.shift();
		if (bytes) {
			this.#channel?.send({kind: 'credit', bytes: bytes.length});
			return {kind: 'data', bytes};
		}

		return this.#fault ? {kind: 'fault', fault: this.#fault} : endRead;
	}

	/** Aborts the exchange; `detail` becomes the detail of the fault. */
	abort(detail: string): void {
		if (!this.#isFinished) {
			this.#channel?.send({kind: 'abort'});
			this.#fail(detail);
		}
	}

	handlePart(part: ChannelPart): void {
		if (this.#isFinished) {
			return;
		}

		this.lastReceivedMs = this.#getNowMs();
		(this.#handlers[part.kind] as ((received: typeof part) => void) | undefined)?.(part); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- handlers are stored by the kind of part that they take
		this.#notify();
	}

	handleLost(): void {
		this.#fail('the link to the peer was lost');
	}

	#fail(detail: string): void {
		if (!this.#isFinished) {
			this.#fault = createFault(detail);
			this.#finish();
		}
	}

	#finish(): void {
		this.#isFinished = true;
		this.#channel?.close();
		this.#notify();
	}

	async #wait(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#wake = resolve;
		});
	}

	#notify(): void {
		this.#wake?.();
		this.#wake = undefined;
	}
}

/** What an attempt through a peer sets in its request. */
export type RelayedOverrides = Pick<RelayedRequest, 'remainingMs' | 'lastEventId' | 'softwareVersion'> & Readonly<{maxTargets: number}>;

/** Encodes a request for the peer that runs it. */
export function encodeRelayedRequest(request: RelayRequest, pool: RelayPool, {maxTargets, ...overrides}: RelayedOverrides): RelayedRequest {
	const {
		id, method, path, headers, body, route, customer, prompt, cacheScope, resumedRequestId, configurationVersion,
	} = request;
	return {
		id, method, path, headers, body, route: {...route, maxTargets}, pool, customer, prompt, cacheScope, resumedRequestId, configurationVersion, ...overrides,
	};
}

function createFault(detail: string): ExchangeFault {
	return {hasBeenSent: true, hasConnectionFailed: true, detail};
}

function isRefusalReason(reason: string): reason is RefusalReason {
	return reason in refusalRules;
}
