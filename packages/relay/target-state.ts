/** What this instance knows of one target: its connections, its last word on its load, and what was sent to it. */
import type {TargetConnections} from './connections.ts';
import type {RelayTarget} from '#core';

/** Load as a target stated it in an answer. */
export type TargetLoad = Readonly<{
	running: number;
	waiting: number;
	slots: number;
}>;

/** State of one incarnation of a target. */
export class TargetState {
	target: RelayTarget;
	readonly connections: TargetConnections;
	/** Requests of this instance in progress there. */
	inFlight = 0;
	/** Prompt tokens of this instance's requests there that have not begun to answer. */
	pendingTokens = 0;
	load: TargetLoad | undefined;
	/** Time of the last word on the load, in milliseconds; the past before the first. */
	loadAtMs = Number.NEGATIVE_INFINITY;
	/** Requests of this instance that the last word on the load includes. */
	inFlightAtLoad = 0;
	/** Version of the weights by model, as far as known; it only rises. */
	readonly weights = new Map<string, number>();
	/** Time until which the target is taken to load weights and to refuse requests, in milliseconds. */
	loadingUntilMs = Number.NEGATIVE_INFINITY;
	/** Time until which the target is passed over where others can serve, in milliseconds. */
	suspectUntilMs = Number.NEGATIVE_INFINITY;

	constructor(target: RelayTarget, connections: TargetConnections) {
		this.target = target;
		this.connections = connections;
		this.update(target);
	}

	/** Takes in the target's entry as it is listed now. */
	update(target: RelayTarget): void {
		this.target = target;
		for (const [model, version] of target.weights) {
			this.noteWeights(model, version);
		}
	}

	/** Takes in that the target serves a version. */
	noteWeights(model: string, version: number): void {
		if (version > (this.weights.get(model) ?? 0)) {
			this.weights.set(model, version);
			this.loadingUntilMs = Number.NEGATIVE_INFINITY;
		}
	}

	/** Takes in what an answer states. */
	noteLoad(load: TargetLoad, nowMs: number): void {
		this.load = load;
		this.loadAtMs = nowMs;
		this.inFlightAtLoad = this.inFlight;
	}
}
