/**
 * Carries a caller's request to a target and the answer back, byte for byte.
 * One task for each request: choose a target, send, read, pass on; where an
 * attempt fails, the retry table and the budget decide whether another one
 * follows.
 */
import {Buffer} from 'node:buffer';
import type {RelayCaller} from './caller.ts';
import {chooseRelayTarget} from './choose-target.ts';
import {DeliveredAnswer} from './_delivered-answer.ts';
import type {TargetAnswer, TargetDialect} from './dialect.ts';
import type {Exchange} from './exchange.ts';
import {RelayProgress} from './_progress.ts';
import type {TargetSet} from './target-set.ts';
import type {TargetState} from './target-state.ts';
import type {Clock} from '#clock';
import {
	makeRefusal, type Random, type Refusal, type RelayRequest,
} from '#core';
import {
	causeRules, decideRetry, type AttemptCause, type RetryBudget,
} from '#dispatch';
import type {Telemetry} from '#telemetry';

/** What a relay works with. */
export type RelayDeps = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	targets: TargetSet;
	dialect: TargetDialect;
	budget: RetryBudget;
	/** This instance's availability zone. */
	zone: string;
}>;

/** Why an attempt did not end with the caller's answer. */
type AttemptEnd = Readonly<{cause: AttemptCause; detail: string; retryAfterMs?: number}>;

/** Time for which a target is passed over after it was silent or lost, in milliseconds: a crashed one is back after some seconds. */
const suspectMs = 2000;

/** Silence before the head of an answer to a request that may be sent again, as a multiple of its promised time. */
const silenceFactor = 2;

/** Least such silence, in milliseconds: a third of the shortest time that callers of streams wait. */
const leastSilenceMs = 700;

/** Longest idle time of a kept connection that carries a request which must not run twice, in milliseconds. */
const freshIdleMs = 2000;

/** Statuses by which an answer says that its request has not run and never will. */
const promiseStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Largest body of a target's failure that is kept, in bytes. */
const maxFailureBytes = 65_536;

const badGateway = 502;

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
	async run(request: RelayRequest, pool: string, caller: RelayCaller): Promise<void> {
		this.#running++;
		this.#deps.budget.recordAttempt(pool);
		const progress = new RelayProgress(request, pool);
		try {
			await this.#runAttempts(progress, new DeliveredAnswer(request, caller), caller);
		} finally {
			this.#running--;
		}
	}

	async #runAttempts(progress: RelayProgress, answer: DeliveredAnswer, caller: RelayCaller): Promise<void> {
		for (;;) {
			const state = this.#choose(progress);
			if (!state) {
				this.#give(progress, answer, caller);
				return;
			}

			if (progress.sends > 0) {
				if (!this.#deps.budget.take(progress.pool, answer.hasBegun)) {
					this.#deps.telemetry.count('retries_refused_total', {reason: 'budget'});
					this.#give(progress, answer, caller);
					return;
				}

				this.#deps.telemetry.count('retries_total', {reason: progress.cause});
			}

			const end = await this.#attempt(progress, state, answer, caller);
			if (!end || caller.hasLeft()) {
				return;
			}

			progress.noteEnd(state.target.id, end.cause, end.retryAfterMs);
			this.#suspect(state, end.cause);
			if (!this.#mayRetry(progress, end.cause)) {
				this.#give(progress, answer, caller);
				return;
			}
		}
	}

	#choose({request, pool, excluded}: RelayProgress): TargetState | undefined {
		const {targets, zone, clock, random} = this.#deps;
		return chooseRelayTarget({
			targets: targets.listPool(pool), excluded, prompt: request.prompt, zone, nowMs: clock.now(), random,
		});
	}

	#mayRetry({request, runs}: RelayProgress, cause: AttemptCause): boolean {
		const {repetition, maxTargets} = request.route;
		return runs < maxTargets && decideRetry(cause, repetition !== 'once') !== 'never' && this.#deps.clock.now() < request.deadlineMs;
	}

	#suspect(state: TargetState, cause: AttemptCause): void {
		if (causeRules[cause].outcome === 'unknown' || causeRules[cause].outcome === 'notSent') {
			state.suspectUntilMs = this.#deps.clock.now() + suspectMs;
			state.connections.closeIdle();
		}
	}

	/** Ends a request that no attempt will answer. */
	#give(progress: RelayProgress, answer: DeliveredAnswer, caller: RelayCaller): void {
		if (answer.hasBegun) {
			caller.cut();
			return;
		}

		if (answer.deliverFailure()) {
			return;
		}

		const refusal = makeTrueRefusal(progress);
		this.#deps.telemetry.count('refusals_total', {reason: refusal.reason, ran: refusal.ran});
		caller.refuse(refusal);
	}

	/** @returns nothing when the caller has its answer or has left */
	async #attempt(progress: RelayProgress, state: TargetState, answer: DeliveredAnswer, caller: RelayCaller): Promise<AttemptEnd | undefined> {
		const {clock, dialect} = this.#deps;
		const {request} = progress;
		const headers = dialect.encodeHead(request, {
			target: state.target, remainingMs: request.deadlineMs - clock.now(), lastEventId: answer.lastEventId ?? request.lastEventId,
			urgency: undefined,
		});
		const {exchange} = state.connections.start({
			method: request.method, path: request.path, headers, body: request.body,
		}, {maxIdleMs: request.route.repetition === 'once' ? freshIdleMs : Infinity});
		state.inFlight++;
		progress.sends++;
		const stop = this.#watchLimits(request, exchange, caller);
		try {
			return await this.#receive(progress, state, exchange, answer);
		} finally {
			stop();
			state.inFlight--;
		}
	}

	/** Gives the exchange up when the caller leaves or its time is over. */
	#watchLimits(request: RelayRequest, exchange: Exchange, caller: RelayCaller): () => void {
		const {clock} = this.#deps;
		const cancelLeave = caller.listenLeave(() => {
			exchange.abort('the caller left');
		});
		const cancelDeadline = clock.after(request.deadlineMs - clock.now(), () => {
			exchange.abort('deadline');
		});
		return () => {
			cancelLeave();
			cancelDeadline();
		};
	}

	async #receive(progress: RelayProgress, state: TargetState, exchange: Exchange, answer: DeliveredAnswer): Promise<AttemptEnd | undefined> {
		const {clock, dialect} = this.#deps;
		const {request} = progress;
		const cancelSilence = this.#limitSilence(request, exchange);
		const read = await exchange.readHead();
		cancelSilence();
		if (read.kind === 'fault') {
			return this.#classifyFault(request, exchange, read.fault.detail);
		}

		const decoded = dialect.decodeHead(read.head);
		if (decoded.load) {
			state.noteLoad(decoded.load, clock.now());
		}

		const end = checkHead(request, decoded);
		if (end?.cause === 'crossed') {
			exchange.abort(end.detail);
			return end;
		}

		if (end) {
			const body = await readWhole(exchange);
			if (end.cause === 'failed' && body) {
				answer.keepFailure(decoded, body);
			}

			return end;
		}

		const fault = await answer.deliver(decoded, exchange);
		return fault === undefined ? undefined : this.#classifyFault(request, exchange, fault);
	}

	#limitSilence(request: RelayRequest, exchange: Exchange): () => void {
		const {repetition, promisedMs} = request.route;
		if (repetition === 'once') {
			return () => undefined;
		}

		return this.#deps.clock.after(Math.max(leastSilenceMs, promisedMs * silenceFactor), () => {
			exchange.abort('silent');
		});
	}

	#classifyFault(request: RelayRequest, exchange: Exchange, detail: string): AttemptEnd {
		if (this.#deps.clock.now() >= request.deadlineMs) {
			return {cause: exchange.wasSent ? 'deadline' : 'not_sent', detail};
		}

		if (!exchange.wasSent) {
			return {cause: 'not_sent', detail};
		}

		return {cause: detail === 'silent' ? 'silent' : 'lost', detail};
	}
}

/** Says why an answer cannot be the caller's. */
function checkHead({id, route}: RelayRequest, answer: TargetAnswer): AttemptEnd | undefined {
	if (answer.requestId !== undefined && answer.requestId !== id) {
		return {cause: 'crossed', detail: `the answer names request ${answer.requestId}`};
	}

	if (answer.hasNotRun || answer.isMisdirected) {
		return {cause: 'refused', detail: `the target refused with ${answer.status}`};
	}

	if (answer.status < 300 && !answer.isSigned) {
		return {cause: 'crossed', detail: 'the answer is not signed'};
	}

	if (answer.status >= 500 && route.repetition !== 'once') {
		return {cause: 'failed', detail: `the target failed with ${answer.status}`};
	}

	return undefined;
}

/** Reads a refusal or failure to its end, so that its connection can be kept; gives up on one that is cut or long. */
async function readWhole(exchange: Exchange): Promise<Uint8Array | undefined> {
	const chunks: Uint8Array[] = [];
	let length = 0;
	for (;;) {
		const read = await exchange.readBody();
		if (read.kind === 'fault') {
			return undefined;
		}

		if (read.kind === 'end') {
			return Buffer.concat(chunks);
		}

		chunks.push(read.bytes);
		length += read.bytes.length;
		if (length > maxFailureBytes) {
			exchange.abort('the failure is too long');
		}
	}
}

/** A refusal whose status promises no more than is known. */
function makeTrueRefusal({cause, ran, retryAfterMs}: RelayProgress): Refusal {
	const reason = cause === 'none' ? 'no_target' : causeRules[cause].reason;
	const refusal = makeRefusal(reason, {ran, ...(retryAfterMs === undefined ? {} : {retryAfterMs})});
	return ran !== 'not_run' && promiseStatuses.has(refusal.status) ? {...refusal, status: badGateway} : refusal;
}
