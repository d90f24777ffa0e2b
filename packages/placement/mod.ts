/**
 * Placement: the piece-key chain of a prompt, what is known of targets' caches
 * and load, and the choice of a target for a request.
 */
export {makeChain, type PromptChain} from './chain.ts';
export {TargetViews, type TargetSummary, type TargetView} from './views.ts';
export {chooseTarget, type Candidate, type PlacementQuery} from './choose.ts';
export {
	judgeHead, type AnswerHead, type HeadVerdict, type JudgeContext,
} from './judge-head.ts';
export {
	Placer, type Placement, type PlacementPolicy, type PlacementRequest, type PlacerDeps,
} from './placer.ts';
