/**
 * The retry table: for each cause of a failed attempt, whether and where the
 * request is retried. A request that may not be repeated is retried only after
 * an attempt that provably did not run.
 */
import type {AttemptOutcome, RefusalReason, RunState} from '#core';

/** Where a retry runs: on the same target over a new connection, on another target, or nowhere. */
export type RetryPlace = 'same' | 'other' | 'never';

type CauseRule = Readonly<{
	outcome: Exclude<AttemptOutcome, 'answered'>;
	/** Reason of the refusal when there is no retry. */
	reason: RefusalReason;
	place: RetryPlace;
	/** Whether a retry may add load to the pool and therefore needs the retry budget. */
	isBudgeted: boolean;
}>;

/** Rules for each cause that can end an attempt without a complete answer. */
export const causeRules = {
	/** The connection could not be made. */
	not_sent: {
		outcome: 'notSent', reason: 'no_target', place: 'other', isBudgeted: false,
	},
	/** The target refused the request, which by contract means that the request did not run. */
	refused: {
		outcome: 'refused', reason: 'target_refused', place: 'other', isBudgeted: true,
	},
	/** The target reported a failure while running the request. */
	failed: {
		outcome: 'failed', reason: 'target_failed', place: 'other', isBudgeted: true,
	},
	/** The connection was lost because the target's process died. */
	crashed: {
		outcome: 'unknown', reason: 'target_lost', place: 'other', isBudgeted: true,
	},
	/** A crash was recorded against the same request elsewhere; this attempt was aborted before any part of its answer was delivered. */
	struck: {
		outcome: 'unknown', reason: 'target_lost', place: 'other', isBudgeted: false,
	},
	/** The connection was lost. */
	lost: {
		outcome: 'unknown', reason: 'target_lost', place: 'same', isBudgeted: true,
	},
	/** The target sent no frame within the silence time-out. */
	silent: {
		outcome: 'unknown', reason: 'target_lost', place: 'same', isBudgeted: true,
	},
	/** A frame carried the id of another attempt. */
	crossed: {
		outcome: 'unknown', reason: 'target_lost', place: 'same', isBudgeted: true,
	},
	/** The answer's offsets left a gap, or its text contradicts delivered text. */
	gap: {
		outcome: 'unknown', reason: 'target_lost', place: 'other', isBudgeted: true,
	},
	/** The target ended an answer without content. */
	empty: {
		outcome: 'failed', reason: 'target_failed', place: 'other', isBudgeted: true,
	},
	/** The target serves other weights than those of the placement. */
	stale_weights: {
		outcome: 'failed', reason: 'stale_weights', place: 'other', isBudgeted: true,
	},
	/** The answer exceeds the maximum length that this instance accepts. */
	too_long: {
		outcome: 'failed', reason: 'answer_too_long', place: 'never', isBudgeted: true,
	},
	/** This instance stops, and the answer has not come in time. */
	stopped: {
		outcome: 'unknown', reason: 'stopped', place: 'never', isBudgeted: false,
	},
	/** The request's deadline has passed, or the caller has left. */
	deadline: {
		outcome: 'unknown', reason: 'deadline_exceeded', place: 'never', isBudgeted: true,
	},
} as const satisfies Readonly<Record<string, CauseRule>>;

/** Code for the cause of a failed attempt; a label value of `retries_total`. */
export type AttemptCause = keyof typeof causeRules;

/** Decides whether and where a retry may run. */
export function decideRetry(cause: AttemptCause, isRepeatable: boolean): RetryPlace {
	const {outcome, place} = causeRules[cause];
	const isProvablyNotRun = outcome === 'notSent' || outcome === 'refused';
	return isRepeatable || isProvablyNotRun ? place : 'never';
}

/**
 * Determines from a failed attempt whether the request ran.
 *
 * @param hasAnswered whether any part of an answer to this attempt was received
 */
export function classifyRun(cause: AttemptCause, hasAnswered: boolean): RunState {
	const {outcome} = causeRules[cause];
	if (hasAnswered || outcome === 'failed') {
		return 'ran';
	}

	return outcome === 'unknown' ? 'unknown' : 'not_run';
}

/** Merges the run states of two attempts: `not_run` only if both are, `ran` if either is, else `unknown`. */
export function mergeRunStates(a: RunState, b: RunState): RunState {
	if (a === 'ran' || b === 'ran') {
		return 'ran';
	}

	return a === 'unknown' || b === 'unknown' ? 'unknown' : 'not_run';
}
