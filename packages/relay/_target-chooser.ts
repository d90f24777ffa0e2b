/**
 * Chooses the next target of a request, and its urgency there, from what this
 * instance knows; if there is none, records why and when the caller should retry.
 */
import {admitRequest, measureEngineUse} from './admit-request.ts';
import type {CachedParts} from './cached-parts.ts';
import {
	chooseRelayTarget, computeSendDelayMs, type NoTarget, type TargetChoice, type TargetQuery,
} from './choose-target.ts';
import {KeepBudget} from './keep-budget.ts';
import {Overtaking} from './overtaking.ts';
import type {RelayProgress} from './_progress.ts';
import type {PublishedWeights} from './published-weights.ts';
import {StatedTimes} from './stated-times.ts';
import type {TargetSet} from './target-set.ts';
import type {TargetState} from './target-state.ts';
import {UrgencyScale} from './urgency.ts';
import type {Clock} from '#clock';
import type {Random, RelayConfiguration, RelayRequest} from '#core';
import type {Telemetry} from '#telemetry';

export type TargetChooserDependencies = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Pick<Telemetry, 'count'>;
	targets: TargetSet;
	cachedParts: CachedParts;
	/** Lists the stores that keep what engines read, as far as they answer. */
	listKvCacheStores: () => TargetQuery['kvCacheStores'];
	publishedWeights: PublishedWeights;
	/** Time for which requests may still start on stale weights, in milliseconds. */
	maxStaleWeightsMs: number;
	/** This instance's availability zone. */
	zone: string;
	/** Counts the instances that share the connections to the targets. */
	countInstances: () => number;
	getLimitSharing: TargetQuery['getLimitSharing'];
	/** Returns the configuration in force, whose priorities determine the urgency levels. */
	getConfiguration: () => Pick<RelayConfiguration, 'customers' | 'routes'> | undefined;
}>;

/** Time for which a caller is expected to wait for the first event, as a multiple of the promised time. */
const callerWaitFactor = 4;

/** The least urgent level that engines accept. */
const lowestUrgency = 9;

/** Maximum time after which the caller of a pool whose limits are reached is asked to retry, in milliseconds, before it is multiplied by a random factor. */
const maxRetryAfterMs = 3000;

/** Cause and retry time of a refusal if no target can be chosen, by reason. Entries of targets arrive about a second late; connections become free as answers finish. */
const noTargetRules = {
	none_listed: {cause: 'none', retryAfterMs: 1000},
	other_software: {cause: 'origin_gone', retryAfterMs: 1000},
	old_weights: {cause: 'none', retryAfterMs: 1000},
	unreachable: {cause: 'none', retryAfterMs: 500},
	connections_used: {cause: 'full', retryAfterMs: 300},
	limits_reached: {cause: 'limited', retryAfterMs: 1000},
} as const satisfies Readonly<Record<NoTarget, Readonly<{cause: RelayProgress['cause']; retryAfterMs: number}>>>;

/** The ids of the targets that an attempt may have reached, and the version of the last one's software if it is known. */
export type ReachedTargets = Readonly<{targets: readonly string[]; softwareVersion: string | undefined}>;

/** The target chosen for a request, the urgency of the request there, and the factor by which it waits longer because of more urgent requests that arrive later. */
export type ChoiceWithUrgency = Readonly<{choice: TargetChoice; urgency: number; overtakingFactor: number}>;

export class TargetChooser {
	readonly #dependencies: TargetChooserDependencies;
	readonly #keepBudget: KeepBudget;
	readonly #overtaking = new Overtaking();
	readonly #statedTimes = new StatedTimes();
	#scaleConfiguration: ReturnType<TargetChooserDependencies['getConfiguration']>;
	#scale = new UrgencyScale(undefined);
	/** Whether the configuration in force limits the work of any customer. */
	#isRationed = false;

	constructor(dependencies: TargetChooserDependencies) {
		this.#dependencies = dependencies;
		this.#keepBudget = new KeepBudget(dependencies);
	}

	/**
	 * Chooses the next target of a request and its urgency there. A prompt that has
	 * not reached a target yet is refused at once if it would wait there for too
	 * long; if slots are spare, it goes behind those that will be in time.
	 *
	 * @returns `undefined` if no further target should be tried; the reason is recorded in `progress`
	 */
	choose(progress: RelayProgress): ChoiceWithUrgency | undefined {
		const {clock, random, targets, telemetry} = this.#dependencies;
		const {request, pool: {name, engine}, sentAttempts} = progress;
		const {customer, route, prompt} = request;
		const nowMs = clock.now();
		const scale = this.#getScale();
		if (!this.#isRationed) {
			return this.#chooseUnrationed(progress);
		}

		const regular = this.#chooseWithUrgency(progress, scale.get(customer, route));
		if (!regular || !prompt || !engine || sentAttempts > 0) {
			return regular && this.#record(regular, request);
		}

		let late: ChoiceWithUrgency | undefined;
		const remainingMs = request.deadlineMs - nowMs;
		const decision = admitRequest({
			queueMs: regular.choice.queueMs, overtakingFactor: regular.overtakingFactor, promisedMs: route.promisedMs,
			elapsedMs: this.#statedTimes.estimateElapsedMs(route.name, remainingMs, nowMs), remainingMs, random,
			estimateLateQueueMs: () => {
				late = this.#chooseWithUrgency(progress, scale.getLate(customer, route));
				return late ? getQueueMs(late) : Infinity;
			},
			measureUse: () => measureEngineUse(targets.listPool(name), engine, nowMs),
		});
		telemetry.count('prompt_admissions_total', {route: route.name, decision: decision.kind});
		if (decision.kind === 'refused') {
			progress.cause = 'overloaded';
			progress.retryAfterMs = decision.retryAfterMs;
			return undefined;
		}

		return this.#record(decision.isLate ? late ?? regular : regular, request);
	}

	/** Whether a request that is in progress on some targets could move to another one, which is not known to be silent, to load weights or to refuse. */
	canMove(progress: RelayProgress, {targets, softwareVersion}: ReachedTargets): boolean {
		const scale = this.#getScale();
		const {customer, route} = progress.request;
		const query = this.#createQuery(progress, this.#isRationed ? scale.get(customer, route) : getPlainUrgency(progress.request));
		const choice = chooseRelayTarget({
			...query, excluded: new Set([...query.excluded, ...targets]), softwareVersion: query.softwareVersion ?? softwareVersion,
		});
		if (typeof choice === 'string') {
			return false;
		}

		const {suspectUntilMs, loadingUntilMs, statements} = choice.state;
		return Math.max(suspectUntilMs, loadingUntilMs) <= query.nowMs && statements.computeAvoidanceMs(query.nowMs) === 0;
	}

	/**
	 * Chooses the next target of a request where no customer's work is limited. A
	 * request that will miss its promised time gets the lowest urgency, so that it
	 * does not delay those that can still meet theirs. A request that has not reached
	 * a target yet is refused at once if its caller would not wait for it.
	 */
	#chooseUnrationed(progress: RelayProgress): ChoiceWithUrgency | undefined {
		const {request} = progress;
		const urgency = getPlainUrgency(request);
		const choice = this.#chooseAt(progress, urgency);
		if (typeof choice === 'string') {
			return undefined;
		}

		const {promisedMs} = request.route;
		if (!request.prompt || choice.queueMs <= promisedMs) {
			return {choice: this.#limitKeeping(choice, request), urgency, overtakingFactor: 1};
		}

		const lowestChoice = this.#chooseAt(progress, lowestUrgency);
		if (typeof lowestChoice === 'string') {
			return undefined;
		}

		const callerWaitMs = Math.min(promisedMs * callerWaitFactor, request.deadlineMs - this.#dependencies.clock.now());
		if (progress.sentAttempts === 0 && lowestChoice.queueMs > callerWaitMs) {
			progress.cause = 'overloaded';
			// A random factor from 0.75 to 1.25 spreads the retries of several callers.
			progress.retryAfterMs = Math.min(maxRetryAfterMs, lowestChoice.queueMs - promisedMs) * (0.75 + (this.#dependencies.random.next() / 2));
			return undefined;
		}

		return {choice: this.#limitKeeping(lowestChoice, request), urgency: lowestUrgency, overtakingFactor: 1};
	}

	/** Chooses the next target at an urgency, if there is one. */
	#chooseWithUrgency(progress: RelayProgress, urgency: number): ChoiceWithUrgency | undefined {
		const {targets, countInstances, clock} = this.#dependencies;
		const choice = this.#chooseAt(progress, urgency);
		if (typeof choice === 'string') {
			return undefined;
		}

		let tokensPerMs = 0;
		for (const {speed} of targets.listPool(progress.pool.name)) {
			tokensPerMs += 1 / speed.getMsPerToken(clock.now());
		}

		return {choice, urgency, overtakingFactor: this.#overtaking.getFactor(urgency, tokensPerMs / countInstances(), clock.now())};
	}

	/** Records a choice that is carried out, and limits what a store is given. */
	#record(chosen: ChoiceWithUrgency, request: RelayRequest): ChoiceWithUrgency {
		this.#overtaking.record(chosen.urgency, chosen.choice.unreadTokens, this.#dependencies.clock.now());
		return {...chosen, choice: this.#limitKeeping(chosen.choice, request)};
	}

	/** Returns the urgency levels by the priorities of the configuration in force. */
	#getScale(): UrgencyScale {
		const configuration = this.#dependencies.getConfiguration();
		if (configuration !== this.#scaleConfiguration) {
			this.#scaleConfiguration = configuration;
			this.#scale = new UrgencyScale(configuration);
			this.#isRationed = [...configuration?.customers?.values() ?? []].some(({limit}) => limit !== undefined);
		}

		return this.#scale;
	}

	/** Lets the store keep the prompt only if the budget allows it. */
	#limitKeeping(choice: TargetChoice, {prompt}: RelayRequest): TargetChoice {
		const {keeper} = choice;
		return keeper && !this.#keepBudget.acquire(keeper, prompt?.inputTokens ?? 0) ? {...choice, keeper: undefined} : choice;
	}

	#createQuery({request, pool, excluded, softwareVersion}: RelayProgress, urgency: number): TargetQuery {
		const {
			targets, zone, clock, random, publishedWeights, maxStaleWeightsMs, cachedParts, listKvCacheStores, countInstances, getLimitSharing,
		} = this.#dependencies;
		return {
			targets: targets.listPool(pool.name), getLimitSharing, excluded, softwareVersion, engine: pool.engine, prompt: request.prompt, cacheScope: request.cacheScope,
			urgency, isRationed: this.#isRationed, publishedVersions: request.prompt && publishedWeights.get(request.prompt.model),
			maxStaleWeightsMs, cachedParts, kvCacheStores: listKvCacheStores(), zone,
			nowMs: clock.now(), random, maxConnections: Math.max(1, Math.floor(pool.maxConnections / countInstances())),
		};
	}

	/** Chooses the next target of a request at an urgency; if there is none, records the retry time in `progress`, and the cause unless an attempt has failed before. */
	#chooseAt(progress: RelayProgress, urgency: number): TargetChoice | NoTarget {
		const query = this.#createQuery(progress, urgency);
		const {targets: poolTargets, nowMs} = query;
		const choice = chooseRelayTarget(query);
		if (typeof choice === 'string') {
			progress.cause = progress.attempts.length === 0 ? noTargetRules[choice].cause : progress.cause;
			progress.sharedTargets = choice === 'limits_reached' ? poolTargets.filter(({isLeaving, statements}) => !isLeaving && !statements.isResting(nowMs)).map(({target}) => target.id) : [];
			progress.retryAfterMs = choice === 'limits_reached' ? this.#computeWelcomeMs(poolTargets) : noTargetRules[choice].retryAfterMs;
		}

		return choice;
	}

	/** Computes the time until one of a pool's targets may take a request of this instance again, by what they state, in milliseconds. A random factor spreads the retries of several callers. */
	#computeWelcomeMs(targets: readonly TargetState[]): number {
		const {clock, random, getLimitSharing} = this.#dependencies;
		const delaysMs = targets.filter(({isLeaving}) => !isLeaving).map(state => computeSendDelayMs({getLimitSharing, nowMs: clock.now()}, state))
			.filter(delayMs => delayMs > 0 && Number.isFinite(delayMs));
		const firstMs = delaysMs.length > 0 ? Math.min(...delaysMs) : noTargetRules.limits_reached.retryAfterMs;
		return Math.min(maxRetryAfterMs, firstMs) * (1 + (random.next() / 4));
	}
}

/** Returns the expected wait of a request at its target, in milliseconds. */
function getQueueMs({choice, overtakingFactor}: ChoiceWithUrgency): number {
	return choice.queueMs * overtakingFactor;
}

/** Returns the customer's priority, or else the route's, within the range that engines accept. */
function getPlainUrgency({customer, route}: RelayRequest): number {
	return Math.min(lowestUrgency, Math.max(0, Math.floor(customer?.priority ?? route.priority)));
}
