/** What is known of one request over all its attempts. */
import type {RelayPool, RelayRequest, RunState} from '#core';
import {classifyRun, mergeRunStates, type AttemptCause} from '#dispatch';

/** An attempt as the log shows it. */
export type AttemptNote = Readonly<{
	target: string;
	/** Expected time until the answer begins, with the prices of the choice, in milliseconds. */
	costMs: number;
	/** Version of the weights that was assumed. */
	weights: number | undefined;
	/** Prompt tokens that the target was expected to read. */
	unreadTokens: number;
	/** Target from which parts could be fetched. */
	source: string | undefined;
	/** Time from the request's arrival to the attempt's start and to its end, in milliseconds. */
	fromMs: number;
	toMs: number;
	end: string;
	detail?: string;
}>;

/** State of one request. */
export class RelayProgress {
	readonly request: RelayRequest;
	readonly pool: RelayPool;
	/** Targets that are not tried again. */
	readonly excluded = new Set<string>();
	/** Requests sent to targets, whatever became of them. */
	sends = 0;
	/** Targets that may have run it. */
	runs = 0;
	ran: RunState = 'not_run';
	/** How the last attempt ended. */
	cause: AttemptCause | 'none' = 'none';
	retryAfterMs: number | undefined;
	/** What became of each attempt, for the log. */
	readonly attempts: AttemptNote[] = [];

	constructor(request: RelayRequest, pool: RelayPool) {
		this.request = request;
		this.pool = pool;
	}

	/** Takes in the end of an attempt. */
	noteEnd(target: string, cause: AttemptCause, retryAfterMs: number | undefined): void {
		const ran = classifyRun(cause, false);
		this.excluded.add(target);
		this.cause = cause;
		this.ran = mergeRunStates(this.ran, ran);
		this.runs += ran === 'not_run' ? 0 : 1;
		this.sends -= cause === 'not_sent' ? 1 : 0;
		this.retryAfterMs = retryAfterMs ?? this.retryAfterMs;
	}
}
