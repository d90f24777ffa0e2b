/**
 * The first state of an instance: a bounded snapshot from a peer that is
 * ready, and the newest configuration of platform and peers. Instances that
 * start together wait by chance and are given snapshots a few at a time; where
 * nobody has one, the platform alone decides, and the bound ends the wait.
 */
import type {Clock} from '#clock';
import type {ConfigurationStore} from '#configuration';
import type {Random} from '#core';
import type {PeerBus} from '#peer-protocol';
import type {TargetViews} from '#placement';
import type {Quarantine} from '#quarantine';
import type {Telemetry} from '#telemetry';

/** What takes part in a snapshot. */
export type WarmStartDeps = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	bus: PeerBus;
	configuration: ConfigurationStore;
	views: TargetViews;
	/** Whether this instance is ready, and so has something to give. */
	isReady: () => boolean;
	quarantine: Quarantine;
}>;

const maxKeys = 32_768;
const maxStrikes = 128;
const snapshotsPerSecond = 4;
const jitterMs = 300;
const neighbourWaitMs = 1500;
const attempts = 4;
const limitMs = 8000;
const stepMs = 20;

/** Answers peers that start, a few in each second. */
export function provideSnapshots(deps: WarmStartDeps): void {
	let windowMs = -Infinity;
	let given = 0;
	deps.bus.answer('snapshot', () => {
		const now = deps.clock.now();
		if (now - windowMs >= 1000) {
			windowMs = now;
			given = 0;
		}

		if (!deps.isReady() || ++given > snapshotsPerSecond) {
			return undefined;
		}

		return {
			kind: 'snapshot', targets: deps.views.exportSummaries(maxKeys).map(summary => ({...summary, keys: [...summary.keys]})),
			strikes: [...deps.quarantine.exportStrikes(maxStrikes)],
		};
	});
}

/**
 * Waits for the first state.
 *
 * @param hasPeers whether other instances are expected
 * @returns when there is a configuration, none newer is known, and a snapshot was taken or could not be had
 */
export async function restoreState(deps: WarmStartDeps, hasPeers: boolean, signal: AbortSignal): Promise<void> {
	const {clock, configuration} = deps;
	const endMs = clock.now() + limitMs;
	if (hasPeers) {
		await takeSnapshot(deps, signal);
	}

	while (!signal.aborted && (!configuration.current || (configuration.isBehind && clock.now() < endMs))) {
		await clock.sleep(stepMs, signal);
	}
}

async function takeSnapshot(deps: WarmStartDeps, signal: AbortSignal): Promise<void> {
	const {clock, random, bus, telemetry} = deps;
	const waitEndMs = clock.now() + neighbourWaitMs;
	while (bus.listNeighbours().length === 0 && clock.now() < waitEndMs && !signal.aborted) {
		await clock.sleep(stepMs, signal);
	}

	for (let attempt = 0; attempt < attempts && !signal.aborted; attempt++) {
		await clock.sleep(random.below(jitterMs * (2 ** attempt)), signal);
		const neighbours = bus.listNeighbours();
		if (neighbours.length === 0) {
			continue;
		}

		const answer = await bus.request(neighbours[random.below(neighbours.length)]!, {kind: 'snapshot'});
		telemetry.count('snapshots_total', {result: answer.ok ? 'taken' : answer.error});
		if (answer.ok) {
			for (const summary of answer.value.targets) {
				deps.views.importSummary(summary);
			}

			deps.quarantine.importStrikes(answer.value.strikes);
			return;
		}
	}
}
