/**
 * Runs requests of peers that reach no target themselves. The peer stands in for
 * the caller: it is sent the answer as it arrives, within the credit that it has
 * given, and a lost link counts as a caller that has left.
 */
import type {RelayCaller} from './caller.ts';
import type {HeaderLines} from './exchange.ts';
import type {Relay} from './relay.ts';
import type {HeldBodies} from '#admission';
import type {Cancel, Clock} from '#clock';
import {
	createRefusal, readArrivedInput, type Refusal, type RelayTarget,
} from '#core';
import type {
	ChannelPart, ChannelPartHandlers, ChannelReceiver, PeerBus, PeerChannel, RelayedRequest,
} from '#peer-protocol';
import {recordEscapedError, type Telemetry} from '#telemetry';

export type PeerRelayDependencies = Readonly<{
	clock: Clock;
	telemetry: Telemetry;
	bus: Pick<PeerBus, 'setChannelHandler'>;
	relay: Readonly<{run: (...parameters: Parameters<Relay['run']>) => Promise<unknown>}>;
	heldBodies: Pick<HeldBodies, 'create'>;
	/** Whether this instance takes requests. */
	isReady: () => boolean;
}>;

/** Maximum number of requests of peers in progress; more are refused at once, so that the peers try others. */
const maxRunning = 128;

/** Retry time of a refusal because of that, in milliseconds. */
const refusedRetryAfterMs = 300;

/** Maximum number of bytes of an answer that are sent without credit. */
const windowBytes = 16_384;

/** Work for peers that the relay does not count. */
export type RelayedWork = Readonly<{
	/** Counts the requests that have been taken and are not in the relay: not yet, or not any more though parts of their answers wait for credit. */
	countPending(): number;
}>;

/** Runs the requests that peers send on channels. */
export function serveRelayedRequests(dependencies: PeerRelayDependencies): RelayedWork {
	const {bus, isReady, heldBodies} = dependencies;
	let running = 0;
	let inRelay = 0;
	const relay: PeerRelayDependencies['relay'] = {
		async run(...request) {
			inRelay++;
			await dependencies.relay.run(...request).finally(() => {
				inRelay--;
			});
		},
	};
	bus.setChannelHandler(channel => {
		const caller = new PeerCaller(channel, request => {
			if (running >= maxRunning || !isReady()) {
				caller.refuse(createRefusal('queue_full', {retryAfterMs: refusedRetryAfterMs}));
				return;
			}

			const held = heldBodies.create();
			const retryAfterMs = held.admit(request.body?.length ?? 0, request.remainingMs);
			if (retryAfterMs !== undefined) {
				caller.refuse(createRefusal('body_memory_full', {retryAfterMs}));
				return;
			}

			running++;
			void runRequest({...dependencies, relay}, caller, request).catch((error: unknown) => {
				recordEscapedError(dependencies.telemetry, 'request', error, {id: request.id, relayedBy: caller.peerName});
				caller.abort();
			}).finally(() => {
				running--;
				held.release();
			});
		});
		return caller;
	});
	return {countPending: () => running - inRelay};
}

async function runRequest({clock, telemetry, relay}: PeerRelayDependencies, caller: PeerCaller, {pool, remainingMs, ...request}: RelayedRequest): Promise<void> {
	telemetry.count('relayed_requests_total', {pool: pool.name});
	const nowMs = clock.now();
	// The peer may have cancelled the request in what lies behind it on the link.
	await readArrivedInput();
	await relay.run({
		...request, body: request.body, customer: request.customer, prompt: request.prompt, cacheScope: request.cacheScope, lastEventId: request.lastEventId,
		resumedRequestId: request.resumedRequestId, softwareVersion: request.softwareVersion, arrivedMs: nowMs, deadlineMs: nowMs + remainingMs, relayedBy: caller.peerName,
	}, pool, caller);
	await caller.waitForDrain();
}

/** The caller of a request that a peer has sent. */
class PeerCaller implements RelayCaller, ChannelReceiver {
	readonly #channel: PeerChannel;
	readonly #handlers: ChannelPartHandlers;
	readonly #leaveHandlers = new Set<() => void>();
	/** Parts that wait for credit. */
	readonly #waiting: ChannelPart[] = [];
	#uncreditedBytes = 0;
	#hasLeft = false;
	#wake: (() => void) | undefined;

	constructor(channel: PeerChannel, start: (request: RelayedRequest) => void) {
		this.#channel = channel;
		this.#handlers = {
			request({request}) {
				start(request);
			},
			credit: ({bytes}) => {
				this.#uncreditedBytes -= bytes;
				this.#sendWaiting();
			},
			abort: () => {
				this.handleLost();
			},
		};
	}

	get peerName(): string {
		return this.#channel.peer.name;
	}

	handlePart(part: ChannelPart): void {
		(this.#handlers[part.kind] as ((received: typeof part) => void) | undefined)?.(part); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- handlers are stored by the kind of part that they take
	}

	handleLost(): void {
		this.#hasLeft = true;
		this.#channel.close();
		for (const handler of this.#leaveHandlers) {
			handler();
		}

		this.#notifyDrained();
	}

	hasLeft(): boolean {
		return this.#hasLeft;
	}

	subscribeLeave(handler: () => void): Cancel {
		this.#leaveHandlers.add(handler);
		return () => {
			this.#leaveHandlers.delete(handler);
		};
	}

	recordAttempt({id, softwareVersion}: RelayTarget, event: 'started' | 'not_sent'): void {
		this.#channel.send({
			kind: 'attempt', target: id, softwareVersion, event,
		});
	}

	sendHead(status: number, headers: HeaderLines, bodyBytes: number | undefined): void {
		this.#channel.send({
			kind: 'head', status, headers, bodyBytes,
		});
	}

	write(bytes: Uint8Array): boolean {
		for (let start = 0; start < bytes.length; start += windowBytes) {
			this.#waiting.push({kind: 'data', bytes: bytes.subarray(start, start + windowBytes)});
		}

		this.#sendWaiting();
		return this.#waiting.length === 0;
	}

	async waitForDrain(): Promise<void> {
		while (this.#waiting.length > 0 && !this.#hasLeft) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}
	}

	finish(): void {
		this.#sendLast({kind: 'end'});
	}

	abort(isStopping = false): void {
		this.#waiting.length = 0;
		this.#sendLast({kind: 'abort', ...(isStopping && {isStopping})});
	}

	refuse({reason, status, ran, message, retryAfterMs}: Refusal): void {
		this.#sendLast({
			kind: 'refusal', reason, status, ran, message, retryAfterMs,
		});
	}

	#sendLast(part: ChannelPart): void {
		this.#waiting.push(part);
		this.#sendWaiting();
	}

	/** Sends the parts that the credit allows; a part without data needs none. The last part closes the channel. */
	#sendWaiting(): void {
		while (this.#waiting.length > 0 && !this.#hasLeft) {
			const [part] = this.#waiting;
			const size = part!.kind === 'data' ? part!.bytes.length : 0;
			if (size > 0 && this.#uncreditedBytes > 0 && this.#uncreditedBytes + size > windowBytes) {
				return;
			}

			this.#waiting.shift();
			this.#uncreditedBytes += size;
			this.#channel.send(part!);
			if (part!.kind !== 'data') {
				this.#channel.close();
			}
		}

		this.#notifyDrained();
	}

	#notifyDrained(): void {
		this.#wake?.();
		this.#wake = undefined;
	}
}
