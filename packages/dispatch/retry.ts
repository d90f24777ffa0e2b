/**
 * The retry table: what follows from the way an attempt ended and from whether
 * the request may be repeated. A request that may not be repeated goes on only
 * after an attempt that provably did not run.
 */
import type {AttemptOutcome, RefusalReason, RunState} from '#core';

/** Where a further attempt goes: to the same target over a new connection, to another target, or nowhere. */
export type RetryPlace = 'same' | 'other' | 'never';

type CauseRule = Readonly<{
	outcome: Exclude<AttemptOutcome, 'answered'>;
	/** What the caller is told when no further attempt is made. */
	reason: RefusalReason;
	place: RetryPlace;
	/** Whether a further attempt may add load to the pool and so draws on the retry budget. */
	budgeted: boolean;
}>;

/** Every way in which an attempt can end without a complete answer. */
export const causeRules = {
	/** The connection could not be made. */
	not_sent: {
		outcome: 'notSent', reason: 'no_target', place: 'other', budgeted: false,
	},
	/** The target's contract says that it did not run the request. */
	refused: {
		outcome: 'refused', reason: 'target_refused', place: 'other', budgeted: true,
	},
	/** The target said that it failed while running the request. */
	failed: {
		outcome: 'failed', reason: 'target_failed', place: 'other', budgeted: true,
	},
	/** The connection was lost because the target's process died. */
	crashed: {
		outcome: 'unknown', reason: 'target_lost', place: 'other', budgeted: true,
	},
	/** Another instance saw a target crash under the same request; this one is taken back before its first byte. */
	struck: {
		outcome: 'unknown', reason: 'target_lost', place: 'other', budgeted: false,
	},
	/** The connection was lost. */
	lost: {
		outcome: 'unknown', reason: 'target_lost', place: 'same', budgeted: true,
	},
	/** The connection stayed silent beyond its bound. */
	silent: {
		outcome: 'unknown', reason: 'target_lost', place: 'same', budgeted: true,
	},
	/** The answer carried the id of another attempt. */
	crossed: {
		outcome: 'unknown', reason: 'target_lost', place: 'same', budgeted: true,
	},
	/** The answer's offsets left a gap, or repeated other text than was delivered. */
	gap: {
		outcome: 'unknown', reason: 'target_lost', place: 'other', budgeted: true,
	},
	/** The target ended an answer that has no content. */
	empty: {
		outcome: 'failed', reason: 'target_failed', place: 'other', budgeted: true,
	},
	/** The target serves other weights than the pool's. */
	stale_weights: {
		outcome: 'failed', reason: 'stale_weights', place: 'other', budgeted: true,
	},
	/** The answer is longer than this instance accepts. */
	too_long: {
		outcome: 'failed', reason: 'answer_too_long', place: 'never', budgeted: true,
	},
	/** The route's time is over. */
	deadline: {
		outcome: 'unknown', reason: 'deadline_exceeded', place: 'never', budgeted: true,
	},
} as const satisfies Readonly<Record<string, CauseRule>>;

/** Code of a way in which an attempt ended; the label of the retry counter. */
export type AttemptCause = keyof typeof causeRules;

/** Looks up where a further attempt may go. */
export function decideRetry(cause: AttemptCause, repeatable: boolean): RetryPlace {
	const {outcome, place} = causeRules[cause];
	const provablyNotRun = outcome === 'notSent' || outcome === 'refused';
	return repeatable || provablyNotRun ? place : 'never';
}

/**
 * Tells what an attempt says about whether the request ran.
 *
 * @param answered whether any part of an answer to this attempt arrived
 */
export function classifyRun(cause: AttemptCause, answered: boolean): RunState {
	const {outcome} = causeRules[cause];
	if (answered || outcome === 'failed') {
		return 'ran';
	}

	return outcome === 'unknown' ? 'unknown' : 'not_run';
}

/** Joins what two attempts say: "not run" needs both, and a sure run outweighs an unknown one. */
export function mergeRunStates(a: RunState, b: RunState): RunState {
	if (a === 'ran' || b === 'ran') {
		return 'ran';
	}

	return a === 'unknown' || b === 'unknown' ? 'unknown' : 'not_run';
}
