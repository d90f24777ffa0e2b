/** The interface that turns the frames of a request's attempts into the events for its caller. */
import type {AttemptCause} from './retry.ts';
import type {AnswerEvent, TargetFrame} from '#core';

/** A frame of an answer; excludes the fault that ends an attempt. */
export type AnswerFrame = Exclude<TargetFrame, {kind: 'fault'}>;

/** Result of a frame: events for the caller, or the cause for which the attempt has failed. */
export type FrameResult = Readonly<{events: readonly AnswerEvent[]}> | Readonly<{cause: AttemptCause}>;

/** The answer to one request, assembled from all its attempts. */
export type Answer = Readonly<{
	/** Bytes of text delivered so far. */
	getOffset(): number;
	/** Text delivered so far. */
	getText(): string;
	/** Whether a part of the answer was delivered. */
	hasBegun(): boolean;
	/** Resets the state of the previous attempt; the frames that follow come from `target`. */
	startAttempt(target: string): void;
	handleFrame(frame: AnswerFrame): FrameResult;
	/**
	 * Returns the events of the last answer that ended without content but stated its
	 * usage; no events if there was none or another answer has begun. They are
	 * delivered if there is no further attempt.
	 */
	getEmptyAnswer(): readonly AnswerEvent[];
}>;

export type AnswerLimits = Readonly<{
	/** Maximum length of the answer, in bytes. */
	maxBytes: number;
}>;

export function createFrameResult(...events: readonly AnswerEvent[]): FrameResult {
	return {events};
}
