/**
 * Placement: the piece-key chain of a prompt, what is known of targets' caches
 * and load, and the choice of a target for a request.
 */
export {makeChain, type PromptChain} from './chain.ts';
export {TargetViews, type TargetView} from './views.ts';
export {chooseTarget, type Candidate, type PlacementQuery} from './choose.ts';
