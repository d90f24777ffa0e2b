/**
 * Runs one attempt of a request on one target: sends the request, checks the
 * head of the answer and forwards the answer to the caller. The attempt is
 * aborted at the request's deadline, when the caller leaves, or when the target
 * falls silent.
 */
import {AnswerBody, type BodyRecord} from './_answer-body.ts';
import type {AnswerDelivery} from './_answer-delivery.ts';
import type {RelayCaller} from './caller.ts';
import type {TargetChoice, TargetQuery} from './choose-target.ts';
import type {TargetAnswer, TargetDialect, TargetStatement} from './dialect.ts';
import {findHeader, type Exchange} from './exchange.ts';
import type {CachedParts} from './cached-parts.ts';
import type {OpenRequests} from './open-requests.ts';
import type {StartedExchange} from './connections.ts';
import {computeStreamKey, type StreamOrigins} from './stream-origins.ts';
import {watchSilence, type ProbeTarget} from './_silence.ts';
import type {TargetReach} from './target-reach.ts';
import type {TargetState} from './target-state.ts';
import type {Clock} from '#clock';
import {getErrorMessage, type RelayPool, type RelayRequest} from '#core';
import type {AttemptCause} from '#dispatch';
import {ByteBlocks} from '#http';
import {recordEscapedError, type Telemetry} from '#telemetry';

export type AttemptDependencies = Readonly<{
	clock: Clock;
	telemetry: Pick<Telemetry, 'count' | 'log'>;
	dialect: TargetDialect;
	cachedParts: CachedParts;
	streamOrigins: StreamOrigins;
	/** Tells when this instance ends all requests. */
	openRequests: Pick<OpenRequests, 'isEnding' | 'subscribeEnd'>;
	getLimitSharing: TargetQuery['getLimitSharing'];
	probe: ProbeTarget;
	targetReach: Pick<TargetReach, 'recordFailure'>;
	/** Called when a target refuses because its process was replaced or it serves other weights than expected. */
	handleMismatch: (state: TargetState, mismatch: TargetMismatch) => void;
}>;

/** How a target differs from what the router expected. */
export type TargetMismatch = 'replaced' | 'other_weights';

/** A request and the target chosen for it. */
export type Attempt = Readonly<{
	request: RelayRequest;
	pool: RelayPool;
	choice: TargetChoice;
	/** Urgency sent to the engine; 0 is the most urgent. */
	urgency: number;
	/** Factor by which the prompt waits longer because of more urgent ones that arrive later. Default: 1. */
	overtakingFactor?: number;
	caller: RelayCaller;
	/** Delivers the answers of all attempts of the request. */
	delivery: AnswerDelivery;
	/** Whether the request could go on elsewhere if the attempt were aborted. */
	canMove: () => boolean;
}>;

/** Why an attempt gave the caller no complete answer. */
export type AttemptFailure = Readonly<{cause: AttemptCause; detail: string}>;

/** Why an attempt failed, if it did, and what its answer stated, if the head arrived. */
export type AttemptResult = Readonly<{
	failure?: AttemptFailure | undefined;
	/** Whether a connection was opened for the attempt; a reused one has carried an earlier exchange. */
	isNewConnection: boolean;
	status?: number;
	/** Whether the answer names a request. */
	isNamed?: boolean;
	body?: BodyRecord;
	/** What the target states about itself; absent if it states nothing. */
	statement?: TargetStatement | undefined;
}>;

/** Causes of aborts by this instance, by the detail passed to {@link Exchange.abort}. Any other fault has the cause `lost` if the request may have reached the target, else `not_sent`. */
const abortCauses: ReadonlyMap<string, AttemptCause> = new Map([['deadline', 'deadline'], ['silent', 'silent'], ['stopped', 'stopped']]);

/** Maximum idle time of a connection that is reused for a request that must not run twice, in milliseconds: a target may close an idle connection while the request is being sent, and the request could not be retried then. */
const maxIdleForOnceMs = 2000;

/** Idle time of connections that a request without an id may reuse, in milliseconds: none, as no answer can name it. */
const noIdleMs = -1;

/** Causes of failures whose duration says nothing about the time that the target takes. */
const untimedCauses: ReadonlySet<AttemptCause | undefined> = new Set(['refused', 'not_sent', 'crossed']);

/** Factor of overtaking from which on the wait of a prompt is not measured. */
const maxOvertakingFactor = 2;

/** Maximum size of the body of a refusal or an error answer, in bytes; the exchange is aborted if the body is longer. */
const maxErrorBodyBytes = 65_536;

/** Runs one attempt until its exchange has finished. There is no failure if the caller was sent its complete answer. */
export async function runAttempt(dependencies: AttemptDependencies, attempt: Attempt): Promise<AttemptResult> {
	const {clock, openRequests} = dependencies;
	const {request, choice, caller} = attempt;
	const {state} = choice;
	let started: StartedExchange;
	try {
		started = startExchange(dependencies, attempt);
	} catch (error) {
		recordEscapedError(dependencies.telemetry, 'attempt', error, {id: request.id, target: state.target.id});
		return {failure: {cause: 'not_sent', detail: getErrorMessage(error)}, isNewConnection: true};
	}

	const {exchange, isNewConnection} = started;
	const work = startWork(dependencies, attempt);
	const cancels = [
		caller.subscribeLeave(() => {
			exchange.abort('the caller left');
		}),
		clock.setTimer(request.deadlineMs - clock.now(), () => {
			exchange.abort('deadline');
		}),
		openRequests.subscribeEnd(() => {
			exchange.abort('stopped');
		}),
		watchSilence(dependencies, {
			request, pool: attempt.pool, choice, exchange, canMove: attempt.canMove, hasBegun: () => attempt.delivery.hasStarted,
		}),
	];
	try {
		const result = await receiveAnswer(dependencies, attempt, started, work);
		// A refusal takes no service time, and would make a busy target look fast; so would an answer to another request.
		if (!request.prompt && !untimedCauses.has(result.failure?.cause)) {
			state.speed.recordServiceTime(clock.now() - work.startedMs, clock.now());
		}

		return result;
	} catch (error) {
		recordEscapedError(dependencies.telemetry, 'attempt', error, {id: request.id, target: state.target.id});
		exchange.abort(getErrorMessage(error));
		return {failure: {cause: exchange.hasBeenSent ? 'lost' : 'not_sent', detail: getErrorMessage(error)}, isNewConnection};
	} finally {
		for (const cancel of cancels) {
			cancel();
		}

		work.finish();
	}
}

function startExchange({clock, dialect}: AttemptDependencies, {request, choice, delivery, urgency}: Attempt): StartedExchange {
	const {target, connections} = choice.state;
	const headers = dialect.encodeHead(request, {
		target, remainingMs: request.deadlineMs - clock.now(), lastEventId: delivery.lastEventId ?? request.lastEventId,
		cacheScope: choice.cacheScope, weights: choice.weights, fetchFrom: choice.source?.address, keepIn: choice.keeper?.address, urgency: request.prompt && urgency,
	});
	return connections.start({
		method: request.method, path: request.path, headers, body: request.body,
	}, {maxIdleMs: getMaxIdleMs(request)});
}

async function receiveAnswer(dependencies: AttemptDependencies, attempt: Attempt, {exchange, isNewConnection}: StartedExchange, {startedMs, handleAnswerStart}: AttemptWork): Promise<AttemptResult> {
	const {clock, dialect, getLimitSharing} = dependencies;
	const {request, pool, choice, delivery} = attempt;
	const {softwareVersion} = choice.state.target;
	const read = await exchange.readHead();
	if (read.kind === 'fault') {
		return {failure: classifyFault(exchange, read.fault.detail), isNewConnection};
	}

	const decoded = dialect.decodeHead(read.head);
	const received = {isNewConnection, status: decoded.status, isNamed: decoded.requestId !== undefined};
	const body = new AnswerBody(exchange, isEventStream(request, decoded));
	const failure = checkHead(attempt, decoded, isNewConnection);
	if (failure?.cause === 'crossed') {
		body.abort(failure.detail);
		return {...received, failure};
	}

	choice.state.statements.recordAnswer(decoded.statement, startedMs, clock.now());
	choice.state.statements.recordOutcome(decoded.hasNotRun, choice.state.inFlight, () => getLimitSharing(choice.state.target), clock.now());
	recordRefusalPace(choice.state, decoded, startedMs, clock.now());
	if (decoded.load) {
		choice.state.recordLoad(decoded.load, clock.now());
	}

	if (!failure) {
		handleAnswerStart();
		const fault = await delivery.deliver(decoded, body, () => {
			dependencies.streamOrigins.recordOwn(getStreamKey(request), {pool: pool.name, softwareVersion});
		});
		return {
			...received, failure: fault === undefined ? undefined : classifyFault(exchange, fault), statement: getStatement(decoded), body: body.describe(),
		};
	}

	if (failure.cause === 'failed' && delivery.hasStarted) {
		// Its body may never end, and reaches no caller.
		body.abort(failure.detail);
	}

	const errorBody = await readErrorBody(body);
	if (failure.cause === 'failed' && errorBody) {
		delivery.setErrorAnswer(decoded, errorBody);
	}

	handleRefusal(dependencies, attempt, decoded);
	return {
		...received, failure, statement: getStatement(decoded), body: body.describe(),
	};
}

/** Records in the target's pace that it has refused a request for want of room or asked for a rest. */
function recordRefusalPace(state: TargetState, {hasNotRun, isMisdirected, statement}: TargetAnswer, sentMs: number, nowMs: number): void {
	if (statement.restMs !== undefined) {
		state.pace.begin(nowMs + statement.restMs, true);
	} else if (hasNotRun && !isMisdirected) {
		state.pace.recordRefusal(state.countInProgress(nowMs), state.target.slots, sentMs, nowMs);
	}
}

/** Start time of an attempt, in milliseconds, and callbacks that update the target's work in progress. */
type AttemptWork = Readonly<{startedMs: number; handleAnswerStart: () => void; finish: () => void}>;

/** Counts a request as in progress on its target, and its prompt tokens as pending until the answer starts. */
export function startWork({clock, cachedParts}: Pick<AttemptDependencies, 'clock' | 'cachedParts'>, attempt: Pick<Attempt, 'request' | 'choice' | 'urgency' | 'overtakingFactor'>): AttemptWork {
	const {request: {prompt}, choice: {state, waitMs, unreadTokens, partKeys}, urgency, overtakingFactor = 1} = attempt;
	const startedMs = clock.now();
	const aheadTokens = state.sumWork(startedMs, urgency).tokens;
	let pendingTokens = unreadTokens;
	const removePendingTokens = () => {
		state.pendingTokens.add(urgency, -pendingTokens);
		pendingTokens = 0;
	};

	state.statements.recordSent();
	state.pace.recordSent(waitMs, startedMs);
	state.inFlight++;
	state.pendingTokens.add(urgency, pendingTokens);
	const removeHeld = prompt && state.held.add(prompt, partKeys, urgency);
	for (const key of partKeys) {
		cachedParts.recordSent(key, state.target.incarnation, startedMs);
	}

	return {
		startedMs,
		handleAnswerStart() {
			// The wait of a prompt that others overtake says little about the speed of the target.
			if (pendingTokens > 0 && overtakingFactor < maxOvertakingFactor) {
				state.speed.recordAnswerStart(aheadTokens + unreadTokens, (clock.now() - startedMs) / overtakingFactor, clock.now());
			}

			removePendingTokens();
			state.pace.recordAnswer({
				ms: clock.now() - startedMs, expectedMs: waitMs, inProgress: state.countInProgress(clock.now()), slots: state.target.slots,
			}, clock.now());
		},
		finish() {
			removePendingTokens();
			removeHeld?.(clock.now() - startedMs);
			state.inFlight--;
		},
	};
}

/** Returns the maximum idle time of a connection that the request may reuse, in milliseconds. */
function getMaxIdleMs({id, route}: RelayRequest): number {
	if (id === '') {
		return noIdleMs;
	}

	return route.retryPolicy === 'once' ? maxIdleForOnceMs : Infinity;
}

function classifyFault(exchange: Exchange, detail: string): AttemptFailure {
	return {cause: exchange.hasBeenSent ? abortCauses.get(detail) ?? 'lost' : 'not_sent', detail};
}

function getStatement({statement}: TargetAnswer): TargetStatement | undefined {
	return Object.values(statement).some(value => value !== undefined) ? statement : undefined;
}

/** Returns the key of the stream that the request begins or resumes. */
export function getStreamKey({id, customer, lastEventId, resumedRequestId}: RelayRequest): string {
	return computeStreamKey(customer?.name, lastEventId === undefined ? id : resumedRequestId ?? id);
}

/** Whether the body of an answer is an event stream: by its route, or as the target states. An answer to HEAD has no body. */
export function isEventStream({method, route}: RelayRequest, {status, headers}: TargetAnswer): boolean {
	return method !== 'HEAD' && status < 300 && (route.isStream || (findHeader(headers, 'content-type') ?? '').toLowerCase().startsWith('text/event-stream'));
}

/**
 * Returns why the answer must not be delivered to the caller, or `undefined` if it
 * may be. An answer that names no request may belong to an earlier exchange of its
 * connection, whatever it states.
 */
function checkHead({request: {id, route}, delivery}: Attempt, answer: TargetAnswer, isNewConnection: boolean): AttemptFailure | undefined {
	if (answer.requestId === undefined && !isNewConnection) {
		return {cause: 'crossed', detail: 'the answer names no request on a connection that has carried an earlier one'};
	}

	if (answer.requestId !== undefined && answer.requestId !== id) {
		return {cause: 'crossed', detail: `the answer carries the id of another request: ${answer.requestId}`};
	}

	if (answer.hasNotRun || answer.isMisdirected) {
		return {cause: 'refused', detail: `the target refused the request with status ${answer.status}`};
	}

	if (answer.status < 300 && !answer.isSigned) {
		return {cause: 'crossed', detail: 'the answer carries no signature of the target'};
	}

	const mismatch = delivery.explainMismatch(answer);
	if (mismatch !== undefined) {
		return {cause: 'failed', detail: `the target answered with ${mismatch}`};
	}

	if (answer.status >= 500 && route.retryPolicy !== 'once') {
		return {cause: 'failed', detail: `the target answered with the error status ${answer.status}`};
	}

	return undefined;
}

/** Handles an answer by which the target states that it has not run the request. The target has not read the prompt, so its records of cached parts are removed. A mismatch is reported. */
function handleRefusal({cachedParts, handleMismatch}: AttemptDependencies, {choice: {state, partKeys}}: Attempt, answer: TargetAnswer): void {
	if (!answer.hasNotRun && !answer.isMisdirected) {
		return;
	}

	for (const key of partKeys) {
		cachedParts.remove(key, state.target.incarnation);
	}

	if (answer.isMisdirected) {
		handleMismatch(state, answer.targetId === undefined || answer.targetId === state.target.id ? 'other_weights' : 'replaced');
	}
}

/** Reads a refusal or error answer to its end, so that its connection can be reused. Returns `undefined` if it is incomplete or too long. */
async function readErrorBody(body: AnswerBody): Promise<Uint8Array | undefined> {
	const received = new ByteBlocks();
	for (;;) {
		const read = await body.read();
		if (read.kind === 'fault') {
			return undefined;
		}

		if (read.kind === 'end') {
			return received.takeAll();
		}

		received.add(read.bytes);
		if (received.length > maxErrorBodyBytes) {
			body.abort('the body of the refusal or error answer is too long');
		}
	}
}
