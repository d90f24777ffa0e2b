/** The record that replaces a claim once its request has ended. */
import {encodeStoredAnswer} from './_stored-answer.ts';
import type {ClaimRecord} from './record.ts';
import {createRefusal, type AnswerEvent} from '#core';

/** Returns whether an event is the last one of an answer. */
export function isFinalEvent(event: AnswerEvent | undefined): boolean {
	return event?.kind === 'end' || event?.kind === 'refused';
}

/**
 * Creates the final record from the answer's events. A `not_run` refusal
 * releases the claim only if no other event precedes it; otherwise the outcome
 * is unknown.
 */
export function createFinalRecord(claimed: ClaimRecord, events: readonly AnswerEvent[]): ClaimRecord {
	const {
		fingerprint, owner, nonce, endsWallMs, expiresWallMs,
	} = claimed;
	const base = {
		fingerprint, owner, nonce, endsWallMs, expiresWallMs,
	};
	const lastEvent = events.at(-1);
	if (lastEvent?.kind === 'end') {
		return {...base, state: 'answered', answer: encodeStoredAnswer(events)};
	}

	if (lastEvent?.kind !== 'refused' || lastEvent.refusal.ran === 'unknown') {
		return {...base, state: 'unknown'};
	}

	const {reason, ran} = lastEvent.refusal;
	if (ran === 'ran') {
		return {...base, state: 'failed', failure: {reason, ran}};
	}

	return {...base, state: events.length === 1 ? 'released' : 'unknown'};
}

/** Creates the refusal of a request whose earlier run has an unknown outcome. */
export function createUnknownOutcomeEvent(): AnswerEvent {
	return {kind: 'refused', refusal: createRefusal('outcome_unknown')};
}
