/** Faults that the streams bench injects, into one random engine at a time or into all engines at once. */
import type {StreamCluster} from './_streams-cluster.ts';
import type {Random} from '#core';

/** Schedules the faults of one run. */
export type StreamFault = (cluster: StreamCluster, random: Random, durationMs: number) => void;

const faultIntervalMs = 4000;
const downMs = 1500;
const outageMs = 5000;

export const streamFaults: Readonly<Record<string, StreamFault>> = {
	none() {
		// Nothing fails.
	},
	reset: repeatFault(engine => {
		engine.breakConnections();
	}),
	silence: repeatFault(engine => {
		engine.silenceConnections();
	}),
	crash: repeatFault((engine, {clock}) => {
		engine.crash();
		clock.setTimer(downMs, () => {
			engine.restart();
		});
	}),
	mixed: repeatFault((engine, cluster, random) => {
		const kind = random.integerBelow(3);
		if (kind === 0) {
			engine.breakConnections();
		} else if (kind === 1) {
			engine.silenceConnections();
		} else {
			engine.crash();
			cluster.clock.setTimer(downMs, () => {
				engine.restart();
			});
		}
	}),
	/** Every engine gives empty answers for `outageMs` from the middle of the run. */
	outage({clock, engines}, _random, durationMs) {
		const setAnswersEmpty = (isEmpty: boolean) => {
			for (const engine of engines.values()) {
				engine.setEmptyAnswers(isEmpty);
			}
		};

		clock.setTimer(durationMs / 2, () => {
			setAnswersEmpty(true);
		});
		clock.setTimer((durationMs / 2) + outageMs, () => {
			setAnswersEmpty(false);
		});
	},
};

type InjectFault = (engine: ReturnType<StreamCluster['chooseEngine']>, cluster: StreamCluster, random: Random) => void;

/** Schedules a fault of a random running engine at a fixed interval. */
function repeatFault(inject: InjectFault): StreamFault {
	return (cluster, random, durationMs) => {
		for (let atMs = faultIntervalMs; atMs < durationMs; atMs += faultIntervalMs) {
			cluster.clock.setTimer(atMs, () => {
				inject(cluster.chooseEngine(random), cluster, random);
			});
		}
	};
}
