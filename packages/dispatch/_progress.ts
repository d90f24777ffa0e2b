/** What is known of one request over all its attempts. */
import type {Answer} from './_answer.ts';
import {
	causeRules, classifyRun, mergeRunStates, type AttemptCause,
} from './retry.ts';
import type {RefusalReason, RoutedRequest, RunState} from '#core';
import type {ChainMaker} from '#placement';
import {makeFingerprint} from '#quarantine';

/** How an attempt ended. */
export type AttemptEnd = Readonly<{
	cause: AttemptCause;
	/** Whether any part of an answer arrived. */
	answered: boolean;
	/** Incarnation of the target that ran it, as far as known. */
	incarnation: string;
	/** When the target wants to be asked again, in milliseconds. */
	retryAfterMs?: number;
}>;

const maxAttempts = 16;
const maxIdleAttempts = 5;
const maxRounds = 2;

/** State of one request. */
export class Progress {
	readonly request: RoutedRequest;
	/** Makes the prompt's chain for a weights version; absent for plain services. */
	readonly makeChain: ChainMaker | undefined;
	readonly answer: Answer;
	/** Recognises the request when it is sent again. */
	readonly fingerprint: string;
	/** Targets that are not tried again in this round. */
	readonly excluded = new Set<string>();
	ran: RunState = 'not_run';
	reason: RefusalReason = 'no_target';
	retryAfterMs: number | undefined;
	/** Whether the next connection must be new. */
	needsFresh: boolean;
	#attempts = 0;
	#idleAttempts = 0;
	#resumed = false;
	#rounds = 0;
	#offset = 0;

	constructor(request: RoutedRequest, makeChain: ChainMaker | undefined, answer: Answer) {
		this.request = request;
		this.makeChain = makeChain;
		this.answer = answer;
		this.fingerprint = makeFingerprint(request);
		this.needsFresh = !request.repeatable;
	}

	/** Attempts in a row that brought nothing new. */
	get idleAttempts(): number {
		return this.#idleAttempts;
	}

	/** Whether no further attempt is due. */
	get isSpent(): boolean {
		return this.#attempts >= maxAttempts || this.#idleAttempts >= maxIdleAttempts;
	}

	/** Takes in the end of an attempt; a cause that proves nothing about running does not hide one that does. */
	recordEnd({cause, answered, retryAfterMs}: AttemptEnd): void {
		const {reason, outcome} = causeRules[cause];
		const ran = classifyRun(cause, answered);
		if (ran !== 'not_run' || this.ran === 'not_run') {
			this.reason = reason;
		}

		this.ran = mergeRunStates(this.ran, ran);
		this.retryAfterMs = retryAfterMs ?? this.retryAfterMs;
		this.needsFresh ||= outcome === 'unknown';
		this.#attempts++;
		const offset = this.answer.readOffset();
		const hasMoved = offset > this.#offset;
		this.#offset = offset;
		this.#idleAttempts = hasMoved ? 0 : this.#idleAttempts + 1;
		this.#resumed &&= !hasMoved;
	}

	/** Asks for one more attempt on the same target; granted once until the answer has moved on. */
	takeResume(): boolean {
		const granted = !this.#resumed;
		this.#resumed = true;
		return granted;
	}

	/** Makes all targets eligible again, a bounded number of times. */
	beginRound(): boolean {
		if (this.#rounds >= maxRounds || this.excluded.size === 0) {
			return false;
		}

		this.#rounds++;
		this.excluded.clear();
		return true;
	}
}
