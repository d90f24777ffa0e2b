/** Decides from another claim's record what a request with the same key is told. */
import {Backoff} from './_backoff.ts';
import type {ClaimJob, ClaimParts, SettledClaim} from './_job.ts';
import {readKeptAnswer} from './_kept-answer.ts';
import {makeUnknownEvent} from './_outcome.ts';
import {parseRecord, type ClaimRecord} from './record.ts';
import {makeRefusal, type AnswerEvent} from '#core';
import {commitChange, type StoredObject} from '#object-store';

/** The key may be claimed at this version of its record. */
export type FreeClaim = Readonly<{kind: 'free'; version: number}>;

type StateOf<State extends ClaimRecord['state']> = Extract<ClaimRecord, {state: State}>;
type FinalState = Exclude<ClaimRecord['state'], 'claimed' | 'released'>;
type FinalHandlers = Readonly<{[State in FinalState]: (record: StateOf<State>) => SettledClaim}>;

const firstPollMs = 50;
const maxPollMs = 1000;
const retryAfterMs = 1000;

const finalHandlers: FinalHandlers = {
	answered: ({answer}) => settle('replayed', readKeptAnswer(answer)),
	failed: ({failure}) => settle('replayed', [{kind: 'refused', refusal: makeRefusal(failure.reason, {ran: failure.ran})}]),
	unknown: () => settle('unknown', [makeUnknownEvent()]),
};

/** Looks at the record in the way, and waits while its request runs elsewhere. */
export async function examineRecord(parts: ClaimParts, job: ClaimJob, stored: StoredObject | undefined): Promise<FreeClaim | SettledClaim> {
	const backoff = new Backoff(parts.random, firstPollMs, maxPollMs);
	let current = stored;
	for (;;) {
		if (!current) {
			return {kind: 'free', version: 0};
		}

		const record = parseRecord(current.value);
		const verdict = record ? judgeRecord(parts, job, record, current.version) : settle('unknown', [makeUnknownEvent()]);
		if (verdict !== 'running') {
			return verdict;
		}

		const waitMs = backoff.take();
		if (parts.stopping.aborted || parts.clock.now() + waitMs >= job.request.deadlineMs) {
			return settle('running', [{kind: 'refused', refusal: makeRefusal('claim_in_progress', {retryAfterMs})}]);
		}

		await parts.clock.sleep(waitMs, parts.stopping);
		current = await readNext(parts, record!, current);
	}
}

function judgeRecord({owner}: ClaimParts, job: ClaimJob, record: ClaimRecord, version: number): FreeClaim | SettledClaim | 'running' {
	if (record.fingerprint !== job.fingerprint) {
		return settle('reused', [{kind: 'refused', refusal: makeRefusal('idempotency_key_reused')}]);
	}

	if (record.state === 'released') {
		return {kind: 'free', version};
	}

	if (record.state === 'claimed') {
		// This process has one job for each key until its outcome is recorded: a claim of its own that is met here never ran.
		return record.owner.incarnation === owner.incarnation ? {kind: 'free', version} : 'running';
	}

	const handler = finalHandlers[record.state] as (record: ClaimRecord) => SettledClaim; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the handler is looked up by the record's own state
	return handler(record);
}

/** Reads the record again; marks it unknown once nobody runs its request. */
async function readNext({platform, owners}: ClaimParts, record: ClaimRecord, current: StoredObject): Promise<StoredObject | undefined> {
	const stored = await platform.get(current.key);
	if (!stored.ok) {
		return current;
	}

	if (stored.value?.version !== current.version || !owners.isOver(record)) {
		return stored.value;
	}

	const value = JSON.stringify({...record, state: 'unknown'});
	const change = await commitChange(platform, {key: current.key, value, ifVersion: current.version});
	if (!change.ok) {
		return current;
	}

	return change.value.kind === 'conflict' ? change.value.current : {...current, value, version: change.value.version};
}

function settle(result: string, events: readonly AnswerEvent[]): SettledClaim {
	return {kind: 'done', result, events};
}
