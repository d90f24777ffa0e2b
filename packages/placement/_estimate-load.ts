/** Estimates how long a request would wait at a target, from its last load report and from the requests sent to it since. */
import type {TargetView} from './target-views.ts';

/** The expected wait before prefill, by cause. */
export type LoadEstimate = Readonly<{
	/** Wait for the prefill of earlier prompts, in milliseconds. */
	queueMs: number;
	/** Wait for a slot in the batch, in milliseconds. */
	slotMs: number;
	/** Prefill speed, in tokens per millisecond. */
	prefillTokensPerMs: number;
}>;

/** Prefill speed assumed while there is no report. */
const defaultPrefillTokensPerMs = 8;
/** Expected wait for each request beyond the slots of the target. */
const waitPerExcessRequestMs = 50;

/**
 * Estimates the wait at a target. The queue is the larger of two lower bounds. The
 * first is the reported queue, less what the target has prefilled at the reported
 * speed since the measurement, plus the tokens that this instance has sent since.
 * The second is the pending tokens of this instance and its peers.
 */
export function estimateLoad(view: TargetView, slots: number, nowMs: number): LoadEstimate {
	const {report, measuredMs, inFlight} = view;
	const prefillTokensPerMs = report?.prefillTokensPerMs ?? defaultPrefillTokensPerMs;
	const peerWork = view.sumPeerWork(nowMs);
	const prefilledTokens = report ? (nowMs - measuredMs) * prefillTokensPerMs : 0;
	const reportedTokens = Math.max(0, (report?.queuedTokens ?? 0) - prefilledTokens) + view.sumPendingTokens(measuredMs);
	const pendingTokens = view.sumPendingTokens() + peerWork.tokens;
	const runningRequests = Math.max((report?.running ?? 0) + (report?.queued ?? 0), inFlight + peerWork.requests);
	return {
		queueMs: Math.max(reportedTokens, pendingTokens) / prefillTokensPerMs,
		slotMs: Math.max(0, runningRequests + 1 - slots) * waitPerExcessRequestMs,
		prefillTokensPerMs,
	};
}
