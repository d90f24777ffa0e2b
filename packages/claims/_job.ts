/** What the steps of a claim share. */
import type {LiveAnswer} from './_live-answer.ts';
import type {OwnerWatch} from './_owner-watch.ts';
import type {ClaimOwner, ClaimRecord} from './record.ts';
import type {Clock} from '#clock';
import type {AnswerEvent, Random, RoutedRequest} from '#core';
import type {ObjectStore} from '#object-store';
import type {Telemetry} from '#telemetry';

/** One request being claimed, run or recorded on this instance. */
export type ClaimJob = Readonly<{
	request: RoutedRequest;
	key: string;
	fingerprint: string;
	answer: LiveAnswer;
}>;

/** What the steps work with. */
export type ClaimParts = Readonly<{
	clock: Clock;
	random: Random;
	platform: ObjectStore;
	telemetry: Telemetry;
	owner: ClaimOwner;
	owners: OwnerWatch;
	retentionMs: number;
	maxClaimMs: number;
	stopping: AbortSignal;
}>;

/** A claim that this instance holds. */
export type HeldClaim = Readonly<{kind: 'held'; result: string; record: ClaimRecord; version: number}>;

/** Why the request must not run here, as the events that its caller gets. */
export type SettledClaim = Readonly<{kind: 'done'; result: string; events: readonly AnswerEvent[]}>;
