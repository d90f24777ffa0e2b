/**
 * The dispatcher's interface to placement: chooses a target for a request, states
 * the assumptions behind the choice, and checks them against the head of the answer.
 */
import type {ChainFactory, PromptChain} from './chain.ts';
import {
	chooseTarget, getAffinityKey, type Candidate, type PlacementQuery,
} from './choose-target.ts';
import {explainPlacement, type PlacementExplanation} from './explain.ts';
import {classifyHead, type AnswerHead, type HeadVerdict} from './classify-head.ts';
import {KeyRates} from './key-rates.ts';
import type {TargetViews} from './target-views.ts';
import {chooseWeights} from './choose-weights.ts';
import type {Clock} from '#clock';
import type {Random, Target, TargetPool} from '#core';
import type {Telemetry} from '#telemetry';

/** Ranks the eligible targets of a query, best first. */
export type PlacementPolicy = (query: PlacementQuery) => readonly Candidate[];

/** Dependencies of a {@link Placer}. */
export type PlacerDependencies = Readonly<{
	views: TargetViews;
	clock: Clock;
	random: Random;
	/** This instance's availability zone. */
	zone: string;
	/** Default: {@link chooseTarget}. */
	choose?: PlacementPolicy;
	/** Counts the instances that share the load, including this one. Default: 1. */
	countInstances?: () => number;
	telemetry?: Telemetry;
}>;

/** The parts of a request that its placement depends on. */
export type PlacementRequest = Readonly<{
	pool: TargetPool;
	/** Returns the chain of the prompt for a weights version; absent for plain services. */
	createChain?: ChainFactory;
	/** Names of targets that must not be chosen. */
	excluded: ReadonlySet<string>;
}>;

/** A chosen target with the assumptions behind the choice. */
export type Placement = Readonly<{
	target: Target;
	pool: TargetPool;
	chain?: PromptChain;
	/** Incarnation of the target at the time of the choice; empty if unknown. */
	incarnation: string;
	/** Weights version that the answer must come from. */
	weights?: string;
	/** Tokens of the prompt that were believed to be cached on the target. */
	cachedTokens: number;
	/** Piece keys that the target imports from the KV cache store. */
	importKeys: readonly string[];
	/** Whether another target could have been chosen. */
	hasAlternative: boolean;
}>;

/** Fraction of a target's slots that requests with one prefix may fill before the prefix gets another home. */
const maxHomeFillRatio = 0.5;
/** Assumed time for which a request occupies a slot. */
const assumedRequestMs = 500;

/** Places requests on the targets of their pools. */
export class Placer {
	readonly #dependencies: PlacerDependencies;
	readonly #choose: PlacementPolicy;
	readonly #rates = new KeyRates();
	/** For each placement, the function that removes its pending tokens once its answer begins. */
	readonly #pendingRemovers = new WeakMap<Placement, () => void>();

	constructor(dependencies: PlacerDependencies) {
		this.#dependencies = dependencies;
		this.#choose = dependencies.choose ?? chooseTarget;
	}

	/**
	 * Chooses a target.
	 *
	 * @returns `undefined` if no target may be chosen
	 */
	place(request: PlacementRequest): Placement | undefined {
		const query = this.#createQuery(request);
		const {chain, weights} = query;
		if (chain) {
			this.#rates.add(getAffinityKey(chain), this.#dependencies.clock.now());
		}

		const ranked = this.#choose(query);
		const best = ranked[0];
		return best && {
			target: best.target, pool: request.pool, chain, incarnation: this.#dependencies.views.get(best.target.name).incarnation,
			weights, cachedTokens: best.cachedTokens, importKeys: best.importKeys, hasAlternative: ranked.length > 1,
		};
	}

	/** Explains where a request would go, with all terms of all candidates. */
	explain(request: PlacementRequest): PlacementExplanation {
		return explainPlacement(this.#createQuery(request));
	}

	/**
	 * Records that an attempt is in progress.
	 *
	 * @returns a function that records its end
	 */
	startAttempt(placement: Placement): () => void {
		const {views, clock} = this.#dependencies;
		const {name} = placement.target;
		const uncachedTokens = (placement.chain?.totalTokens ?? 0) - placement.cachedTokens;
		const removePendingTokens = views.addPendingTokens(name, uncachedTokens, clock.now());
		this.#pendingRemovers.set(placement, removePendingTokens);
		views.addInFlight(name, 1);
		return () => {
			removePendingTokens();
			views.addInFlight(name, -1);
		};
	}

	/**
	 * Handles the head of an answer: classifies it, and updates the target's
	 * cached keys from it if the head can be trusted. If the target had fewer tokens
	 * cached than assumed, all present entries of the target become suspect.
	 */
	handleHead(placement: Placement, head: AnswerHead, options: Readonly<{canRepeat: boolean}>): HeadVerdict {
		const {views} = this.#dependencies;
		const {name} = placement.target;
		this.#pendingRemovers.get(placement)?.();
		const verdict = classifyHead(placement, head, {currentIncarnation: views.get(name).incarnation, canRepeat: options.canRepeat});
		this.#dependencies.telemetry?.count('answer_heads_total', {pool: placement.pool.name, verdict});
		if (verdict === 'trust' && placement.chain) {
			if (head.cachedTokens < placement.cachedTokens) {
				views.markSuspect(name);
			}

			views.applyPrefill(name, head.incarnation, placement.chain.keys);
		}

		return verdict;
	}

	#createQuery({pool, createChain, excluded}: PlacementRequest): PlacementQuery {
		const {views, zone, clock, random} = this.#dependencies;
		const weights = chooseWeights({pool, views, excluded});
		const chain = createChain?.(weights ?? '');
		return {
			pool, views, weights, chain, excluded, zone, random, nowMs: clock.now(), homeCount: chain && this.#countHomes(pool, chain),
		};
	}

	/** Counts the homes that a prefix needs, from its request rate over all instances. */
	#countHomes(pool: TargetPool, chain: PromptChain): number {
		const {clock, countInstances} = this.#dependencies;
		const requestsPerSecond = this.#rates.get(getAffinityKey(chain), clock.now()) * (countInstances?.() ?? 1);
		const runningRequests = requestsPerSecond * assumedRequestMs / 1000;
		return Math.max(1, Math.min(pool.targets.length, Math.ceil(runningRequests / (pool.slots * maxHomeFillRatio))));
	}
}
