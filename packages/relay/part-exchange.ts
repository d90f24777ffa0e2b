/**
 * Exchanges records of cached prompt parts with the peers. An instance sends
 * only records that are new to it and come from its own requests, in messages
 * of bounded size.
 */
import type {CachedParts} from './cached-parts.ts';
import {waitForEvent, waitForTick, type Clock} from '#clock';
import {maxFullMeshPeers} from '#membership';
import type {PeerBus} from '#peer-protocol';

export type PartExchangeDependencies = Readonly<{cachedParts: CachedParts; bus: PeerBus; clock: Clock}>;

/** Interval between messages while each message reaches all peers, in milliseconds: an engine reads a part in about that time. */
const meshIntervalMs = 50;

/** Interval between messages while each message reaches only some peers, in milliseconds: this bounds the traffic per instance. */
const partialIntervalMs = 500;

/** Maximum number of parts in one message; the rest is not sent. */
const maxParts = 64;

/** Sends and receives the messages until `signal` aborts. */
export async function runPartExchange({cachedParts, bus, clock}: PartExchangeDependencies, signal: AbortSignal): Promise<void> {
	const unsubscribe = bus.subscribe('parts', ({parts}) => {
		for (const {key, incarnation} of parts) {
			cachedParts.record(key, incarnation, clock.now());
		}
	});
	try {
		while (!signal.aborted) {
			const newParts = cachedParts.takeNewParts(maxParts);
			if (newParts.length > 0) {
				bus.sendToSample({kind: 'parts', parts: [...newParts]});
			}

			await waitForEvent(handler => cachedParts.subscribeNewParts(handler), signal);
			await waitForTick(clock, bus.listPeers().length <= maxFullMeshPeers ? meshIntervalMs : partialIntervalMs, signal);
		}
	} finally {
		unsubscribe();
	}
}
