/**
 * Placement: the piece-key chain of a prompt, what is known of targets' caches
 * and load, and the choice of a target for a request.
 */
export type {CachedPrefix} from './_cached-keys.ts';
export {
	createChainMaker, makeChain, type ChainMaker, type PromptChain,
} from './chain.ts';
export {pickWeights} from './weights.ts';
export {
	TargetViews, type TargetShare, type TargetSummary, type TargetView, type TargetViewsOptions,
} from './views.ts';
export {
	chooseTarget, type Candidate, type PlacementQuery, type PlacementTerms,
} from './choose.ts';
export {
	findEligible, type Eligibility, type EligibilityQuery, type Exclusion,
} from './eligible.ts';
export {explainPlacement, type PlacementExplanation} from './explain.ts';
export {KeyRates, type KeyRatesOptions} from './key-rates.ts';
export {
	runShareExchange, type SharedWork, type ShareExchangeDeps, type ShareExchangeOptions,
} from './share-exchange.ts';
export {pickHomes, type HomeOptions} from './rendezvous.ts';
export {
	classifyHead, type AnswerHead, type HeadVerdict, type HeadContext,
} from './classify-head.ts';
export {
	Placer, type Placement, type PlacementPolicy, type PlacementRequest, type PlacerDeps,
} from './placer.ts';
