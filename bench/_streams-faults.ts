/** Faults of the streams bench; each strikes one engine after another, or all at once. */
import type {StreamCluster} from './_streams-cluster.ts';
import type {Random} from '#core';

/** Schedules the faults of one run. */
export type StreamFault = (cluster: StreamCluster, random: Random, durationMs: number) => void;

const everyMs = 4000;
const downMs = 1500;
const outageMs = 5000;

/** Faults by name. */
export const streamFaults: Readonly<Record<string, StreamFault>> = {
	none() {
		// Nothing fails.
	},
	reset: repeat(engine => {
		engine.breakConnections();
	}),
	silence: repeat(engine => {
		engine.silenceConnections();
	}),
	crash: repeat((engine, {clock}) => {
		engine.crash();
		clock.after(downMs, () => {
			engine.restart();
		});
	}),
	mixed: repeat((engine, cluster, random) => {
		const kind = random.below(3);
		if (kind === 0) {
			engine.breakConnections();
		} else if (kind === 1) {
			engine.silenceConnections();
		} else {
			engine.crash();
			cluster.clock.after(downMs, () => {
				engine.restart();
			});
		}
	}),
	/** Every engine fails what it runs, for a while. */
	outage({clock, engines}, _random, durationMs) {
		const setEmpty = (empty: boolean) => {
			for (const engine of engines.values()) {
				engine.answerEmpty(empty);
			}
		};

		clock.after(durationMs / 2, () => {
			setEmpty(true);
		});
		clock.after((durationMs / 2) + outageMs, () => {
			setEmpty(false);
		});
	},
};

type Strike = (engine: ReturnType<StreamCluster['pickEngine']>, cluster: StreamCluster, random: Random) => void;

/** Strikes a random live engine at even intervals. */
function repeat(strike: Strike): StreamFault {
	return (cluster, random, durationMs) => {
		for (let atMs = everyMs; atMs < durationMs; atMs += everyMs) {
			cluster.clock.after(atMs, () => {
				strike(cluster.pickEngine(random), cluster, random);
			});
		}
	};
}
