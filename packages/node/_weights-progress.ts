/**
 * Tells the peers the steps of a roll-out of weights. Steps that follow each other
 * closely go into one message: it reaches every instance over several neighbours,
 * and a roll-out takes two steps for each of the engines.
 */
import type {Clock} from '#clock';
import type {Peer, PeerBus} from '#peer-protocol';
import type {WeightsProgress} from '#rollout';

export type WeightsProgressDependencies = Readonly<{
	bus: PeerBus;
	clock: Clock;
	/** Called with each step of a peer's roll-out. */
	handleStep: (progress: WeightsProgress, from: Peer) => void;
	/** Returns the highest fencing token that this instance has seen. */
	getFencing: () => number;
	/** Called with the highest fencing token that a peer has seen. */
	handleFencing: (fencing: number) => void;
}>;

/** Time after which a step is sent, in milliseconds: an engine takes several times as long to load, and callers do not wait for it. */
const sendDelayMs = 50;

/** Maximum number of steps in one message. */
const maxSteps = 200;

export class WeightsProgressExchange {
	readonly #dependencies: WeightsProgressDependencies;
	#unsent: WeightsProgress[] = [];

	constructor(dependencies: WeightsProgressDependencies) {
		this.#dependencies = dependencies;
		dependencies.bus.subscribe('weights', ({more = [], fencing = 0, kind: _kind, ...first}, from) => {
			dependencies.handleFencing(fencing);
			for (const step of [first, ...more]) {
				dependencies.handleStep(step, from);
			}
		});
	}

	/** Sends a step to all peers soon, with those that follow until then. */
	broadcast(step: WeightsProgress): void {
		this.#unsent.push(step);
		if (this.#unsent.length === 1) {
			this.#dependencies.clock.setTimer(sendDelayMs, () => {
				this.#flush();
			});
		}
	}

	#flush(): void {
		const steps = this.#unsent;
		this.#unsent = [];
		for (let start = 0; start < steps.length; start += maxSteps) {
			const [first, ...more] = steps.slice(start, start + maxSteps);
			this.#dependencies.bus.broadcast({
				kind: 'weights', ...first!, fencing: this.#dependencies.getFencing(), ...(more.length > 0 && {more}),
			});
		}
	}
}
