/**
 * One attempt on one target: the request is sent, the head of the answer is
 * checked, and the answer passed on, within the caller's time and patience.
 */
import {Buffer} from 'node:buffer';
import type {RelayCaller} from './caller.ts';
import type {TargetChoice} from './choose-target.ts';
import type {DeliveredAnswer} from './_delivered-answer.ts';
import type {TargetAnswer, TargetDialect} from './dialect.ts';
import type {Exchange} from './exchange.ts';
import type {PlacedParts} from './placed-parts.ts';
import {watchSilence, type ProbeTarget} from './_silence.ts';
import type {TargetState} from './target-state.ts';
import type {Clock} from '#clock';
import type {RelayPool, RelayRequest} from '#core';
import type {AttemptCause} from '#dispatch';

/** What attempts work with. */
export type AttemptDeps = Readonly<{
	clock: Clock;
	dialect: TargetDialect;
	placed: PlacedParts;
	probe: ProbeTarget;
	/** Called when a target is not what was assumed: its process has been replaced, or it serves other weights. */
	surprised: (state: TargetState, surprise: Surprise) => void;
}>;

/** How a target differs from what was assumed. */
export type Surprise = 'replaced' | 'other_weights';

/** One attempt. */
export type Attempt = Readonly<{
	request: RelayRequest;
	pool: RelayPool;
	choice: TargetChoice;
	/** Urgency that the engine is told; 0 is the most urgent. */
	urgency: number;
	caller: RelayCaller;
	answer: DeliveredAnswer;
}>;

/** Why an attempt did not end with the caller's answer. */
export type AttemptEnd = Readonly<{cause: AttemptCause; detail: string}>;

/** Reasons for which an exchange is given up here, with what they mean. */
const abortCauses: ReadonlyMap<string, AttemptCause> = new Map([['deadline', 'deadline'], ['silent', 'silent']]);

/** Longest idle time of a kept connection that carries a request which must not run twice, in milliseconds. */
const freshIdleMs = 2000;

/** Largest body of a target's failure that is kept, in bytes. */
const maxFailureBytes = 65_536;

/** @returns nothing when the caller has its answer or has left */
export async function runAttempt(deps: AttemptDeps, attempt: Attempt): Promise<AttemptEnd | undefined> {
	const {clock, dialect} = deps;
	const {request, choice, answer, caller, urgency} = attempt;
	const {state} = choice;
	const headers = dialect.encodeHead(request, {
		target: state.target, remainingMs: request.deadlineMs - clock.now(), lastEventId: answer.lastEventId ?? request.lastEventId,
		cacheScope: choice.cacheScope, weights: choice.weights, fetchFrom: choice.source?.target.address, urgency: request.prompt && urgency,
	});
	const {exchange} = state.connections.start({
		method: request.method, path: request.path, headers, body: request.body,
	}, {maxIdleMs: request.route.repetition === 'once' ? freshIdleMs : Infinity});
	const work = beginWork(deps, attempt);
	const cancels = [
		caller.listenLeave(() => {
			exchange.abort('the caller left');
		}),
		clock.after(request.deadlineMs - clock.now(), () => {
			exchange.abort('deadline');
		}),
		watchSilence({clock, probe: deps.probe}, {
			request, pool: attempt.pool, choice, exchange,
		}),
	];
	try {
		return await receive(deps, attempt, exchange, work.begun);
	} finally {
		for (const cancel of cancels) {
			cancel();
		}

		work.ended();
	}
}

async function receive(deps: AttemptDeps, attempt: Attempt, exchange: Exchange, begun: () => void): Promise<AttemptEnd | undefined> {
	const {clock, dialect} = deps;
	const {request, choice, answer} = attempt;
	const read = await exchange.readHead();
	if (read.kind === 'fault') {
		return classifyFault(exchange, read.fault.detail);
	}

	const decoded = dialect.decodeHead(read.head);
	if (decoded.load) {
		choice.state.noteLoad(decoded.load, clock.now());
	}

	const end = checkHead(request, decoded);
	if (!end) {
		begun();
		const fault = await answer.deliver(decoded, exchange);
		return fault === undefined ? undefined : classifyFault(exchange, fault);
	}

	if (end.cause === 'crossed') {
		exchange.abort(end.detail);
		return end;
	}

	const body = await readWhole(exchange);
	if (end.cause === 'failed' && body) {
		answer.keepFailure(decoded, body);
	}

	learnFromRefusal(deps, attempt, decoded);
	return end;
}

/** A request's part in its target's work. */
type Work = Readonly<{begun: () => void; ended: () => void}>;

/** Counts a request as in progress on its target, and its prompt as unread until the answer begins. */
function beginWork({clock, placed}: AttemptDeps, {request, choice: {state, unreadTokens, partKeys}, urgency}: Attempt): Work {
	const startedMs = clock.now();
	const ahead = state.sumWork(startedMs, urgency).tokens;
	let pending = unreadTokens;
	const takePending = () => {
		state.pending.add(urgency, -pending);
		pending = 0;
	};

	state.inFlight++;
	state.pending.add(urgency, pending);
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
			if (!request.prompt) {
				state.noteService(clock.now() - startedMs);
			}
		},
	};
}

function classifyFault(exchange: Exchange, detail: string): AttemptEnd {
	return {cause: exchange.wasSent ? abortCauses.get(detail) ?? 'lost' : 'not_sent', detail};
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

/** A refusal may say that the target serves other weights than were assumed; what was to be cached is not. */
function learnFromRefusal({placed, surprised}: AttemptDeps, {choice: {state, partKeys}}: Attempt, answer: TargetAnswer): void {
	if (!answer.hasNotRun && !answer.isMisdirected) {
		return;
	}

	for (const key of partKeys) {
		placed.forget(key, state.target.incarnation);
	}

	if (answer.isMisdirected) {
		surprised(state, answer.targetId === undefined || answer.targetId === state.target.id ? 'other_weights' : 'replaced');
	}
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
