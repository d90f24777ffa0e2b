/**
 * Carries a caller's request to a target and the answer back, byte for byte.
 * One task for each request: choose a target, send, read, pass on; where an
 * attempt fails, the retry table and the budget decide whether another one
 * follows.
 */
import {runAttempt, type AttemptDeps, type AttemptEnd} from './_attempt.ts';
import type {RelayCaller} from './caller.ts';
import {chooseRelayTarget, type NoTarget, type TargetChoice} from './choose-target.ts';
import {DeliveredAnswer} from './_delivered-answer.ts';
import type {WeightsBoard} from './named-weights.ts';
import {RelayProgress} from './_progress.ts';
import type {TargetSet} from './target-set.ts';
import {
	makeRefusal, type Random, type Refusal, type RelayPool, type RelayRequest, type RunState,
} from '#core';
import {
	causeRules, decideRetry, type AttemptCause, type RetryBudget,
} from '#dispatch';
import {makeRelayFingerprint, type Quarantine} from '#quarantine';
import type {Telemetry} from '#telemetry';

/** What a relay works with. */
export type RelayDeps = AttemptDeps & Readonly<{
	random: Random;
	telemetry: Telemetry;
	targets: TargetSet;
	budget: RetryBudget;
	quarantine: Quarantine;
	weights: WeightsBoard;
	/** Time after which no request may begin on older weights than were named, in milliseconds. */
	weightsMs: number;
	/** This instance's availability zone. */
	zone: string;
	/** Instances that share the targets' connections. */
	countInstances: () => number;
}>;

/** Time for which a target is passed over after an exchange with it was lost, in milliseconds: a crashed one is back after some seconds. */
const suspectMs = 2000;

/** Time for which callers wait for the first event, in promised times. */
const patienceFactor = 4;

/** Longest time after which a refused request should come back, in milliseconds. */
const mostReturnMs = 3000;

/** Time to come back after all targets refused, in milliseconds: a queue moves on in that time. */
const refusedReturnMs = 300;

/** What follows where no target can be chosen. Entries of targets are about a second late; connections are given back as answers end. */
const noTargetRules = {
	none_listed: {cause: 'none', returnMs: 1000},
	old_weights: {cause: 'none', returnMs: 1000},
	connections_used: {cause: 'full', returnMs: 300},
} as const satisfies Readonly<Record<NoTarget, Readonly<{cause: RelayProgress['cause']; returnMs: number}>>>;

/** Statuses by which an answer says that its request has not run and never will. */
const promiseStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** The least urgent priority of engines. */
const leastUrgency = 9;

const badGateway = 502;

/** What became of a request, for the log and the metrics. */
type RelayOutcome = Readonly<{
	kind: 'answered' | 'caller_left' | 'cut' | 'refused' | 'target_failed';
	/** Why the caller has no whole answer. */
	reason?: string;
	ran?: RunState;
	/** When a refused caller should come back, in milliseconds. */
	returnMs?: number | undefined;
}>;

/** Where a request goes, and its urgency there. */
type Plan = Readonly<{choice: TargetChoice; urgency: number}>;

/** Relays requests. */
export class Relay {
	readonly #deps: RelayDeps;
	#running = 0;

	constructor(deps: RelayDeps) {
		this.#deps = deps;
	}

	/** Requests in progress. */
	get running(): number {
		return this.#running;
	}

	/**
	 * Carries one request. The task of one caller's request.
	 *
	 * @param pool pool that serves it
	 */
	async run(request: RelayRequest, pool: RelayPool, caller: RelayCaller): Promise<void> {
		this.#running++;
		this.#deps.budget.recordAttempt(pool.name);
		const progress = new RelayProgress(request, pool);
		try {
			const answer = new DeliveredAnswer(request, caller, this.#deps.clock);
			this.#note(progress, answer, await this.#runAttempts(progress, answer, caller));
		} finally {
			this.#running--;
		}
	}

	async #runAttempts(progress: RelayProgress, answer: DeliveredAnswer, caller: RelayCaller): Promise<RelayOutcome> {
		const {clock, telemetry} = this.#deps;
		const {request} = progress;
		for (;;) {
			const plan = this.#plan(progress);
			if (!plan) {
				return this.#give(progress, answer, caller);
			}

			const {choice, urgency} = plan;

			const fromMs = clock.now();
			const end = await runAttempt(this.#deps, {
				request, pool: progress.pool, choice, urgency, caller, answer,
			});
			progress.noteAttempt(choice, fromMs, clock.now(), end);
			if (caller.hasLeft()) {
				return {kind: 'caller_left'};
			}

			if (!end) {
				this.#clearStrikes(progress);
				return {kind: 'answered'};
			}

			this.#suspect(choice, end.cause);
			if (end.cause === 'lost') {
				await this.#examineLoss(progress, choice);
			}

			if (!this.#mayRetry(progress, end.cause, answer.hasBegun)) {
				return this.#give(progress, answer, caller);
			}

			telemetry.count('retries_total', {reason: end.cause});
		}
	}

	#choose(progress: RelayProgress, urgency: number): TargetChoice | NoTarget {
		const {request, pool, excluded} = progress;
		const {
			targets, zone, clock, random, weights, weightsMs, placed, countInstances,
		} = this.#deps;
		const choice = chooseRelayTarget({
			targets: targets.listPool(pool.name), excluded, engine: pool.engine, prompt: request.prompt, cacheScope: request.cacheScope,
			urgency, named: request.prompt && weights.read(request.prompt.model), weightsMs, placed, zone,
			nowMs: clock.now(), random, mostConnections: Math.max(1, Math.floor(pool.maxConnections / countInstances())),
		});
		if (typeof choice === 'string') {
			progress.cause = progress.attempts.length === 0 ? noTargetRules[choice].cause : progress.cause;
			progress.returnMs = noTargetRules[choice].returnMs;
		}

		return choice;
	}

	/**
	 * Decides where a request goes next, and how urgent it is there. One that
	 * will be late goes behind those that need not be; one that its caller would
	 * not wait for is refused at once.
	 *
	 * @returns nothing where it is given up
	 */
	#plan(progress: RelayProgress): Plan | undefined {
		const {request} = progress;
		const urgency = readUrgency(request);
		const choice = this.#choose(progress, urgency);
		if (typeof choice === 'string' || this.#isQuarantined(progress)) {
			return undefined;
		}

		const {promisedMs} = request.route;
		if (!request.prompt || choice.queueMs <= promisedMs) {
			return {choice, urgency};
		}

		const behind = this.#choose(progress, leastUrgency);
		if (typeof behind === 'string') {
			return undefined;
		}

		const patienceMs = Math.min(promisedMs * patienceFactor, request.deadlineMs - this.#deps.clock.now());
		if (progress.sends === 0 && behind.queueMs > patienceMs) {
			progress.cause = 'overloaded';
			progress.returnMs = Math.min(mostReturnMs, behind.queueMs - promisedMs) * (0.75 + (this.#deps.random.next() / 2));
			return undefined;
		}

		return {choice: behind, urgency: leastUrgency};
	}

	/** A further send to a target draws on the pool's budget; one that reached none does not. */
	#mayRetry({request, pool, runs, sends}: RelayProgress, cause: AttemptCause, hasBegun: boolean): boolean {
		const {clock, budget, telemetry} = this.#deps;
		const {repetition, maxTargets} = request.route;
		if (runs >= maxTargets || decideRetry(cause, repetition !== 'once') === 'never' || clock.now() >= request.deadlineMs) {
			return false;
		}

		if (sends > 0 && !budget.take(pool.name, hasBegun)) {
			telemetry.count('retries_refused_total', {reason: 'budget'});
			return false;
		}

		return true;
	}

	/** Whether targets have crashed under this request too often. */
	#isQuarantined(progress: RelayProgress): boolean {
		const {quarantine} = this.#deps;
		if (quarantine.size === 0) {
			return false;
		}

		const refusalMs = quarantine.readRefusalMs(makeRelayFingerprint(progress.request));
		if (refusalMs > 0) {
			progress.cause = 'quarantined';
			progress.returnMs = refusalMs;
		}

		return refusalMs > 0;
	}

	/** Holds the request against itself where its target has crashed with it. */
	async #examineLoss({request, pool}: RelayProgress, {state: {target}}: TargetChoice): Promise<void> {
		const {probe, quarantine, telemetry} = this.#deps;
		if (!await probe(target, pool)) {
			const fingerprint = makeRelayFingerprint(request);
			quarantine.recordCrash(fingerprint, target.id, target.incarnation);
			telemetry.log('target crashed under a request', {
				id: request.id, target: target.id, fingerprint, strikes: quarantine.countStrikes(fingerprint),
			});
		}
	}

	#clearStrikes({request}: RelayProgress): void {
		const {quarantine} = this.#deps;
		if (quarantine.size > 0) {
			quarantine.recordCompletion(makeRelayFingerprint(request));
		}
	}

	#suspect({state}: TargetChoice, cause: AttemptCause): void {
		if (causeRules[cause].outcome === 'unknown' || causeRules[cause].outcome === 'notSent') {
			state.suspect(this.#deps.clock.now() + suspectMs);
		}
	}

	/** Ends a request that no attempt will answer. */
	#give(progress: RelayProgress, answer: DeliveredAnswer, caller: RelayCaller): RelayOutcome {
		if (answer.hasBegun) {
			caller.cut();
			return {kind: 'cut', reason: progress.cause};
		}

		if (answer.deliverFailure()) {
			return {kind: 'target_failed'};
		}

		if (progress.ran === 'not_run') {
			progress.returnMs ??= refusedReturnMs;
		}

		const refusal = makeTrueRefusal(progress);
		this.#deps.telemetry.count('refusals_total', {reason: refusal.reason, ran: refusal.ran});
		caller.refuse(refusal);
		return {
			kind: 'refused', reason: `${refusal.status} ${refusal.reason}`, ran: refusal.ran, returnMs: refusal.retryAfterMs,
		};
	}

	/** One line for each request: what became of it, and what each attempt on the way ended with. */
	#note({request, pool, attempts}: RelayProgress, {begunMs}: DeliveredAnswer, {kind, ...ending}: RelayOutcome): void {
		const {clock, telemetry} = this.#deps;
		const {route, arrivedMs} = request;
		const ms = clock.now() - arrivedMs;
		const labels = {route: route.name, outcome: kind};
		telemetry.observe('relay_ms', ms, {...labels, phase: 'whole'});
		if (begunMs !== undefined) {
			telemetry.observe('relay_ms', begunMs - arrivedMs, {...labels, phase: 'first_byte'});
		}

		if (attempts.length > 1) {
			telemetry.observe('relay_ms', attempts.at(-1)!.fromMs, {...labels, phase: 'failed_attempts'});
		}

		telemetry.log('request ended', {
			id: request.id, route: route.name, customer: request.customer?.name, pool: pool.name, configuration: request.configurationVersion,
			outcome: kind, ...ending, ms: Math.round(ms), leftMs: Math.round(request.deadlineMs - clock.now()), attempts,
		});
	}
}

/** The customer's priority goes before the route's; engines take 0 to 9. */
function readUrgency({customer, route}: RelayRequest): number {
	return Math.min(leastUrgency, Math.max(0, Math.floor(customer?.priority ?? route.priority)));
}

const giveReasons = {
	none: 'no_target', full: 'queue_full', overloaded: 'promise_unreachable', quarantined: 'crashes_targets',
} as const;

function isOwnCause(cause: RelayProgress['cause']): cause is keyof typeof giveReasons {
	return cause in giveReasons;
}

/** A refusal whose status promises no more than is known. */
function makeTrueRefusal({cause, ran, returnMs}: RelayProgress): Refusal {
	const reason = isOwnCause(cause) ? giveReasons[cause] : causeRules[cause].reason;
	const refusal = makeRefusal(reason, {ran, ...(returnMs === undefined ? {} : {retryAfterMs: returnMs})});
	return ran !== 'not_run' && promiseStatuses.has(refusal.status) ? {...refusal, status: badGateway} : refusal;
}
