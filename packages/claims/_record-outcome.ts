/** Records what became of a claim, however long the platform takes to accept it. */
import {Backoff} from './_backoff.ts';
import type {ClaimJob, ClaimParts, HeldClaim} from './_job.ts';
import {buildFinalRecord} from './_outcome.ts';
import {parseRecord} from './record.ts';
import {commitChange} from '#object-store';

const firstRetryMs = 50;
const maxRetryMs = 5000;

/**
 * Writes the final record. A record that a peer marked unknown meanwhile is
 * overwritten, since this instance knows better; any other writer wins.
 */
export async function recordOutcome(parts: ClaimParts, job: ClaimJob, held: HeldClaim): Promise<void> {
	const {clock, platform, random, telemetry, stopping} = parts;
	const final = buildFinalRecord(held.record, job.answer.events);
	const value = JSON.stringify(final);
	const backoff = new Backoff(random, firstRetryMs, maxRetryMs);
	let {version} = held;
	for (;;) {
		const change = await commitChange(platform, {key: job.key, value, ifVersion: version});
		if (change.ok && change.value.kind === 'committed') {
			telemetry.count('claim_writes_total', {result: final.state});
			return;
		}

		if (change.ok && change.value.kind === 'conflict') {
			const {current} = change.value;
			if (!current || parseRecord(current.value)?.nonce !== held.record.nonce) {
				telemetry.count('claim_writes_total', {result: 'overtaken'});
				return;
			}

			version = current.version;
			continue;
		}

		telemetry.count('claim_writes_total', {result: 'retried'});
		if (stopping.aborted) {
			return;
		}

		await clock.sleep(backoff.take(), stopping);
	}
}
