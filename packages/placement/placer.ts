/**
 * Placement as the dispatcher sees it: a target for a request, what was assumed
 * when it was chosen, and what its answer says about those assumptions.
 */
import type {PromptChain} from './chain.ts';
import {chooseTarget, type Candidate, type PlacementQuery} from './choose.ts';
import {judgeHead, type AnswerHead, type HeadVerdict} from './judge-head.ts';
import type {TargetViews} from './views.ts';
import type {Clock} from '#clock';
import type {Random, Target, TargetPool} from '#core';

/** Ranks the eligible targets of a query, best first. */
export type PlacementPolicy = (query: PlacementQuery) => readonly Candidate[];

/** What a placer works with. */
export type PlacerDeps = Readonly<{
	views: TargetViews;
	clock: Clock;
	random: Random;
	/** This instance's availability zone. */
	zone: string;
	/** Default: {@link chooseTarget}. */
	choose?: PlacementPolicy;
}>;

/** A request as far as placement is concerned. */
export type PlacementRequest = Readonly<{
	pool: TargetPool;
	/** Absent for plain services. */
	chain?: PromptChain;
	/** Names of targets that must not be chosen. */
	excluded: ReadonlySet<string>;
}>;

/** A chosen target with what the choice assumed. */
export type Placement = Readonly<{
	target: Target;
	chain?: PromptChain;
	/** Incarnation that the target was known by; empty when it was not known. */
	incarnation: string;
	/** Weights version that the answer must state. */
	weights?: string;
	/** Tokens of the prompt that were believed to be cached. */
	cachedTokens: number;
	/** Piece keys to import from the kept store. */
	importKeys: readonly string[];
	/** Whether another target could have been chosen. */
	hasAlternative: boolean;
}>;

/** Places requests on the targets of their pools. */
export class Placer {
	readonly #deps: PlacerDeps;
	readonly #choose: PlacementPolicy;

	constructor(deps: PlacerDeps) {
		this.#deps = deps;
		this.#choose = deps.choose ?? chooseTarget;
	}

	/**
	 * Chooses a target.
	 *
	 * @returns nothing when no target may be chosen
	 */
	place(request: PlacementRequest): Placement | undefined {
		const ranked = this.rank(request);
		const best = ranked[0];
		return best && {
			target: best.target, chain: request.chain, incarnation: this.#deps.views.get(best.target.name).incarnation,
			weights: request.pool.weights, cachedTokens: best.cachedTokens, importKeys: best.importKeys, hasAlternative: ranked.length > 1,
		};
	}

	/** Ranks all eligible targets with every term of their rank. */
	rank({pool, chain, excluded}: PlacementRequest): readonly Candidate[] {
		const {views, zone, clock, random} = this.#deps;
		return this.#choose({
			pool, views, chain, excluded, zone, random, nowMs: clock.now(),
		});
	}

	/**
	 * Counts an attempt as in progress.
	 *
	 * @returns a function that ends it
	 */
	begin(placement: Placement): () => void {
		const {views} = this.#deps;
		const {name} = placement.target;
		views.addInFlight(name, 1);
		return () => {
			views.addInFlight(name, -1);
		};
	}

	/**
	 * Takes in the head of an answer: decides what it is good for, and records
	 * what it says of the target's cache where it can be trusted.
	 */
	takeHead(placement: Placement, head: AnswerHead, options: Readonly<{mayRepeat: boolean}>): HeadVerdict {
		const {views} = this.#deps;
		const {name} = placement.target;
		const verdict = judgeHead(placement, head, {known: views.get(name).incarnation, mayRepeat: options.mayRepeat});
		if (verdict === 'trust' && placement.chain) {
			views.applyPrefill(name, head.incarnation, placement.chain.keys);
		}

		return verdict;
	}
}
