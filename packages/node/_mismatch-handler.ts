/**
 * Handles targets that differ from what was assumed. Notifies the peers if
 * another process has replaced the target, and reads the engine's report if it
 * serves other weights.
 */
import type {Clock} from '#clock';
import type {PeerBus} from '#peer-protocol';
import type {TargetMismatch, TargetSet, TargetState} from '#relay';
import type {EngineControl} from '#rollout';
import type {Telemetry} from '#telemetry';

export type MismatchHandlerDependencies = Readonly<{
	targets: TargetSet;
	control: EngineControl;
	bus: PeerBus;
	clock: Clock;
	telemetry: Telemetry;
}>;

/** Maximum time for which an engine with unknown weights is not chosen, in milliseconds; its report normally arrives sooner. */
const maxUnknownWeightsMs = 300;

/** Handles mismatches that this instance finds or that peers report. */
export class MismatchHandler {
	readonly #dependencies: MismatchHandlerDependencies;
	readonly #pendingReports = new Set<string>();

	constructor(dependencies: MismatchHandlerDependencies) {
		this.#dependencies = dependencies;
		dependencies.bus.subscribe('replaced', ({incarnation}) => {
			dependencies.targets.findByIncarnation(incarnation)?.markReplaced();
		});
	}

	handle(state: TargetState, mismatch: TargetMismatch): void {
		if (mismatch === 'replaced') {
			this.markReplaced(state.target.incarnation);
		} else {
			void this.#refreshWeights(state);
		}
	}

	/** Removes a replaced target on this instance and its peers, which never use that incarnation again. */
	markReplaced(incarnation: string): void {
		const {targets, bus, telemetry} = this.#dependencies;
		const state = targets.findByIncarnation(incarnation);
		if (state && !state.isReplaced) {
			telemetry.log('target replaced', {target: state.target.id, address: state.target.address});
			state.markReplaced();
			bus.broadcast({kind: 'replaced', incarnation});
		}
	}

	async #refreshWeights(state: TargetState): Promise<void> {
		const {control, clock, telemetry} = this.#dependencies;
		const {target} = state;
		if (this.#pendingReports.has(target.incarnation)) {
			return;
		}

		this.#pendingReports.add(target.incarnation);
		state.loadingUntilMs = Math.max(state.loadingUntilMs, clock.now() + maxUnknownWeightsMs);
		const report = await control.readReport(target);
		this.#pendingReports.delete(target.incarnation);
		for (const [model, version] of report?.weights ?? []) {
			telemetry.log('engine serves different weights than assumed', {
				target: target.id, model, assumed: state.weights.get(model), version, isBusy: report?.isBusy,
			});
			state.setWeights(model, version);
		}
	}
}
