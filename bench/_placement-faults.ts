/** Faults that the placement bench injects, each scheduled over the whole run. */
import type {Cluster} from './_placement-cluster.ts';

/** Schedules the actions of a fault; `durationMs` is the length of the run. */
export type Fault = (cluster: Cluster, durationMs: number) => void;

const downMs = 5000;
const silenceIntervalMs = 5000;

export const faults = {
	none: () => undefined,
	engineCrash(cluster, durationMs) {
		for (const [index, engine] of [...cluster.engines.values()].slice(0, 3).entries()) {
			const atMs = durationMs * (index + 1) / 4;
			cluster.clock.setTimer(atMs, () => {
				engine.crash();
			});
			cluster.clock.setTimer(atMs + downMs, () => {
				engine.restart();
			});
		}
	},
	eventLoss(cluster) {
		for (const engine of cluster.engines.values()) {
			engine.setEventLossRatio(0.3);
		}
	},
	// The load itself changes: see `shiftIntervalMs` in the options of the load.
	hotShift: () => undefined,
	routerRestarts(cluster, durationMs) {
		for (const quarter of [1, 2, 3]) {
			cluster.clock.setTimer(durationMs * quarter / 4, () => {
				cluster.startReplacements();
			});
		}
	},
	silentConnections(cluster) {
		const engines = [...cluster.engines.values()];
		let turn = 0;
		cluster.clock.subscribe(silenceIntervalMs, () => {
			engines[turn++ % engines.length]!.silenceConnections();
		});
	},
	platformOutage(cluster, durationMs) {
		cluster.clock.setTimer(durationMs / 4, () => {
			cluster.platform.setDown(true);
		});
		cluster.clock.setTimer(durationMs * 3 / 4, () => {
			cluster.platform.setDown(false);
		});
	},
} as const satisfies Readonly<Record<string, Fault>>;

export type FaultName = keyof typeof faults;
