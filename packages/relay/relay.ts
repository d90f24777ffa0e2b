/**
 * Relays a caller's request to a target and the answer back, byte for byte.
 * One task per request chooses a target, sends the request, and forwards the
 * answer. After a failed attempt, the retry table (`causeRules` in `#dispatch`)
 * and the retry budget decide whether another attempt follows.
 */
import {AnswerDelivery} from './_answer-delivery.ts';
import {runAttempt, type AttemptDependencies} from './_attempt.ts';
import type {RelayCaller} from './caller.ts';
import type {TargetChoice} from './choose-target.ts';
import {runPeerAttempt, type PeerAttemptDependencies, type PeerAttemptResult} from './_peer-attempt.ts';
import {RelayProgress} from './_progress.ts';
import {QuarantineGuard, type QuarantineGuardDependencies} from './_quarantine-guard.ts';
import {createRelayRefusal} from './_relay-refusal.ts';
import type {TargetReach} from './target-reach.ts';
import {TargetChooser, type ReachedTargets, type TargetChooserDependencies} from './_target-chooser.ts';
import type {RelayPool, RelayRequest, RunState} from '#core';
import {
	causeRules, decideRetry, type AttemptCause, type RetryBudget,
} from '#dispatch';
import type {Peer} from '#peer-protocol';
import {recordEscapedError, type Telemetry} from '#telemetry';

export type RelayDependencies = AttemptDependencies & PeerAttemptDependencies & QuarantineGuardDependencies & TargetChooserDependencies & Readonly<{
	telemetry: Telemetry;
	targetReach: TargetReach;
	/** Lists the incarnations of the instances that rank first for what a target takes. */
	listSharers: (target: string) => readonly string[];
	budget: RetryBudget;
}>;

/** Time that work takes on a target, as a multiple of that at its lasting speed, from which an attempt there counts as one on a slow target. */
const slowFactor = 1.5;

/** Time for which a target is avoided after an exchange with it was lost, in milliseconds: a crashed target is back after a few seconds. */
const suspectMs = 2000;

/** Time after which a caller should retry if all targets refused, in milliseconds: queues advance in that time. */
const refusedRetryAfterMs = 300;

/** Time that all attempts of a request may take that could not send it, in milliseconds. */
const maxUnsentMs = 600;

/** Maximum number of peers that are tried for a request. */
const maxTriedPeers = 2;

/** Outcome of a request, for the log and the metrics. */
type RelayOutcome = Readonly<{
	kind: 'answered' | 'caller_left' | 'cut' | 'refused' | 'target_failed';
	/** Why the caller has no complete answer. */
	reason?: string;
	ran?: RunState;
	/** Time after which a refused caller should retry, in milliseconds. */
	returnMs?: number | undefined;
}>;

export class Relay {
	readonly #dependencies: RelayDependencies;
	readonly #guard: QuarantineGuard;
	readonly #chooser: TargetChooser;
	#running = 0;

	constructor(dependencies: RelayDependencies) {
		this.#dependencies = dependencies;
		this.#guard = new QuarantineGuard(dependencies);
		this.#chooser = new TargetChooser(dependencies);
	}

	/** Number of requests in progress. */
	get running(): number {
		return this.#running;
	}

	/**
	 * Relays one request; runs until the caller has its answer, is refused or has left.
	 *
	 * @param pool pool that serves the request
	 * @returns whether the request has run
	 */
	async run(request: RelayRequest, pool: RelayPool, caller: RelayCaller): Promise<RunState> {
		this.#running++;
		if (request.relayedBy === undefined) {
			this.#dependencies.budget.recordFirstAttempt(pool.name);
		}

		const progress = new RelayProgress(request, pool);
		try {
			const delivery = new AnswerDelivery(request, caller, this.#dependencies.clock);
			const outcome = await this.#runAttempts(progress, delivery, caller).catch((error: unknown) => this.#finishEscaped(error, progress, delivery, caller));
			this.#recordOutcome(progress, delivery, outcome);
			return classifyEnd(progress, delivery, outcome);
		} finally {
			this.#running--;
		}
	}

	async #runAttempts(progress: RelayProgress, delivery: AnswerDelivery, caller: RelayCaller): Promise<RelayOutcome> {
		for (;;) {
			if (progress.cause === 'not_sent') {
				// Whether the target or this instance's links failed decides where the next attempt goes.
				await this.#waitUntilEnd(this.#dependencies.targetReach.waitForCheck(progress.pool.name));
			}

			// No attempt starts for a caller that no longer waits, whatever the request has waited for.
			if (caller.hasLeft()) {
				return {kind: 'caller_left'};
			}

			if (this.#dependencies.openRequests.isEnding) {
				progress.cause = progress.runState === 'not_run' ? 'stopping' : 'stopped';
				return this.#finishUnanswered(progress, delivery, caller);
			}

			if (this.#dependencies.clock.now() >= progress.request.deadlineMs) {
				progress.cause = 'deadline';
				return this.#finishUnanswered(progress, delivery, caller);
			}

			const peer = this.#choosePeer(progress);
			const outcome = peer ? await this.#runAtPeer(peer, progress, delivery, caller) : await this.#runAtTarget(progress, delivery, caller);
			if (outcome) {
				return outcome;
			}
		}
	}

	/** Runs one attempt on a target. Returns the outcome of the request, or `undefined` if another attempt follows. */
	async #runAtTarget(progress: RelayProgress, delivery: AnswerDelivery, caller: RelayCaller): Promise<RelayOutcome | undefined> {
		const {clock, telemetry} = this.#dependencies;
		const {request} = progress;
		const release = this.#guard.admit(progress);
		const chosen = release && this.#chooser.choose(progress);
		if (!chosen) {
			release?.();
			return this.#choosePeer(progress) ? undefined : this.#finishUnanswered(progress, delivery, caller);
		}

		const {choice} = chosen;
		const {target} = choice.state;
		const startMs = clock.now();
		caller.recordAttempt?.(target, 'started');
		progress.isSending = true;
		if (choice.state.speed.get(startMs).factor > slowFactor) {
			telemetry.count('slow_attempts_total', {pool: progress.pool.name});
		}

		if (choice.state.pace.window < Infinity) {
			telemetry.count('paced_attempts_total', {pool: progress.pool.name});
		}

		const result = await runAttempt(this.#dependencies, {
			request, pool: progress.pool, ...chosen, caller, delivery,
			canMove: () => this.#canMove(progress, delivery, {targets: [target.id], softwareVersion: target.softwareVersion}),
		});
		const {failure} = result;
		progress.recordAttempt(choice, startMs, clock.now(), result);
		progress.isSending = false;
		progress.softwareVersion ??= delivery.hasStarted ? target.softwareVersion : undefined;
		if (result.body) {
			telemetry.count('answer_bodies_total', {framing: result.body.framing, end: result.body.end});
		}

		for (const [field, value] of Object.entries(result.statement ?? {})) {
			if (value !== undefined) {
				telemetry.count('target_statements_total', {field});
			}
		}

		if (caller.hasLeft()) {
			release();
			return {kind: 'caller_left'};
		}

		if (failure) {
			this.#suspect(choice, failure.cause);
			if (failure.cause === 'not_sent') {
				caller.recordAttempt?.(target, 'not_sent');
			}
		}

		await this.#waitUntilEnd(this.#guard.recordResult(progress, choice, result).finally(release));
		if (!failure) {
			return {kind: 'answered'};
		}

		return this.#canRetry(progress, failure.cause, delivery) ? undefined : this.#finishUnanswered(progress, delivery, caller);
	}

	/** Waits for a check or a probe, at most until all requests are ended: there is little time left to answer then. */
	async #waitUntilEnd(activity: Promise<void>): Promise<void> {
		const {openRequests} = this.#dependencies;
		await new Promise<void>(resolve => {
			const cancel = openRequests.subscribeEnd(resolve);
			void activity.finally(() => {
				cancel();
				resolve();
			});
			if (openRequests.isEnding) {
				resolve();
			}
		});
	}

	/** Runs one attempt through a peer. Returns the outcome of the request, or `undefined` if another attempt follows. */
	async #runAtPeer(peer: Peer, progress: RelayProgress, delivery: AnswerDelivery, caller: RelayCaller): Promise<RelayOutcome | undefined> {
		const {clock, telemetry, peerPaths} = this.#dependencies;
		const {request, pool, softwareVersion, possibleRuns} = progress;
		const startMs = clock.now();
		progress.isSending = true;
		progress.triedPeers.add(peer.incarnation);
		const result = await runPeerAttempt(this.#dependencies, {
			request, pool, peer, softwareVersion, caller, delivery, maxTargets: request.route.maxTargets - possibleRuns,
			canMove: reached => this.#canMove(progress, delivery, reached),
		});
		const {failure, refusal, canRetry} = result;
		progress.recordPeerAttempt(peer, startMs, clock.now(), result);
		progress.isSending = false;
		progress.softwareVersion ??= delivery.hasStarted ? result.softwareVersion : undefined;
		telemetry.count('attempts_via_peers_total', {outcome: failure?.cause ?? refusal?.reason ?? 'answered'});
		if (caller.hasLeft()) {
			return {kind: 'caller_left'};
		}

		if (refusal?.reason === 'no_target') {
			peerPaths.markUnavailable(peer, pool.name);
		} else if (refusal?.reason === 'target_limited') {
			peerPaths.markLimited(peer, pool.name, refusal.retryAfterMs ?? refusedRetryAfterMs);
		}

		if (!failure && !refusal) {
			return {kind: 'answered'};
		}

		return canRetry && this.#canRetry(progress, getPeerCause(result), delivery) ? undefined : this.#finishUnanswered(progress, delivery, caller);
	}

	/** Chooses a peer for the next attempt of a request that this instance has accepted itself, if it reaches no target of the pool, or has no share in what the targets take. */
	#choosePeer({request, pool, excluded, triedPeers, sharedTargets, quarantinedPart}: RelayProgress): Peer | undefined {
		const {peerPaths, targetReach, listSharers} = this.#dependencies;
		if (request.relayedBy !== undefined || triedPeers.size >= maxTriedPeers || quarantinedPart !== undefined) {
			return undefined;
		}

		const bodyBytes = request.body?.length ?? 0;
		if (!targetReach.canStart(pool.name, excluded)) {
			return peerPaths.choose(pool.name, {excluded: triedPeers, bodyBytes});
		}

		return sharedTargets.length > 0
			? peerPaths.choose(pool.name, {excluded: triedPeers, bodyBytes, allowed: new Set(sharedTargets.flatMap(target => listSharers(target)))})
			: undefined;
	}

	/** Whether a request could go on at another target or through a peer if the attempt in progress were aborted. */
	#canMove(progress: RelayProgress, {hasStarted, canContinue}: AnswerDelivery, reached: ReachedTargets): boolean {
		const {pool, possibleRuns, request: {route}} = progress;
		const runs = possibleRuns + Math.max(1, reached.targets.length);
		const mayRetry = canContinue && runs < route.maxTargets && this.#dependencies.budget.canAcquire(pool.name, hasStarted);
		return mayRetry && (this.#choosePeer(progress) !== undefined || this.#chooser.canMove(progress, reached));
	}

	/** Whether another attempt may follow. Such an attempt is charged to the pool's retry budget, unless no earlier attempt reached a target. */
	#canRetry({request, pool, possibleRuns, sentAttempts, unsentMs}: RelayProgress, cause: AttemptCause, {hasStarted, canContinue}: AnswerDelivery): boolean {
		const {clock, budget, telemetry} = this.#dependencies;
		const {retryPolicy, maxTargets} = request.route;
		if (possibleRuns >= maxTargets || decideRetry(cause, retryPolicy !== 'once') === 'never' || clock.now() >= request.deadlineMs || unsentMs > maxUnsentMs) {
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

		telemetry.count('retries_total', {reason: cause});
		return true;
	}

	/** Avoids the target for a while if the request could not be sent or if it is unknown whether the request has run. */
	#suspect({state}: TargetChoice, cause: AttemptCause): void {
		if (causeRules[cause].outcome === 'unknown' || causeRules[cause].outcome === 'notSent') {
			// A request that has run out of time says nothing of the process.
			state.suspect(this.#dependencies.clock.now() + suspectMs, cause !== 'deadline');
			this.#dependencies.targetReach.recordFailure(state.target.pool);
		}
	}

	/** Finishes a request whose handling has failed: its caller is told whether it may have run. */
	#finishEscaped(error: unknown, progress: RelayProgress, delivery: AnswerDelivery, caller: RelayCaller): RelayOutcome {
		recordEscapedError(this.#dependencies.telemetry, 'request', error, {id: progress.request.id});
		progress.markEscaped();
		return caller.hasLeft() ? {kind: 'caller_left'} : this.#finishUnanswered(progress, delivery, caller);
	}

	/** Finishes a request without a complete answer: aborts an answer that has started, else delivers a stored error answer, else refuses the request. */
	#finishUnanswered(progress: RelayProgress, delivery: AnswerDelivery, caller: RelayCaller): RelayOutcome {
		if (delivery.hasStarted) {
			caller.abort(progress.cause === 'stopped');
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
			...(request.relayedBy !== undefined && {relayedBy: request.relayedBy}),
			...(request.lastEventId !== undefined && {lastEventId: request.lastEventId, resumes: request.resumedRequestId}),
			outcome: kind, ...details, ...(quarantinedPart !== undefined && {quarantinedPart}), ms: Math.round(ms), leftMs: Math.round(request.deadlineMs - clock.now()), attempts,
		});
	}
}

/** Returns whether a request has run that has ended. One whose caller left during an attempt may have. */
function classifyEnd({runState, attempts}: RelayProgress, {hasStarted}: AnswerDelivery, {kind, ran}: RelayOutcome): RunState {
	if (kind === 'answered' || hasStarted) {
		return 'ran';
	}

	return kind === 'caller_left' && attempts.at(-1)?.end === 'answered' ? 'unknown' : ran ?? runState;
}

/** Returns the cause for which an attempt through a peer may be followed by another one. A request that the peer has refused may have run all the same. */
function getPeerCause({failure, refusal}: PeerAttemptResult): AttemptCause {
	return failure?.cause ?? (refusal?.ran === 'not_run' ? 'not_sent' : 'lost');
}
