/** What is known of one request over all its attempts. */
import type {RelayRequest, RunState} from '#core';
import {classifyRun, mergeRunStates, type AttemptCause} from '#dispatch';

/** State of one request. */
export class RelayProgress {
	readonly request: RelayRequest;
	readonly pool: string;
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

	constructor(request: RelayRequest, pool: string) {
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
