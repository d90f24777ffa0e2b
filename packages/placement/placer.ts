/**
 * Placement as the dispatcher sees it: a target for a request, what was assumed
 * when it was chosen, and what its answer says about those assumptions.
 */
import type {ChainMaker, PromptChain} from './chain.ts';
import {
	chooseTarget, getAffinityKey, type Candidate, type PlacementQuery,
} from './choose.ts';
import {explainPlacement, type PlacementExplanation} from './explain.ts';
import {classifyHead, type AnswerHead, type HeadVerdict} from './classify-head.ts';
import {KeyRates} from './key-rates.ts';
import type {TargetViews} from './views.ts';
import {pickWeights} from './weights.ts';
import type {Clock} from '#clock';
import type {Random, Target, TargetPool} from '#core';
import type {Telemetry} from '#telemetry';

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
	/** Instances that share the load, this one included. Default: 1. */
	countInstances?: () => number;
	telemetry?: Telemetry;
}>;

/** A request as far as placement is concerned. */
export type PlacementRequest = Readonly<{
	pool: TargetPool;
	/** Makes the prompt's chain for a weights version; absent for plain services. */
	makeChain?: ChainMaker;
	/** Names of targets that must not be chosen. */
	excluded: ReadonlySet<string>;
}>;

/** A chosen target with what the choice assumed. */
export type Placement = Readonly<{
	target: Target;
	pool: TargetPool;
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

/** Requests that a target can take of one prefix, in parts of its slots, before the prefix gets another replica. */
const replicaFill = 0.5;
const defaultHoldMs = 500;

/** Places requests on the targets of their pools. */
export class Placer {
	readonly #deps: PlacerDeps;
	readonly #choose: PlacementPolicy;
	readonly #rates = new KeyRates();
	/** Ends of the waits for the first frames of placements. */
	readonly #pending = new WeakMap<Placement, () => void>();

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
		const query = this.#makeQuery(request);
		const {chain, weights} = query;
		if (chain) {
			this.#rates.add(getAffinityKey(chain), this.#deps.clock.now());
		}

		const ranked = this.#choose(query);
		const best = ranked[0];
		return best && {
			target: best.target, pool: request.pool, chain, incarnation: this.#deps.views.get(best.target.name).incarnation,
			weights, cachedTokens: best.cachedTokens, importKeys: best.importKeys, hasAlternative: ranked.length > 1,
		};
	}

	/** Explains where a request would go, with every term of every candidate. */
	explain(request: PlacementRequest): PlacementExplanation {
		return explainPlacement(this.#makeQuery(request));
	}

	/**
	 * Counts an attempt as in progress.
	 *
	 * @returns a function that ends it
	 */
	begin(placement: Placement): () => void {
		const {views, clock} = this.#deps;
		const {name} = placement.target;
		const uncached = (placement.chain?.totalTokens ?? 0) - placement.cachedTokens;
		const endPending = views.addPending(name, uncached, clock.now());
		this.#pending.set(placement, endPending);
		views.addInFlight(name, 1);
		return () => {
			endPending();
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
		this.#pending.get(placement)?.();
		const verdict = classifyHead(placement, head, {known: views.get(name).incarnation, mayRepeat: options.mayRepeat});
		this.#deps.telemetry?.count('answer_heads_total', {pool: placement.pool.name, verdict});
		if (verdict === 'trust' && placement.chain) {
			if (head.cachedTokens < placement.cachedTokens) {
				views.markSuspect(name);
			}

			views.applyPrefill(name, head.incarnation, placement.chain.keys);
		}

		return verdict;
	}

	#makeQuery({pool, makeChain, excluded}: PlacementRequest): PlacementQuery {
		const {views, zone, clock, random} = this.#deps;
		const weights = pickWeights({pool, views, excluded});
		const chain = makeChain?.(weights ?? '');
		return {
			pool, views, weights, chain, excluded, zone, random, nowMs: clock.now(), replicas: chain && this.#countReplicas(pool, chain),
		};
	}

	/** Homes that a prefix needs at its rate over all instances. */
	#countReplicas(pool: TargetPool, chain: PromptChain): number {
		const {clock, countInstances} = this.#deps;
		const perSecond = this.#rates.get(getAffinityKey(chain), clock.now()) * (countInstances?.() ?? 1);
		const running = perSecond * defaultHoldMs / 1000;
		return Math.max(1, Math.min(pool.targets.length, Math.ceil(running / (pool.slots * replicaFill))));
	}
}
