/**
 * Placement: computes the piece-key chain of a prompt, tracks the caches and the
 * load of targets, and chooses a target for each request.
 */
export type {CachedPrefix} from './_cached-keys.ts';
export {
	createChainFactory, createChain, type ChainFactory, type PromptChain,
} from './chain.ts';
export {chooseWeights} from './choose-weights.ts';
export {
	TargetViews, type TargetStatementReport, type TargetWork, type TargetSummary, type TargetView, type TargetViewsOptions,
} from './target-views.ts';
export {
	chooseTarget, type Candidate, type PlacementQuery, type PlacementTerms,
} from './choose-target.ts';
export {
	findEligible, type Eligibility, type EligibilityQuery, type Exclusion,
} from './eligibility.ts';
export {explainPlacement, type PlacementExplanation} from './explain.ts';
export {KeyRates, type KeyRatesOptions} from './key-rates.ts';
export {
	runWorkExchange, type WorkRegistry, type WorkExchangeDependencies, type WorkExchangeOptions,
} from './work-exchange.ts';
export {chooseHomes, type HomeOptions} from './rendezvous.ts';
export {
	classifyHead, type AnswerHead, type HeadVerdict, type HeadContext,
} from './classify-head.ts';
export {
	Placer, type Placement, type PlacementPolicy, type PlacementRequest, type PlacerDependencies,
} from './placer.ts';
