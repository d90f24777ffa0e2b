/** The interface between an attempt's frames and the events that the caller sees. */
import type {AttemptCause} from './retry.ts';
import type {AnswerEvent, TargetFrame} from '#core';

/** A frame other than the fault that ends an attempt. */
export type AnswerFrame = Exclude<TargetFrame, {kind: 'fault'}>;

/** What a frame leads to: events for the caller, or the end of the attempt. */
export type FrameResult = Readonly<{events: readonly AnswerEvent[]}> | Readonly<{cause: AttemptCause}>;

/** One request's answer over all its attempts. */
export type Answer = Readonly<{
	/** Bytes of text delivered so far. */
	readOffset(): number;
	/** Text delivered so far. */
	readText(): string;
	/** Whether the caller was sent a part of the answer. */
	hasBegun(): boolean;
	/** Starts over with the frames of a further attempt. */
	beginAttempt(target: string): void;
	takeFrame(frame: AnswerFrame): FrameResult;
	/** Events of a complete answer without content, if an attempt gave one that may be believed. */
	takeEmpty(): readonly AnswerEvent[];
}>;

/** Limits of an answer. */
export type AnswerLimits = Readonly<{
	/** Longest answer, in bytes. */
	maxBytes: number;
}>;

/** Wraps events. */
export function makeEvents(...events: readonly AnswerEvent[]): FrameResult {
	return {events};
}
