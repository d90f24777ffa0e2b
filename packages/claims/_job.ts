/** Types that the steps of a claim share: acquire, resolve, run and record. */
import type {LiveAnswer} from './_live-answer.ts';
import type {OwnerMonitor} from './_owner-monitor.ts';
import type {ClaimOwner, ClaimRecord} from './record.ts';
import type {Clock} from '#clock';
import type {AnswerEvent, Random, RoutedRequest} from '#core';
import type {ObjectStore} from '#object-store';
import type {Telemetry} from '#telemetry';

/** One request that this instance is claiming, running or recording. */
export type ClaimJob = Readonly<{
	request: RoutedRequest;
	key: string;
	fingerprint: string;
	answer: LiveAnswer;
}>;

/** Dependencies and settings of the steps. */
export type ClaimContext = Readonly<{
	clock: Clock;
	random: Random;
	platform: ObjectStore;
	telemetry: Telemetry;
	owner: ClaimOwner;
	ownerMonitor: OwnerMonitor;
	retentionMs: number;
	acquireTimeoutMs: number;
	/** Aborts when the instance no longer waits for its jobs. */
	stopSignal: AbortSignal;
	/** Aborts when requests that have not run yet no longer wait for the platform or for the run of another instance. */
	waitSignal: AbortSignal;
}>;

/** A claim that this instance holds; `result` is a label of `claims_total`. */
export type HeldClaim = Readonly<{kind: 'held'; result: string; record: ClaimRecord; version: number}>;

/** The answer to a request that must not run on this instance; `result` is a label of `claims_total`. */
export type AnswerWithoutRun = Readonly<{kind: 'done'; result: string; events: readonly AnswerEvent[]}>;
