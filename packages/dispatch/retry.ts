/** The retry table: what follows from an attempt's outcome and from whether the request may be repeated. */
import type {AttemptOutcome, RefusalReason, RunState} from '#core';

/** Whether to try again, and what the caller is told if not. */
export type RetryDecision = Readonly<{
	retry: boolean;
	reason: RefusalReason;
	/** What this attempt says about whether the request ran. */
	ran: RunState;
}>;

type Row = Readonly<{repeatable: RetryDecision; once: RetryDecision}>;

const rows: Readonly<Record<Exclude<AttemptOutcome, 'answered'>, Row>> = {
	notSent: {
		repeatable: {retry: true, reason: 'no_target', ran: 'not_run'},
		once: {retry: true, reason: 'no_target', ran: 'not_run'},
	},
	refused: {
		repeatable: {retry: true, reason: 'target_refused', ran: 'not_run'},
		once: {retry: true, reason: 'target_refused', ran: 'not_run'},
	},
	failed: {
		repeatable: {retry: true, reason: 'target_failed', ran: 'ran'},
		once: {retry: false, reason: 'target_failed', ran: 'ran'},
	},
	unknown: {
		repeatable: {retry: true, reason: 'target_lost', ran: 'unknown'},
		once: {retry: false, reason: 'target_lost', ran: 'unknown'},
	},
};

/** Looks up what follows from an unsuccessful attempt. */
export function decideRetry(outcome: Exclude<AttemptOutcome, 'answered'>, repeatable: boolean): RetryDecision {
	return rows[outcome][repeatable ? 'repeatable' : 'once'];
}
