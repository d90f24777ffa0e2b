/** What is known of one request over all its attempts. */
import type {AttemptEnd} from './_attempt.ts';
import type {TargetChoice} from './choose-target.ts';
import type {RelayPool, RelayRequest, RunState} from '#core';
import {classifyRun, mergeRunStates, type AttemptCause} from '#dispatch';

/** An attempt as the log shows it. */
export type AttemptNote = Readonly<{
	target: string;
	/** Expected time until the answer begins with the prices of the choice, in milliseconds. */
	costMs: number;
	/** Expected wait behind other requests, in milliseconds. */
	queueMs: number;
	/** Age of the target's last word on its load, in milliseconds; absent where it has said nothing. */
	loadAgeMs: number | undefined;
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
	/** What became of each attempt, for the log. */
	readonly attempts: AttemptNote[] = [];
	/** Requests sent to targets, whatever became of them. */
	sends = 0;
	/** Targets that may have run it. */
	runs = 0;
	ran: RunState = 'not_run';
	/** How the last attempt ended, or why there was none. */
	cause: AttemptCause | 'none' | 'full' | 'overloaded' | 'quarantined' = 'none';
	/** When a refused caller should come back, in milliseconds; absent where nothing is known. */
	returnMs: number | undefined;

	constructor(request: RelayRequest, pool: RelayPool) {
		this.request = request;
		this.pool = pool;
	}

	/** Takes in how an attempt ended. */
	noteAttempt(choice: TargetChoice, startMs: number, endMs: number, end: AttemptEnd | undefined): void {
		const {target} = choice.state;
		this.attempts.push({
			target: target.id, costMs: Math.round(choice.costMs), queueMs: Math.round(choice.queueMs), loadAgeMs: readAge(choice, startMs), weights: choice.weights, unreadTokens: choice.unreadTokens,
			source: choice.source?.target.id, fromMs: Math.round(startMs - this.request.arrivedMs), toMs: Math.round(endMs - this.request.arrivedMs),
			end: end?.cause ?? 'answered', ...(end ? {detail: end.detail} : {}),
		});
		if (!end) {
			return;
		}

		const ran = classifyRun(end.cause, false);
		this.excluded.add(target.id);
		this.cause = end.cause;
		this.ran = mergeRunStates(this.ran, ran);
		this.runs += ran === 'not_run' ? 0 : 1;
		this.sends += end.cause === 'not_sent' ? 0 : 1;
	}
}

function readAge({state: {loadAtMs}}: TargetChoice, nowMs: number): number | undefined {
	return Number.isFinite(loadAtMs) ? Math.max(0, Math.round(nowMs - loadAtMs)) : undefined;
}
