/**
 * Carries a caller's request to a target and the answer back, byte for byte.
 * One task for each request: choose a target, send, read, pass on; where an
 * attempt fails, the retry table and the budget decide whether another one
 * follows.
 */
import {Buffer} from 'node:buffer';
import type {RelayCaller} from './caller.ts';
import {chooseRelayTarget, type NoTarget, type TargetChoice} from './choose-target.ts';
import {DeliveredAnswer} from './_delivered-answer.ts';
import type {TargetAnswer, TargetDialect} from './dialect.ts';
import type {Exchange} from './exchange.ts';
import type {WeightsBoard} from './named-weights.ts';
import type {PlacedParts} from './placed-parts.ts';
import {RelayProgress} from './_progress.ts';
import type {TargetSet} from './target-set.ts';
import type {Clock} from '#clock';
import {
	makeRefusal, type Random, type Refusal, type RelayPool, type RelayRequest,
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
	weights: WeightsBoard;
	placed: PlacedParts;
	/** Time after which no request may begin on older weights than were named, in milliseconds. */
	weightsMs: number;
	/** This instance's availability zone. */
	zone: string;
}>;

/** A request's part in its target's work. */
type Work = Readonly<{begun: () => void; ended: () => void}>;

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

/** The least urgent priority of engines. */
const leastUrgency = 9;

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
	async run(request: RelayRequest, pool: RelayPool, caller: RelayCaller): Promise<void> {
		this.#running++;
		this.#deps.budget.recordAttempt(pool.name);
		const progress = new RelayProgress(request, pool);
		try {
			const outcome = await this.#runAttempts(progress, new DeliveredAnswer(request, caller), caller);
			this.#note(progress, outcome);
		} finally {
			this.#running--;
		}
	}

	/** One line for each request: what became of it, and what each attempt on the way ended with. */
	#note({request, pool, attempts}: RelayProgress, outcome: string): void {
		const {clock, telemetry} = this.#deps;
		telemetry.log('request ended', {
			id: request.id, route: request.route.name, customer: request.customer?.name, pool: pool.name, outcome,
			ms: Math.round(clock.now() - request.arrivedMs), leftMs: Math.round(request.deadlineMs - clock.now()), attempts,
		});
	}

	/** @returns what became of the request, for the log */
	async #runAttempts(progress: RelayProgress, answer: DeliveredAnswer, caller: RelayCaller): Promise<string> {
		for (;;) {
			const choice = this.#choose(progress);
			if (typeof choice === 'string') {
				return this.#give(progress, answer, caller);
			}

			const {state} = choice;

			if (progress.sends > 0) {
				if (!this.#deps.budget.take(progress.pool.name, answer.hasBegun)) {
					this.#deps.telemetry.count('retries_refused_total', {reason: 'budget'});
					return this.#give(progress, answer, caller);
				}

				this.#deps.telemetry.count('retries_total', {reason: progress.cause});
			}

			const fromMs = this.#deps.clock.now();
			const end = await this.#attempt(progress, choice, answer, caller);
			this.#noteAttempt(progress, choice, fromMs, end);
			if (caller.hasLeft()) {
				return 'caller left';
			}

			if (!end) {
				return 'answered';
			}

			progress.noteEnd(state.target.id, end.cause, end.retryAfterMs);
			this.#suspect(state, end.cause);
			if (!this.#mayRetry(progress, end.cause)) {
				return this.#give(progress, answer, caller);
			}
		}
	}

	#noteAttempt({request, attempts}: RelayProgress, {state, costMs, weights, unreadTokens, source}: TargetChoice, fromMs: number, end: AttemptEnd | undefined): void {
		attempts.push({
			target: state.target.id, costMs: Math.round(costMs), weights, unreadTokens, source: source?.target.id, fromMs: Math.round(fromMs - request.arrivedMs), toMs: Math.round(this.#deps.clock.now() - request.arrivedMs),
			end: end?.cause ?? 'answered', ...(end ? {detail: end.detail} : {}),
		});
	}

	#choose({request, pool, excluded}: RelayProgress): TargetChoice | NoTarget {
		const {
			targets, zone, clock, random, weights, weightsMs, placed,
		} = this.#deps;
		return chooseRelayTarget({
			targets: targets.listPool(pool.name), excluded, engine: pool.engine, prompt: request.prompt, cacheScope: request.cacheScope,
			named: request.prompt && weights.read(request.prompt.model), weightsMs, placed, zone, nowMs: clock.now(), random,
		});
	}

	#mayRetry({request, runs}: RelayProgress, cause: AttemptCause): boolean {
		const {repetition, maxTargets} = request.route;
		return runs < maxTargets && decideRetry(cause, repetition !== 'once') !== 'never' && this.#deps.clock.now() < request.deadlineMs;
	}

	#suspect(state: TargetChoice['state'], cause: AttemptCause): void {
		if (causeRules[cause].outcome === 'unknown' || causeRules[cause].outcome === 'notSent') {
			state.suspectUntilMs = this.#deps.clock.now() + suspectMs;
			state.connections.closeIdle();
		}
	}

	/** Ends a request that no attempt will answer. */
	#give(progress: RelayProgress, answer: DeliveredAnswer, caller: RelayCaller): string {
		if (answer.hasBegun) {
			caller.cut();
			return 'cut';
		}

		if (answer.deliverFailure()) {
			return 'target\'s failure';
		}

		const refusal = makeTrueRefusal(progress);
		this.#deps.telemetry.count('refusals_total', {reason: refusal.reason, ran: refusal.ran});
		caller.refuse(refusal);
		return `${refusal.status} ${refusal.reason}`;
	}

	/** @returns nothing when the caller has its answer or has left */
	async #attempt(progress: RelayProgress, choice: TargetChoice, answer: DeliveredAnswer, caller: RelayCaller): Promise<AttemptEnd | undefined> {
		const {clock, dialect} = this.#deps;
		const {request} = progress;
		const {state, unreadTokens} = choice;
		const headers = dialect.encodeHead(request, {
			target: state.target, remainingMs: request.deadlineMs - clock.now(), lastEventId: answer.lastEventId ?? request.lastEventId,
			cacheScope: choice.cacheScope, weights: choice.weights, fetchFrom: choice.source?.target.address,
			urgency: request.prompt && readUrgency(request),
		});
		const {exchange} = state.connections.start({
			method: request.method, path: request.path, headers, body: request.body,
		}, {maxIdleMs: request.route.repetition === 'once' ? freshIdleMs : Infinity});
		const work = this.#beginWork(choice);
		progress.sends++;
		const stop = this.#watchLimits(request, exchange, caller);
		try {
			return await this.#receive(progress, choice, exchange, answer, work.begun);
		} finally {
			stop();
			work.ended();
		}
	}

	/** Counts a request as in progress on its target, and its prompt as unread until the answer begins. */
	#beginWork({state, unreadTokens, partKeys}: TargetChoice): Work {
		const {clock, placed} = this.#deps;
		const startedMs = clock.now();
		const ahead = state.sumWork(startedMs).tokens;
		let pending = unreadTokens;
		state.inFlight++;
		state.pendingTokens += pending;
		const takePending = () => {
			state.pendingTokens -= pending;
			pending = 0;
		};

		for (const key of partKeys) {
			placed.place(key, state.target.incarnation, startedMs);
		}

		return {
			begun() {
				if (pending > 0) {
					state.noteFirstEvent(ahead + unreadTokens, clock.now() - startedMs);
				}

				takePending();
			},
			ended() {
				takePending();
				state.inFlight--;
				if (partKeys.length === 0) {
					state.noteService(clock.now() - startedMs);
				}
			},
		};
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

	async #receive(progress: RelayProgress, choice: TargetChoice, exchange: Exchange, answer: DeliveredAnswer, begun: () => void): Promise<AttemptEnd | undefined> {
		const {clock, dialect} = this.#deps;
		const {request} = progress;
		const {state} = choice;
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

			this.#learnFromRefusal(request, choice, decoded);
			return end;
		}

		begun();
		const fault = await answer.deliver(decoded, exchange);
		return fault === undefined ? undefined : this.#classifyFault(request, exchange, fault);
	}

	/** A refusal may say that the target serves other weights than were assumed, or that it is loading new ones. */
	#learnFromRefusal({prompt}: RelayRequest, {state, partKeys}: TargetChoice, answer: TargetAnswer): void {
		if (!prompt || !(answer.hasNotRun || answer.isMisdirected)) {
			return;
		}

		for (const key of partKeys) {
			this.#deps.placed.forget(key, state.target.incarnation);
		}

		if (answer.isMisdirected && answer.weights !== undefined) {
			state.noteWeights(prompt.model, answer.weights);
		}
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

/** The customer's priority goes before the route's; engines take 0 to 9. */
function readUrgency({customer, route}: RelayRequest): number {
	return Math.min(leastUrgency, Math.max(0, Math.floor(customer?.priority ?? route.priority)));
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
