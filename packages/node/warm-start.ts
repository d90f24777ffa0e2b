/**
 * Restores the initial state of an instance: a bounded snapshot from a peer
 * that is ready, and the newest configuration known to the platform and peers.
 * The snapshot holds the targets' cached keys and the strikes of the quarantine.
 * Many instances may start together, so each adds random delays, and each peer
 * serves only a few snapshots per second. If no peer has a snapshot, the
 * configuration alone is enough. The wait for a newer configuration is bounded.
 */
import type {Clock} from '#clock';
import type {ConfigurationStore} from '#configuration';
import type {Random} from '#core';
import type {PeerBus} from '#peer-protocol';
import type {TargetViews} from '#placement';
import type {Quarantine} from '#quarantine';
import type {Telemetry} from '#telemetry';

/** Dependencies of {@link provideSnapshots} and {@link restoreState}. */
export type WarmStartDependencies = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	bus: PeerBus;
	configuration: ConfigurationStore;
	views: TargetViews;
	/** Whether this instance is ready. It serves no snapshots before. */
	isReady: () => boolean;
	quarantine: Quarantine;
}>;

/** Maximum number of cached keys in a snapshot, over all targets. */
const maxSnapshotKeys = 32_768;
const maxSnapshotStrikes = 128;
const maxSnapshotsPerSecond = 4;

/** Upper bound of the random delay before the first request for a snapshot, in milliseconds; doubled with each further request. */
const maxFirstJitterMs = 300;

/** Maximum time to wait for a first neighbour, in milliseconds. */
const maxNeighbourWaitMs = 1500;

/** Maximum number of requests for a snapshot. */
const maxAttempts = 4;

/** Maximum time from the start of the restore for which an instance with an older configuration waits for a newer one, in milliseconds. */
const maxRestoreMs = 8000;
const pollIntervalMs = 20;

/** Serves snapshots to instances that start, at most {@link maxSnapshotsPerSecond} in each second. */
export function provideSnapshots(dependencies: WarmStartDependencies): void {
	let windowStartMs = -Infinity;
	let sent = 0;
	dependencies.bus.setRequestHandler('snapshot', () => {
		const nowMs = dependencies.clock.now();
		if (nowMs - windowStartMs >= 1000) {
			windowStartMs = nowMs;
			sent = 0;
		}

		if (!dependencies.isReady() || ++sent > maxSnapshotsPerSecond) {
			return undefined;
		}

		return {
			kind: 'snapshot', targets: dependencies.views.exportSummaries(maxSnapshotKeys).map(summary => ({...summary, keys: [...summary.keys]})),
			strikes: [...dependencies.quarantine.exportStrikes(maxSnapshotStrikes)],
		};
	});
}

/**
 * Restores the initial state. First requests a snapshot, if peers are expected.
 * Then waits for a configuration, and for at most {@link maxRestoreMs} in all
 * until no peer is known to have a newer one.
 *
 * @param hasPeers whether other instances are expected
 */
export async function restoreState(dependencies: WarmStartDependencies, hasPeers: boolean, signal: AbortSignal): Promise<void> {
	const {clock, configuration} = dependencies;
	const deadlineMs = clock.now() + maxRestoreMs;
	if (hasPeers) {
		await restoreSnapshot(dependencies, signal);
	}

	while (!signal.aborted && (!configuration.current || (configuration.isBehind && clock.now() < deadlineMs))) {
		await clock.sleep(pollIntervalMs, signal);
	}
}

async function restoreSnapshot(dependencies: WarmStartDependencies, signal: AbortSignal): Promise<void> {
	const {clock, random, bus, telemetry} = dependencies;
	const waitDeadlineMs = clock.now() + maxNeighbourWaitMs;
	while (bus.listNeighbours().length === 0 && clock.now() < waitDeadlineMs && !signal.aborted) {
		await clock.sleep(pollIntervalMs, signal);
	}

	for (let attempt = 0; attempt < maxAttempts && !signal.aborted; attempt++) {
		await clock.sleep(random.integerBelow(maxFirstJitterMs * (2 ** attempt)), signal);
		const neighbours = bus.listNeighbours();
		if (neighbours.length === 0) {
			continue;
		}

		const response = await bus.request(neighbours[random.integerBelow(neighbours.length)]!, {kind: 'snapshot'});
		telemetry.count('snapshots_total', {result: response.ok ? 'taken' : response.error});
		if (response.ok) {
			for (const summary of response.value.targets) {
				dependencies.views.importSummary(summary);
			}

			dependencies.quarantine.importStrikes(response.value.strikes);
			return;
		}
	}
}
