/** Records the outcome of a claim and retries until the platform accepts the write. */
import {Backoff} from './_backoff.ts';
import type {ClaimJob, ClaimContext, HeldClaim} from './_job.ts';
import {createFinalRecord} from './_final-record.ts';
import {parseClaimRecord} from './record.ts';
import {commitChange} from '#object-store';

const firstRetryMs = 50;
const maxRetryMs = 5000;

/**
 * Writes the final record, retrying until the instance stops. Overwrites a
 * record of the same claim that a peer has marked unknown, since this instance
 * knows the outcome. Does not overwrite the record of another claim.
 */
export async function recordOutcome(context: ClaimContext, job: ClaimJob, held: HeldClaim): Promise<void> {
	const {clock, platform, random, telemetry, stopSignal} = context;
	const finalRecord = createFinalRecord(held.record, job.answer.events);
	const value = JSON.stringify(finalRecord);
	const backoff = new Backoff(random, firstRetryMs, maxRetryMs);
	let {version} = held;
	for (;;) {
		const change = await commitChange(platform, {key: job.key, value, ifVersion: version});
		if (change.ok && change.value.kind === 'committed') {
			telemetry.count('claim_writes_total', {result: finalRecord.state});
			return;
		}

		if (change.ok && change.value.kind === 'conflict') {
			const {current} = change.value;
			if (!current || parseClaimRecord(current.value)?.nonce !== held.record.nonce) {
				telemetry.count('claim_writes_total', {result: 'overtaken'});
				return;
			}

			version = current.version;
			continue;
		}

		telemetry.count('claim_writes_total', {result: 'retried'});
		if (stopSignal.aborted) {
			return;
		}

		await clock.sleep(backoff.computeNextDelayMs(), stopSignal);
	}
}
