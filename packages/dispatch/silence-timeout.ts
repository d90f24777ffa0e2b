/**
 * The silence time-out limits the time for which a target may send no frame. It
 * depends on the load and speed that the target reports: queue and prefill before
 * the first frame, time between tokens after it.
 */
import type {RoutedRequest} from '#core';
import type {TargetView} from '#placement';

/** Parameters of the time-out besides the target's report. */
export type SilenceTimeoutQuery = Readonly<{
	request: RoutedRequest;
	/** Number of tokens of the prompt. */
	promptTokens: number;
	/** Whether the target has sent its first frame. */
	hasAnswered: boolean;
}>;

const minFirstFrameTimeoutMs = 1000;
const minFrameGapTimeoutMs = 400;
const maxTimeoutMs = 15_000;
/** Multiple of the expected time to the first frame that the time-out allows. */
const firstFrameFactor = 3;
/** Multiple of the time between tokens that the time-out allows. */
const gapFactor = 16;
const defaultPrefillTokensPerMs = 4;
const defaultTokenGapMs = 25;

/**
 * Computes how long a target may send no frame before its connection counts as lost.
 *
 * @returns milliseconds; infinite for calls that may not be repeated, which are limited only by their deadline
 */
export function computeSilenceTimeoutMs(view: TargetView, query: SilenceTimeoutQuery): number {
	const {request, hasAnswered} = query;
	if (request.work.kind === 'call') {
		return request.isRepeatable ? Math.max(minFirstFrameTimeoutMs, firstFrameFactor * request.route.firstTokenMs) : Infinity;
	}

	const gapMs = view.report?.tokenGapMs ?? defaultTokenGapMs;
	if (hasAnswered) {
		return Math.min(maxTimeoutMs, Math.max(minFrameGapTimeoutMs, gapFactor * gapMs));
	}

	const firstFrameMs = estimateFirstFrameMs(view, query, gapMs * request.work.maxTokens);
	return Math.min(maxTimeoutMs, minFirstFrameTimeoutMs + (firstFrameFactor * firstFrameMs));
}

/**
 * Estimates the time to the first frame: the prefill of the queued prompts and of
 * this one, and the wait for a slot. The requests that wait for a slot run in rounds
 * of `slots` at a time, and each round is assumed to take `decodeMs`.
 */
function estimateFirstFrameMs(view: TargetView, {request, promptTokens}: SilenceTimeoutQuery, decodeMs: number): number {
	const prefillRate = view.report?.prefillTokensPerMs ?? defaultPrefillTokensPerMs;
	const prefillMs = (promptTokens + (view.report?.queuedTokens ?? 0)) / prefillRate;
	const queueRounds = Math.ceil((view.report?.queued ?? 0) / request.pool.slots);
	return prefillMs + (queueRounds * decodeMs);
}
