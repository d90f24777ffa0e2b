/**
 * Acquires the claim of a key. A claim is a conditional write with a nonce, so
 * that only one of several competing instances succeeds. The other instances
 * read the outcome from the record of the successful one.
 */
import {Backoff} from './_backoff.ts';
import {resolveConflict} from './_resolve-conflict.ts';
import type {
	ClaimJob, ClaimContext, HeldClaim, AnswerWithoutRun,
} from './_job.ts';
import type {ClaimRecord} from './record.ts';
import {createRefusal} from '#core';
import {commitChange, type StoreFailure} from '#object-store';

const firstRetryMs = 20;
const maxRetryMs = 400;

/**
 * Acquires the claim of the job's key. Retries while the platform fails, for at
 * most `acquireTimeoutMs` and at most half of the time left until the request's
 * deadline.
 */
export async function acquireClaim(context: ClaimContext, job: ClaimJob): Promise<HeldClaim | AnswerWithoutRun> {
	const {clock, random, platform} = context;
	const record = createClaimedRecord(context, job);
	const value = JSON.stringify(record);
	const startMs = clock.now();
	const acquireDeadlineMs = startMs + Math.min(context.acquireTimeoutMs, (job.request.deadlineMs - startMs) / 2);
	const backoff = new Backoff(random, firstRetryMs, maxRetryMs);
	let ifVersion = 0;
	let isUncertain = false;
	for (;;) {
		const change = await commitChange(platform, {key: job.key, value, ifVersion});
		if (!change.ok) {
			isUncertain ||= change.error.kind === 'unknown';
			const waitMs = change.error.retryAfterMs ?? backoff.computeNextDelayMs();
			if (context.waitSignal.aborted || clock.now() + waitMs >= acquireDeadlineMs) {
				return refuseClaim(change.error, isUncertain);
			}

			await clock.sleep(waitMs, context.waitSignal);
			continue;
		}

		if (change.value.kind === 'committed') {
			return {
				kind: 'held', result: ifVersion === 0 ? 'claimed' : 'reclaimed', record, version: change.value.version,
			};
		}

		const resolution = await resolveConflict(context, job, change.value.current);
		if (resolution.kind === 'done') {
			return resolution;
		}

		ifVersion = resolution.version;
	}
}

function createClaimedRecord({clock, random, owner, retentionMs}: ClaimContext, job: ClaimJob): ClaimRecord {
	const wallMs = clock.getWallTimeMs();
	return {
		state: 'claimed', fingerprint: job.fingerprint, owner, nonce: random.createId(),
		endsWallMs: wallMs + (job.request.deadlineMs - clock.now()), expiresWallMs: wallMs + retentionMs,
	};
}

/**
 * Refuses a request whose claim could not be written. It is harmless if a write
 * still takes effect later: this instance does not run the request for that
 * claim, and replaces the claim when it receives a re-send.
 */
function refuseClaim(failure: StoreFailure, isUncertain: boolean): AnswerWithoutRun {
	const retryAfterMs = failure.retryAfterMs ?? maxRetryMs;
	return {
		kind: 'done',
		result: isUncertain ? 'abandoned' : 'unavailable',
		events: [{kind: 'refused', refusal: createRefusal('claims_unavailable', {retryAfterMs})}],
	};
}
