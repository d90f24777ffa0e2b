/**
 * Restores the initial state of an instance: a bounded snapshot from a peer
 * that is ready, and the newest configuration known to the platform and peers.
 * Instances that start together add random delays, and each peer serves only a
 * few snapshots per second. If no peer has a snapshot, the configuration from
 * the platform is enough. The wait for a newer configuration is bounded.
 */
import type {Clock} from '#clock';
import type {ConfigurationStore} from '#configuration';
import type {Random} from '#core';
import type {PeerBus} from '#peer-protocol';
import type {TargetViews} from '#placement';
import type {Quarantine} from '#quarantine';
import type {Telemetry} from '#telemetry';

export type WarmStartDependencies = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	bus: PeerBus;
	configuration: ConfigurationStore;
	views: TargetViews;
	/** Whether this instance is ready; only then does it serve snapshots. */
	isReady: () => boolean;
	quarantine: Quarantine;
}>;

const maxSnapshotKeys = 32_768;
const maxSnapshotStrikes = 128;
const maxSnapshotsPerSecond = 4;
const firstJitterMs = 300;
const maxNeighbourWaitMs = 1500;
const maxAttempts = 4;
const maxRestoreMs = 8000;
const pollIntervalMs = 20;

/** Serves snapshots to peers that start, at most {@link maxSnapshotsPerSecond} in each second. */
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
 * Restores the initial state. Resolves once a configuration is in force, no
 * neighbour has a newer one or {@link maxRestoreMs} have passed, and a snapshot
 * was applied or none was available.
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
		await clock.sleep(random.integerBelow(firstJitterMs * (2 ** attempt)), signal);
		const neighbours = bus.listNeighbours();
		if (neighbours.length === 0) {
			continue;
		}

		const answer = await bus.request(neighbours[random.integerBelow(neighbours.length)]!, {kind: 'snapshot'});
		telemetry.count('snapshots_total', {result: answer.ok ? 'taken' : answer.error});
		if (answer.ok) {
			for (const summary of answer.value.targets) {
				dependencies.views.importSummary(summary);
			}

			dependencies.quarantine.importStrikes(answer.value.strikes);
			return;
		}
	}
}
