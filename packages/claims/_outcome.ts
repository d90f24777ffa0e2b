/** What a claim's record says once its request has ended. */
import {buildKeptAnswer} from './_kept-answer.ts';
import type {ClaimRecord} from './record.ts';
import {makeRefusal, type AnswerEvent} from '#core';

/** Whether an event closes an answer. */
export function isLast(event: AnswerEvent | undefined): boolean {
	return event?.kind === 'end' || event?.kind === 'refused';
}

/**
 * Builds the final record from the answer's events. A refusal counts as not run
 * only where nothing of an answer came before it.
 */
export function buildFinalRecord(claimed: ClaimRecord, events: readonly AnswerEvent[]): ClaimRecord {
	const {
		fingerprint, owner, nonce, endsWallMs, expiresWallMs,
	} = claimed;
	const base = {
		fingerprint, owner, nonce, endsWallMs, expiresWallMs,
	};
	const last = events.at(-1);
	if (last?.kind === 'end') {
		return {...base, state: 'answered', answer: buildKeptAnswer(events)};
	}

	if (last?.kind !== 'refused' || last.refusal.ran === 'unknown') {
		return {...base, state: 'unknown'};
	}

	const {reason, ran} = last.refusal;
	if (ran === 'ran') {
		return {...base, state: 'failed', failure: {reason, ran}};
	}

	return {...base, state: events.length === 1 ? 'released' : 'unknown'};
}

/** The event that tells a caller that an earlier request may have run. */
export function makeUnknownEvent(): AnswerEvent {
	return {kind: 'refused', refusal: makeRefusal('outcome_unknown')};
}
