/** The roll-out of weights: one instance at a time, the holder of a lease, orders engines to load the newest published version. */
export type {
	EngineControl, EngineReport, OrderOutcome, WeightsOrder,
} from './engine-control.ts';
export {WeightsRollout, type RolloutDependencies, type WeightsProgress} from './weights-rollout.ts';
