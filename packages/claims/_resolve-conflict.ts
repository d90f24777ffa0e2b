/** Resolves the conflict of a request with an existing claim record of the same key. */
import {Backoff} from './_backoff.ts';
import type {ClaimJob, ClaimContext, AnswerWithoutRun} from './_job.ts';
import {decodeStoredAnswer} from './_stored-answer.ts';
import {createUnknownOutcomeEvent} from './_final-record.ts';
import {parseClaimRecord, type ClaimRecord} from './record.ts';
import {createRefusal, type AnswerEvent} from '#core';
import {commitChange, type StoredObject} from '#object-store';

/** A key whose record may be replaced by a new claim if it still has this version; version 0 means that there is no record. */
export type FreeKey = Readonly<{kind: 'free'; version: number}>;

type RecordInState<State extends ClaimRecord['state']> = Extract<ClaimRecord, {state: State}>;
type FinalState = Exclude<ClaimRecord['state'], 'claimed' | 'released'>;
type FinalHandlers = Readonly<{[State in FinalState]: (record: RecordInState<State>) => AnswerWithoutRun}>;

const firstPollIntervalMs = 50;
const maxPollIntervalMs = 1000;
const retryAfterMs = 1000;

const finalHandlers: FinalHandlers = {
	answered: ({answer}) => createAnswerWithoutRun('replayed', decodeStoredAnswer(answer)),
	failed: ({failure}) => createAnswerWithoutRun('replayed', [{kind: 'refused', refusal: createRefusal(failure.reason, {ran: failure.ran})}]),
	unknown: () => createAnswerWithoutRun('unknown', [createUnknownOutcomeEvent()]),
};

/**
 * Resolves a conflict with a stored record. Polls the record while its request
 * runs on another instance. Returns the outcome of that run, or the version of
 * the record if the key may be claimed again.
 *
 * @param stored the record that the platform reported, or `undefined` if none exists any more
 */
export async function resolveConflict(context: ClaimContext, job: ClaimJob, stored: StoredObject | undefined): Promise<FreeKey | AnswerWithoutRun> {
	const backoff = new Backoff(context.random, firstPollIntervalMs, maxPollIntervalMs);
	let current = stored;
	for (;;) {
		if (!current) {
			return {kind: 'free', version: 0};
		}

		const record = parseClaimRecord(current.value);
		const resolution = record ? resolveRecord(context, job, record, current.version) : createAnswerWithoutRun('unknown', [createUnknownOutcomeEvent()]);
		if (resolution !== 'running') {
			return resolution;
		}

		const waitMs = backoff.computeNextDelayMs();
		if (context.waitSignal.aborted || context.clock.now() + waitMs >= job.request.deadlineMs) {
			return createAnswerWithoutRun('running', [{kind: 'refused', refusal: createRefusal('claim_in_progress', {retryAfterMs})}]);
		}

		await context.clock.sleep(waitMs, context.waitSignal);
		current = await pollRecord(context, record!, current);
	}
}

function resolveRecord({owner}: ClaimContext, job: ClaimJob, record: ClaimRecord, version: number): FreeKey | AnswerWithoutRun | 'running' {
	if (record.fingerprint !== job.fingerprint) {
		return createAnswerWithoutRun('reused', [{kind: 'refused', refusal: createRefusal('idempotency_key_reused')}]);
	}

	if (record.state === 'released') {
		return {kind: 'free', version};
	}

	if (record.state === 'claimed') {
		// This process has only one job per key until the outcome is recorded. A claim of this process is therefore from an earlier write whose request never ran.
		return record.owner.incarnation === owner.incarnation ? {kind: 'free', version} : 'running';
	}

	const handler = finalHandlers[record.state] as (record: ClaimRecord) => AnswerWithoutRun; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the handler is looked up by the record's own state
	return handler(record);
}

/** Reads the record again, and marks its outcome unknown once the claim is orphaned. */
async function pollRecord({platform, ownerMonitor}: ClaimContext, record: ClaimRecord, current: StoredObject): Promise<StoredObject | undefined> {
	const stored = await platform.get(current.key);
	if (!stored.ok) {
		return current;
	}

	if (stored.value?.version !== current.version || !ownerMonitor.isOrphaned(record)) {
		return stored.value;
	}

	const value = JSON.stringify({...record, state: 'unknown'});
	const change = await commitChange(platform, {key: current.key, value, ifVersion: current.version});
	if (!change.ok) {
		return current;
	}

	return change.value.kind === 'conflict' ? change.value.current : {...current, value, version: change.value.version};
}

function createAnswerWithoutRun(result: string, events: readonly AnswerEvent[]): AnswerWithoutRun {
	return {kind: 'done', result, events};
}
