/**
 * Tells the peers which targets hold which parts of prompts, as far as this
 * instance sent them there, and takes in what they tell. What is told was new
 * here, in bounded batches.
 */
import type {PlacedParts} from './placed-parts.ts';
import type {Clock} from '#clock';
import {meshPeers} from '#membership';
import type {PeerBus} from '#peer-protocol';

/** What the exchange works with. */
export type PartExchangeDeps = Readonly<{placed: PlacedParts; bus: PeerBus; clock: Clock}>;

/** Time between messages while all peers hear them, in milliseconds: a part is read in about that time. */
const meshEveryMs = 50;

/** Time between messages where only some peers hear them, in milliseconds: the bytes for each instance are bounded. */
const fleetEveryMs = 500;

/** Parts in one message; the rest is not told. */
const maxParts = 64;

/** Runs until `signal` aborts. */
export async function runPartExchange({placed, bus, clock}: PartExchangeDeps, signal: AbortSignal): Promise<void> {
	const unsubscribe = bus.subscribe('parts', ({parts}) => {
		for (const {key, incarnation} of parts) {
			placed.note(key, incarnation, clock.now());
		}
	});
	while (!signal.aborted) {
		const news = placed.takeNews(maxParts);
		if (news.length > 0) {
			bus.sample({kind: 'parts', parts: [...news]});
		}

		await clock.sleep(bus.listPeers().length <= meshPeers ? meshEveryMs : fleetEveryMs, signal);
	}

	unsubscribe();
}
