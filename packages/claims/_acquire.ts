/**
 * Claims a key. The claim is a conditional write with a nonce: of any number of
 * instances one succeeds. Everything else is read from the record that won.
 */
import {Backoff} from './_backoff.ts';
import {examineRecord} from './_examine.ts';
import type {
	ClaimJob, ClaimParts, HeldClaim, SettledClaim,
} from './_job.ts';
import type {ClaimRecord} from './record.ts';
import {makeRefusal} from '#core';
import {commitChange, type StoreFailure} from '#object-store';

const firstRetryMs = 20;
const maxRetryMs = 400;

/** Claims the job's key, within a part of the time that its caller waits. */
export async function acquireClaim(parts: ClaimParts, job: ClaimJob): Promise<HeldClaim | SettledClaim> {
	const {clock, random, platform} = parts;
	const record = makeClaim(parts, job);
	const value = JSON.stringify(record);
	const startMs = clock.now();
	const giveUpMs = startMs + Math.min(parts.maxClaimMs, (job.request.deadlineMs - startMs) / 2);
	const backoff = new Backoff(random, firstRetryMs, maxRetryMs);
	let ifVersion = 0;
	let isUncertain = false;
	for (;;) {
		const change = await commitChange(platform, {key: job.key, value, ifVersion});
		if (!change.ok) {
			isUncertain ||= change.error.kind === 'unknown';
			const waitMs = change.error.retryAfterMs ?? backoff.take();
			if (parts.stopping.aborted || clock.now() + waitMs >= giveUpMs) {
				return refuseClaim(change.error, isUncertain);
			}

			await clock.sleep(waitMs, parts.stopping);
			continue;
		}

		if (change.value.kind === 'committed') {
			return {
				kind: 'held', result: ifVersion === 0 ? 'claimed' : 'reclaimed', record, version: change.value.version,
			};
		}

		const found = await examineRecord(parts, job, change.value.current);
		if (found.kind === 'done') {
			return found;
		}

		ifVersion = found.version;
	}
}

function makeClaim({clock, random, owner, retentionMs}: ClaimParts, job: ClaimJob): ClaimRecord {
	const wallMs = clock.wall();
	return {
		state: 'claimed', fingerprint: job.fingerprint, owner, nonce: random.id(),
		endsWallMs: wallMs + (job.request.deadlineMs - clock.now()), expiresWallMs: wallMs + retentionMs,
	};
}

/** A claim that may still take effect is harmless: its owner never runs it, and takes it over on a re-send. */
function refuseClaim(failure: StoreFailure, isUncertain: boolean): SettledClaim {
	const retryAfterMs = failure.retryAfterMs ?? maxRetryMs;
	return {
		kind: 'done',
		result: isUncertain ? 'abandoned' : 'unavailable',
		events: [{kind: 'refused', refusal: makeRefusal('claims_unavailable', {retryAfterMs})}],
	};
}
