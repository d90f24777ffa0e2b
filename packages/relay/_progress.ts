/** Tracks the state of one request over all its attempts. */
import type {BodyRecord} from './_answer-body.ts';
import type {AttemptResult} from './_attempt.ts';
import type {TargetStatement} from './dialect.ts';
import type {PeerAttemptResult} from './_peer-attempt.ts';
import type {TargetChoice} from './choose-target.ts';
import type {
	Refusal, RelayPool, RelayRequest, RunState,
} from '#core';
import type {Peer} from '#peer-protocol';
import {classifyRun, mergeRunStates, type AttemptCause} from '#dispatch';

/** One attempt as written to the log. */
export type AttemptRecord = Readonly<{
	target: string;
	/** Cost of the chosen target: expected time until the answer starts, plus cost terms, in milliseconds. */
	costMs: number;
	/** Expected time in the queue behind other requests, in milliseconds. */
	queueMs: number;
	/** Age of the last load that the target reported, in milliseconds; `undefined` if it has reported none. */
	loadAgeMs: number | undefined;
	/** Version of the weights that the target was expected to serve. */
	weights: number | undefined;
	/** Time for which these weights were taken to be stale, in milliseconds; `undefined` if they were not. */
	staleMs: number | undefined;
	/** Version of the target's software. */
	software: string;
	/** Prompt tokens that the target was expected to read, as they were not cached. */
	unreadTokens: number;
	/** Target from which cached parts of the prompt could be fetched. */
	source: string | undefined;
	/** Times from the request's arrival to the start and the end of the attempt, in milliseconds. */
	fromMs: number;
	toMs: number;
	/** Whether a connection was opened for the attempt, or one reused that had carried an earlier exchange. */
	connection: 'new' | 'reused';
	/** Status of the answer; absent if there was none. */
	status?: number;
	/** Whether the answer names a request; absent if there was no answer. */
	isNamed?: boolean;
	/** What the target states about itself in its answer; absent if it states nothing. */
	statement?: TargetStatement;
	/** Cause of the failure, or `answered`. */
	end: string;
	detail?: string;
	/** What was received of the answer's body; absent if there was no answer. */
	body?: BodyRecord;
}>;

/** One attempt through a peer as written to the log. */
export type PeerAttemptRecord = Readonly<{
	/** Name of the peer. */
	peer: string;
	/** Targets that the request may have reached through it. */
	targets: readonly string[];
	fromMs: number;
	toMs: number;
	/** Cause of the failure, the reason of the refusal, or `answered`. */
	end: string;
	detail?: string;
	body?: BodyRecord;
}>;

export class RelayProgress {
	readonly request: RelayRequest;
	readonly pool: RelayPool;
	/** Ids of targets that are not tried again. */
	readonly excluded = new Set<string>();
	/** All attempts so far, for the log. */
	readonly attempts: Array<AttemptRecord | PeerAttemptRecord> = [];
	/** Incarnations of the peers through which the request was tried. */
	readonly triedPeers = new Set<string>();
	/** Targets that want requests of other instances only, as the instances share what these take; none unless the last choice has found no other target. */
	sharedTargets: readonly string[] = [];
	/** Refusal by the last of them; absent after any other attempt. */
	peerRefusal: Refusal | undefined;
	/** Time that all attempts took whose request could not be sent, in milliseconds. */
	unsentMs = 0;
	/** Number of failed attempts whose request may have reached a target. */
	sentAttempts = 0;
	/** Number of failed attempts that may have run the request. */
	possibleRuns = 0;
	/** Whether an attempt is in progress whose outcome is not recorded yet. */
	isSending = false;
	/** What is known about whether the request has run, over all failed attempts. */
	runState: RunState = 'not_run';
	/**
	 * Why the last attempt failed, or why no target was tried: `none` if no target
	 * is usable, `origin_gone` if none has the software version that began the
	 * stream, `full` if all usable targets have no connection free, `limited` if
	 * their stated limits are reached, `stopping` if this instance stops, `escaped` if it has
	 * failed itself.
	 */
	cause: AttemptCause | 'none' | 'origin_gone' | 'full' | 'limited' | 'overloaded' | 'quarantined' | 'stopping' | 'escaped' = 'none';
	/** Only version of the targets' software that may run the request: that of the target which began the stream; `undefined` if any may. */
	softwareVersion: string | undefined;
	/** Key of the prompt part for which no further target is tried. */
	quarantinedPart: string | undefined;
	/** Time after which a refused caller should retry, in milliseconds; `undefined` if not known. */
	retryAfterMs: number | undefined;

	constructor(request: RelayRequest, pool: RelayPool) {
		this.request = request;
		this.pool = pool;
		this.softwareVersion = request.softwareVersion;
	}

	/** Marks the request as failed by an error of this instance; it may have run if an attempt was in progress. */
	markEscaped(): void {
		this.runState = this.isSending ? mergeRunStates(this.runState, 'unknown') : this.runState;
		this.cause = 'escaped';
		this.peerRefusal = undefined;
	}

	/** Records a finished attempt. */
	recordAttempt(choice: TargetChoice, startMs: number, endMs: number, {failure, isNewConnection, status, isNamed, body, statement}: AttemptResult): void {
		const {target} = choice.state;
		this.attempts.push({
			target: target.id, costMs: Math.round(choice.costMs), queueMs: Math.round(choice.queueMs), loadAgeMs: computeLoadAgeMs(choice, startMs),
			weights: choice.weights, staleMs: choice.stalenessMs === undefined ? undefined : Math.round(choice.stalenessMs), software: target.softwareVersion,
			unreadTokens: choice.unreadTokens, source: choice.source?.id,
			fromMs: Math.round(startMs - this.request.arrivedMs), toMs: Math.round(endMs - this.request.arrivedMs),
			connection: isNewConnection ? 'new' : 'reused', ...(status !== undefined && {status, isNamed}),
			end: failure?.cause ?? 'answered', ...(failure ? {detail: failure.detail} : {}), ...(body ? {body} : {}), ...(statement && {statement}),
		});
		this.peerRefusal = undefined;
		if (!failure) {
			return;
		}

		this.unsentMs += failure.cause === 'not_sent' ? endMs - startMs : 0;
		// The relay does not record whether a part of the answer was received before the failure.
		const runState = classifyRun(failure.cause, false);
		this.excluded.add(target.id);
		this.cause = failure.cause;
		this.runState = mergeRunStates(this.runState, runState);
		this.possibleRuns += runState === 'not_run' ? 0 : 1;
		this.sentAttempts += failure.cause === 'not_sent' ? 0 : 1;
	}

	/** Records a finished attempt through a peer. */
	recordPeerAttempt({name}: Peer, startMs: number, endMs: number, {failure, refusal, targets, body}: PeerAttemptResult): void {
		this.attempts.push({
			peer: name, targets: [...targets], fromMs: Math.round(startMs - this.request.arrivedMs), toMs: Math.round(endMs - this.request.arrivedMs),
			end: failure?.cause ?? refusal?.reason ?? 'answered', ...(failure ? {detail: failure.detail} : {}), ...(body ? {body} : {}),
		});
		this.peerRefusal = refusal;
		if (failure) {
			this.cause = failure.cause;
		}

		const runState = refusal?.ran ?? (failure ? classifyRun(failure.cause, false) : 'ran');
		this.runState = mergeRunStates(this.runState, runState);
		// Without news of a target, the peer may have lost its link just after it had sent the request to one.
		this.possibleRuns += runState === 'not_run' ? 0 : Math.max(1, targets.length);
		this.sentAttempts += runState === 'not_run' && targets.length === 0 ? 0 : 1;
	}
}

function computeLoadAgeMs({state: {loadReceivedMs}}: TargetChoice, nowMs: number): number | undefined {
	return Number.isFinite(loadReceivedMs) ? Math.max(0, Math.round(nowMs - loadReceivedMs)) : undefined;
}
