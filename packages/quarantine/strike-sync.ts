/**
 * Requests the strikes of each peer to which a link opens. Strikes are broadcast
 * as they happen, so an instance that starts, or that was cut off, has missed
 * those of the meantime.
 */
import type {Quarantine} from './quarantine.ts';
import {waitForTick, type Clock} from '#clock';
import type {PeerBus} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

export type StrikeSyncDependencies = Readonly<{
	clock: Clock;
	telemetry: Telemetry;
	bus: PeerBus;
	quarantines: readonly Quarantine[];
}>;

/** Interval between checks for new links, in milliseconds. */
const checkIntervalMs = 250;

/** Maximum number of strikes of one quarantine in a response. */
const maxStrikes = 256;

/** Maximum number of peers that are asked at once; it bounds the traffic of an instance that opens many links. */
const maxRequests = 10;

/** Answers peers, and requests the strikes of new ones until `signal` aborts. */
export async function runStrikeSync({clock, telemetry, bus, quarantines}: StrikeSyncDependencies, signal: AbortSignal): Promise<void> {
	bus.setRequestHandler('snapshot', () => ({
		kind: 'snapshot', targets: [], strikes: quarantines.flatMap(quarantine => [...quarantine.exportStrikes(maxStrikes)]),
	}));
	/** Incarnations of the neighbours that were asked since their link opened. */
	const asked = new Set<string>();
	while (!signal.aborted) {
		const neighbours = bus.listNeighbours();
		const linked = new Set(neighbours.map(({incarnation}) => incarnation));
		for (const incarnation of asked) {
			if (!linked.has(incarnation)) {
				asked.delete(incarnation);
			}
		}

		const unasked = neighbours.filter(({incarnation}) => !asked.has(incarnation)).slice(0, maxRequests);
		await Promise.all(unasked.map(async peer => {
			asked.add(peer.incarnation);
			const response = await bus.request(peer, {kind: 'snapshot'});
			telemetry.count('snapshots_total', {result: response.ok ? 'taken' : response.error});
			if (response.ok) {
				for (const quarantine of quarantines) {
					quarantine.importStrikes(response.value.strikes);
				}
			} else if (response.error !== 'unanswered') {
				// A peer of an older version cannot answer; any other one is asked again.
				asked.delete(peer.incarnation);
			}
		}));
		await waitForTick(clock, checkIntervalMs, signal);
	}
}
