/** The roll-out of weights: engines come to the newest version that is named, one holder at a time giving orders. */
export type {
	EngineControl, EngineReport, OrderOutcome, WeightsOrder,
} from './engine-control.ts';
export {WeightsRollout, type RolloutDeps, type WeightsNews} from './weights-rollout.ts';
