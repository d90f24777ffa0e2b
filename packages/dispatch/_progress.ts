/** Tracks one request over all its attempts: what has run, which targets are excluded, and whether attempts remain. */
import type {Answer} from './_answer.ts';
import {
	causeRules, classifyRun, mergeRunStates, type AttemptCause,
} from './retry.ts';
import {
	hash64, type Prompt, type RefusalReason, type RoutedRequest, type RunState,
} from '#core';
import type {ChainFactory} from '#placement';
import {computeFingerprint} from '#quarantine';

/** An attempt that ended without a complete answer. */
export type AttemptFailure = Readonly<{
	cause: AttemptCause;
	/** Whether any part of an answer was received. */
	hasAnswered: boolean;
	/** Incarnation of the target that ran the attempt; empty when it is not known. */
	incarnation: string;
	/** Time after which the target may be tried again, as it stated, in milliseconds. */
	retryAfterMs?: number;
}>;

const maxAttempts = 16;
const maxAttemptsWithoutProgress = 5;
const maxExtraRounds = 2;

export class Progress {
	readonly request: RoutedRequest;
	/** Creates the prompt's chain for a weights version; absent for plain services. */
	readonly createChain: ChainFactory | undefined;
	readonly answer: Answer;
	/** Identifies the request in the quarantine; equal when the same request is submitted again. */
	readonly fingerprint: string;
	/** The messages of a chat as parts of a prompt, for the quarantine; absent for plain services. */
	readonly prompt: Prompt | undefined;
	/** Time after which the request may be retried if a message of it is quarantined, in milliseconds. */
	partRetryAfterMs: number | undefined;
	/** Names of targets that are not tried again in this round. */
	readonly excluded = new Set<string>();
	/** Whether any attempt has run; part of the refusal. */
	ran: RunState = 'not_run';
	/** Reason of the refusal if there is no further attempt. */
	reason: RefusalReason = 'no_target';
	/** Retry-after time that a target stated last, in milliseconds. */
	retryAfterMs: number | undefined;
	/** Whether the next attempt needs a new connection, so that a failed connect proves that nothing was sent. */
	shouldUseNewConnection: boolean;
	#attempts = 0;
	#attemptsWithoutProgress = 0;
	#hasResumed = false;
	#extraRounds = 0;
	/** Length of the delivered text when the last attempt failed, in bytes. */
	#offset = 0;

	constructor(request: RoutedRequest, createChain: ChainFactory | undefined, answer: Answer) {
		this.request = request;
		this.createChain = createChain;
		this.answer = answer;
		this.fingerprint = computeFingerprint(request);
		this.prompt = createPrompt(request);
		this.shouldUseNewConnection = !request.isRepeatable;
	}

	/** Number of consecutive attempts that delivered no new text. */
	get attemptsWithoutProgress(): number {
		return this.#attemptsWithoutProgress;
	}

	/** Whether the maximum number of attempts is reached. */
	get isExhausted(): boolean {
		return this.#attempts >= maxAttempts || this.#attemptsWithoutProgress >= maxAttemptsWithoutProgress;
	}

	/** Records a failed attempt. The reason of an attempt that did not run does not replace that of one that ran or may have run. */
	recordFailure({cause, hasAnswered, retryAfterMs}: AttemptFailure): void {
		const {reason, outcome} = causeRules[cause];
		const ran = classifyRun(cause, hasAnswered);
		if (ran !== 'not_run' || this.ran === 'not_run') {
			this.reason = reason;
		}

		this.ran = mergeRunStates(this.ran, ran);
		this.retryAfterMs = retryAfterMs ?? this.retryAfterMs;
		this.shouldUseNewConnection ||= outcome === 'unknown';
		this.#attempts++;
		const offset = this.answer.getOffset();
		const hasAdvanced = offset > this.#offset;
		this.#offset = offset;
		this.#attemptsWithoutProgress = hasAdvanced ? 0 : this.#attemptsWithoutProgress + 1;
		this.#hasResumed &&= !hasAdvanced;
	}

	/** Acquires the right to one more attempt on the same target; granted again only after new text was delivered. */
	acquireResume(): boolean {
		const isGranted = !this.#hasResumed;
		this.#hasResumed = true;
		return isGranted;
	}

	/**
	 * Starts a new round, in which no target is excluded.
	 *
	 * @returns `false` after {@link maxExtraRounds} rounds, or if no target was excluded
	 */
	startRound(): boolean {
		if (this.#extraRounds >= maxExtraRounds || this.excluded.size === 0) {
			return false;
		}

		this.#extraRounds++;
		this.excluded.clear();
		return true;
	}
}

function createPrompt({pool, work}: RoutedRequest): Prompt | undefined {
	return work.kind === 'chat'
		? {
			model: pool.model ?? pool.name, inputTokens: 0, maxOutputTokens: work.maxTokens,
			parts: work.messages.map(({role, content}) => ({key: hash64(`${role}\n${content}`), tokens: 0})),
		}
		: undefined;
}
