/**
 * The bound on a target's silence. It follows the pace that the target itself
 * reports: queue and prefill before the first frame, time between tokens after.
 */
import type {RoutedRequest} from '#core';
import type {TargetView} from '#placement';

/** What the bound depends on besides the target's report. */
export type SilenceQuery = Readonly<{
	request: RoutedRequest;
	/** Tokens of the prompt. */
	promptTokens: number;
	/** Whether the target has sent its first frame. */
	begun: boolean;
}>;

const leastBeforeFirstMs = 1000;
const leastBetweenMs = 400;
const mostMs = 15_000;
const estimateFactor = 3;
const gapFactor = 16;
const defaultPrefillTokensPerMs = 4;
const defaultTokenGapMs = 25;

/**
 * Computes how long a connection may stay silent before it counts as dead.
 *
 * @returns milliseconds; infinite for calls that may not be repeated, which only their deadline ends
 */
export function computeSilenceMs(view: TargetView, query: SilenceQuery): number {
	const {request, begun} = query;
	if (request.work.kind === 'call') {
		return request.repeatable ? Math.max(leastBeforeFirstMs, estimateFactor * request.route.firstTokenMs) : Infinity;
	}

	const gapMs = view.report?.tokenGapMs ?? defaultTokenGapMs;
	if (begun) {
		return Math.min(mostMs, Math.max(leastBetweenMs, gapFactor * gapMs));
	}

	const waitMs = estimateFirstFrameMs(view, query, gapMs * request.work.maxTokens);
	return Math.min(mostMs, leastBeforeFirstMs + (estimateFactor * waitMs));
}

function estimateFirstFrameMs(view: TargetView, {request, promptTokens}: SilenceQuery, decodeMs: number): number {
	const rate = view.report?.prefillTokensPerMs ?? defaultPrefillTokensPerMs;
	const prefillMs = (promptTokens + (view.report?.queuedTokens ?? 0)) / rate;
	const rounds = Math.ceil((view.report?.queued ?? 0) / request.pool.slots);
	return prefillMs + (rounds * decodeMs);
}
