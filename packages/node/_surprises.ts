/** What an instance does when a target is not what was assumed: tells the peers of a replaced one, asks one for its weights. */
import type {Clock} from '#clock';
import type {PeerBus} from '#peer-protocol';
import type {Surprise, TargetSet, TargetState} from '#relay';
import type {EngineControl} from '#rollout';
import type {Telemetry} from '#telemetry';

/** What handling works with. */
export type SurprisesDeps = Readonly<{
	targets: TargetSet;
	calls: EngineControl;
	bus: PeerBus;
	clock: Clock;
	telemetry: Telemetry;
}>;

/** Time for which an engine with unknown weights is passed over, in milliseconds; its report comes sooner. */
const unknownMs = 300;

/** Handles surprises; the peers' as well. */
export class Surprises {
	readonly #deps: SurprisesDeps;
	readonly #asking = new Set<string>();

	constructor(deps: SurprisesDeps) {
		this.#deps = deps;
		deps.bus.subscribe('replaced', ({incarnation}) => {
			deps.targets.findIncarnation(incarnation)?.markGone();
		});
	}

	handle(state: TargetState, surprise: Surprise): void {
		if (surprise === 'replaced') {
			this.tellReplaced(state.target.incarnation);
		} else {
			void this.#askWeights(state);
		}
	}

	/** Never uses a target again, here and at the peers. */
	tellReplaced(incarnation: string): void {
		const {targets, bus, telemetry} = this.#deps;
		const state = targets.findIncarnation(incarnation);
		if (state && !state.isGone) {
			telemetry.log('target replaced', {target: state.target.id, address: state.target.address});
			state.markGone();
			bus.spread({kind: 'replaced', incarnation});
		}
	}

	async #askWeights(state: TargetState): Promise<void> {
		const {calls, clock, telemetry} = this.#deps;
		const {target} = state;
		if (this.#asking.has(target.incarnation)) {
			return;
		}

		this.#asking.add(target.incarnation);
		state.loadingUntilMs = Math.max(state.loadingUntilMs, clock.now() + unknownMs);
		const report = await calls.readReport(target);
		this.#asking.delete(target.incarnation);
		for (const [model, version] of report?.weights ?? []) {
			telemetry.log('engine serves other weights', {
				target: target.id, model, assumed: state.weights.get(model), version, isBusy: report?.isBusy,
			});
			state.setWeights(model, version);
		}
	}
}
