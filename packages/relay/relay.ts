/**
 * Relays a caller's request to a target and the answer back, byte for byte.
 * One task per request chooses a target, sends the request, and forwards the
 * answer. After a failed attempt, the retry table (`causeRules` in `#dispatch`)
 * and the retry budget decide whether another attempt follows.
 */
import {AnswerDelivery} from './_answer-delivery.ts';
import {runAttempt, type AttemptDependencies} from './_attempt.ts';
import type {RelayCaller} from './caller.ts';
import {
	chooseRelayTarget, computeLimitDelayMs, type NoTarget, type TargetChoice, type TargetQuery,
} from './choose-target.ts';
import type {PublishedWeights} from './published-weights.ts';
import {RelayProgress} from './_progress.ts';
import {QuarantineGuard, type QuarantineGuardDependencies} from './_quarantine-guard.ts';
import type {TargetSet} from './target-set.ts';
import type {TargetState} from './target-state.ts';
import {
	createRefusal, type Random, type Refusal, type RelayPool, type RelayRequest, type RunState,
} from '#core';
import {
	causeRules, decideRetry, type AttemptCause, type RetryBudget,
} from '#dispatch';
import type {Telemetry} from '#telemetry';

export type RelayDependencies = AttemptDependencies & QuarantineGuardDependencies & Readonly<{
	random: Random;
	telemetry: Telemetry;
	targets: TargetSet;
	budget: RetryBudget;
	publishedWeights: PublishedWeights;
	/** Time for which requests may still start on stale weights, in milliseconds. */
	maxStaleWeightsMs: number;
	/** This instance's availability zone. */
	zone: string;
	/** Counts the instances that share the connections to the targets. */
	countInstances: () => number;
	getLimitSharing: TargetQuery['getLimitSharing'];
}>;

/** Time for which a target is avoided after an exchange with it was lost, in milliseconds: a crashed target is back after a few seconds. */
const suspectMs = 2000;

/** Time for which a caller is expected to wait for the first event, as a multiple of the promised time. */
const callerWaitFactor = 4;

/** Maximum time after which the caller of an overloaded pool is asked to retry, in milliseconds, before it is multiplied by a random factor. */
const maxRetryAfterMs = 3000;

/** Time after which a caller should retry if all targets refused, in milliseconds: queues advance in that time. */
const refusedRetryAfterMs = 300;

/** Cause and retry time of a refusal if no target can be chosen, by reason. Entries of targets arrive about a second late; connections become free as answers finish. */
const noTargetRules = {
	none_listed: {cause: 'none', retryAfterMs: 1000},
	other_software: {cause: 'origin_gone', retryAfterMs: 1000},
	old_weights: {cause: 'none', retryAfterMs: 1000},
	connections_used: {cause: 'full', retryAfterMs: 300},
	limits_reached: {cause: 'limited', retryAfterMs: 1000},
} as const satisfies Readonly<Record<NoTarget, Readonly<{cause: RelayProgress['cause']; retryAfterMs: number}>>>;

/** Statuses by which a caller knows that its request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** The least urgent priority that engines accept. */
const lowestUrgency = 9;

const badGateway = 502;

/** Outcome of a request, for the log and the metrics. */
type RelayOutcome = Readonly<{
	kind: 'answered' | 'caller_left' | 'cut' | 'refused' | 'target_failed';
	/** Why the caller has no complete answer. */
	reason?: string;
	ran?: RunState;
	/** Time after which a refused caller should retry, in milliseconds. */
	returnMs?: number | undefined;
}>;

/** The target chosen for a request, and the urgency of the request there. */
type ChoiceWithUrgency = Readonly<{choice: TargetChoice; urgency: number}>;

export class Relay {
	readonly #dependencies: RelayDependencies;
	readonly #guard: QuarantineGuard;
	#running = 0;

	constructor(dependencies: RelayDependencies) {
		this.#dependencies = dependencies;
		this.#guard = new QuarantineGuard(dependencies);
	}

	/** Number of requests in progress. */
	get running(): number {
		return this.#running;
	}

	/**
	 * Relays one request; runs until the caller has its answer, is refused or has left.
	 *
	 * @param pool pool that serves the request
	 */
	async run(request: RelayRequest, pool: RelayPool, caller: RelayCaller): Promise<void> {
		this.#running++;
		this.#dependencies.budget.recordFirstAttempt(pool.name);
		const progress = new RelayProgress(request, pool);
		try {
			const delivery = new AnswerDelivery(request, caller, this.#dependencies.clock);
			this.#recordOutcome(progress, delivery, await this.#runAttempts(progress, delivery, caller));
		} finally {
			this.#running--;
		}
	}

	async #runAttempts(progress: RelayProgress, delivery: AnswerDelivery, caller: RelayCaller): Promise<RelayOutcome> {
		const {clock, telemetry} = this.#dependencies;
		const {request} = progress;
		for (;;) {
			const release = this.#guard.admit(progress);
			const chosen = release && this.#chooseWithUrgency(progress);
			if (!chosen) {
				release?.();
				return this.#finishUnanswered(progress, delivery, caller);
			}

			const {choice, urgency} = chosen;
			const {softwareVersion} = choice.state.target;
			const startMs = clock.now();
			const result = await runAttempt(this.#dependencies, {
				request, pool: progress.pool, choice, urgency, caller, delivery,
			});
			const {failure} = result;
			progress.recordAttempt(choice, startMs, clock.now(), result);
			progress.softwareVersion ??= delivery.hasStarted ? softwareVersion : undefined;
			if (result.body) {
				telemetry.count('answer_bodies_total', {framing: result.body.framing, end: result.body.end});
			}

			if (caller.hasLeft()) {
				release();
				return {kind: 'caller_left'};
			}

			if (failure) {
				this.#suspect(choice, failure.cause);
			}

			await this.#guard.recordResult(progress, choice, result);
			release();
			if (!failure) {
				return {kind: 'answered'};
			}

			if (!this.#canRetry(progress, failure.cause, delivery)) {
				return this.#finishUnanswered(progress, delivery, caller);
			}

			telemetry.count('retries_total', {reason: failure.cause});
		}
	}

	/** Chooses the next target of a request; if there is none, records the retry time in `progress`, and the cause unless an attempt has failed before. */
	#choose(progress: RelayProgress, urgency: number): TargetChoice | NoTarget {
		const {
			request, pool, excluded, softwareVersion,
		} = progress;
		const {
			targets, zone, clock, random, publishedWeights, maxStaleWeightsMs, cachedParts, countInstances, getLimitSharing,
		} = this.#dependencies;
		const poolTargets = targets.listPool(pool.name);
		const nowMs = clock.now();
		const choice = chooseRelayTarget({
			targets: poolTargets, getLimitSharing, excluded, softwareVersion, engine: pool.engine, prompt: request.prompt, cacheScope: request.cacheScope,
			urgency, publishedVersions: request.prompt && publishedWeights.get(request.prompt.model), maxStaleWeightsMs, cachedParts, zone,
			nowMs, random, maxConnections: Math.max(1, Math.floor(pool.maxConnections / countInstances())),
		});
		if (typeof choice === 'string') {
			progress.cause = progress.attempts.length === 0 ? noTargetRules[choice].cause : progress.cause;
			progress.retryAfterMs = choice === 'limits_reached' ? this.#computeLimitRetryMs(poolTargets) : noTargetRules[choice].retryAfterMs;
		}

		return choice;
	}

	/** Computes the time until this instance may send a request to one of a pool's targets, all of which have stated limits, in milliseconds. */
	#computeLimitRetryMs(targets: readonly TargetState[]): number {
		const {clock, getLimitSharing} = this.#dependencies;
		const delaysMs = targets.map(state => computeLimitDelayMs({getLimitSharing, nowMs: clock.now()}, state)).filter(delayMs => delayMs > 0);
		return Math.min(noTargetRules.limits_reached.retryAfterMs, ...delaysMs);
	}

	/**
	 * Chooses the next target of a request and its urgency there. A request that
	 * will miss its promised time gets the lowest urgency, so that it does not
	 * delay those that can still meet theirs. A request that has not reached a
	 * target yet is refused at once if its caller would not wait for it.
	 *
	 * @returns `undefined` if no further target should be tried; the reason is recorded in `progress`
	 */
	#chooseWithUrgency(progress: RelayProgress): ChoiceWithUrgency | undefined {
		const {request} = progress;
		const urgency = getUrgency(request);
		const choice = this.#choose(progress, urgency);
		if (typeof choice === 'string') {
			return undefined;
		}

		const {promisedMs} = request.route;
		if (!request.prompt || choice.queueMs <= promisedMs) {
			return {choice, urgency};
		}

		const lowestChoice = this.#choose(progress, lowestUrgency);
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

		return {choice: lowestChoice, urgency: lowestUrgency};
	}

	/** Whether another attempt may follow. Such an attempt is charged to the pool's retry budget, unless no earlier attempt reached a target. */
	#canRetry({request, pool, possibleRuns, sentAttempts}: RelayProgress, cause: AttemptCause, {hasStarted, canContinue}: AnswerDelivery): boolean {
		const {clock, budget, telemetry} = this.#dependencies;
		const {retryPolicy, maxTargets} = request.route;
		if (possibleRuns >= maxTargets || decideRetry(cause, retryPolicy !== 'once') === 'never' || clock.now() >= request.deadlineMs) {
			return false;
		}

		if (!canContinue) {
			telemetry.count('retries_refused_total', {reason: 'started'});
			return false;
		}

		if (sentAttempts > 0 && !budget.acquire(pool.name, hasStarted)) {
			telemetry.count('retries_refused_total', {reason: 'budget'});
			return false;
		}

		return true;
	}

	/** Avoids the target for a while if the request could not be sent or if it is unknown whether the request has run. */
	#suspect({state}: TargetChoice, cause: AttemptCause): void {
		if (causeRules[cause].outcome === 'unknown' || causeRules[cause].outcome === 'notSent') {
			state.suspect(this.#dependencies.clock.now() + suspectMs);
		}
	}

	/** Finishes a request without a complete answer: aborts an answer that has started, else delivers a stored error answer, else refuses the request. */
	#finishUnanswered(progress: RelayProgress, delivery: AnswerDelivery, caller: RelayCaller): RelayOutcome {
		if (delivery.hasStarted) {
			caller.abort();
			return {kind: 'cut', reason: progress.cause};
		}

		if (delivery.deliverErrorAnswer()) {
			return {kind: 'target_failed'};
		}

		if (progress.runState === 'not_run') {
			progress.retryAfterMs ??= refusedRetryAfterMs;
		}

		const refusal = createRelayRefusal(progress);
		this.#dependencies.telemetry.count('refusals_total', {reason: refusal.reason, ran: refusal.ran});
		caller.refuse(refusal);
		return {
			kind: 'refused', reason: `${refusal.status} ${refusal.reason}`, ran: refusal.ran, returnMs: refusal.retryAfterMs,
		};
	}

	/** Records the metrics of a finished request, and logs one line with its outcome and all its attempts. */
	#recordOutcome({request, pool, attempts, quarantinedPart}: RelayProgress, {headSentMs}: AnswerDelivery, {kind, ...details}: RelayOutcome): void {
		const {clock, telemetry} = this.#dependencies;
		const {route, arrivedMs} = request;
		const ms = clock.now() - arrivedMs;
		const labels = {route: route.name, outcome: kind};
		telemetry.observe('relay_ms', ms, {...labels, phase: 'whole'});
		if (headSentMs !== undefined) {
			telemetry.observe('relay_ms', headSentMs - arrivedMs, {...labels, phase: 'first_byte'});
		}

		if (attempts.length > 1) {
			telemetry.observe('relay_ms', attempts.at(-1)!.fromMs, {...labels, phase: 'failed_attempts'});
		}

		telemetry.log('request ended', {
			id: request.id, route: route.name, customer: request.customer?.name, pool: pool.name, configuration: request.configurationVersion,
			...(request.lastEventId !== undefined && {lastEventId: request.lastEventId, resumes: request.resumedRequestId}),
			outcome: kind, ...details, ...(quarantinedPart !== undefined && {quarantinedPart}), ms: Math.round(ms), leftMs: Math.round(request.deadlineMs - clock.now()), attempts,
		});
	}
}

/** Returns the customer's priority, or else the route's, within the range 0 to 9 that engines accept. */
function getUrgency({customer, route}: RelayRequest): number {
	return Math.min(lowestUrgency, Math.max(0, Math.floor(customer?.priority ?? route.priority)));
}

/** Refusal reasons by cause, for requests that the router itself refuses. */
const routerCauseReasons = {
	none: 'no_target', origin_gone: 'stream_origin_gone', full: 'queue_full', overloaded: 'promise_unreachable', limited: 'target_limited', quarantined: 'crashes_targets',
} as const;

function isRouterCause(cause: RelayProgress['cause']): cause is keyof typeof routerCauseReasons {
	return cause in routerCauseReasons;
}

/** Creates a refusal. A request that may have run is not refused with a status that says it has not run. */
function createRelayRefusal({cause, runState, retryAfterMs}: RelayProgress): Refusal {
	const reason = isRouterCause(cause) ? routerCauseReasons[cause] : causeRules[cause].reason;
	const refusal = createRefusal(reason, {ran: runState, ...(retryAfterMs === undefined ? {} : {retryAfterMs})});
	return runState !== 'not_run' && notRunStatuses.has(refusal.status) ? {...refusal, status: badGateway} : refusal;
}
