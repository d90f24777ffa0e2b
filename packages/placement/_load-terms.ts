/** How long a request would wait at a target, from a lagged report and from what was sent since. */
import type {TargetView} from './views.ts';

/** The wait before prefill, in its parts. */
export type LoadTerms = Readonly<{
	/** Wait for the prefill of prompts that came before, in milliseconds. */
	queueMs: number;
	/** Wait for a place in the batch, in milliseconds. */
	slotMs: number;
	/** Speed of prefill, in tokens per millisecond. */
	prefillTokensPerMs: number;
}>;

const defaultPrefillTokensPerMs = 8;
const queuedRequestMs = 50;

/**
 * Estimates the wait at a target. The reported queue shrinks at the reported
 * speed since it was measured and grows by what this instance sent since; what
 * this instance and its peers say they wait for is the other lower bound.
 */
export function estimateLoad(view: TargetView, slots: number, nowMs: number): LoadTerms {
	const {report, measuredMs, inFlight} = view;
	const prefillTokensPerMs = report?.prefillTokensPerMs ?? defaultPrefillTokensPerMs;
	const peers = view.countPeers(nowMs);
	const drained = report ? (nowMs - measuredMs) * prefillTokensPerMs : 0;
	const reported = Math.max(0, (report?.queuedTokens ?? 0) - drained) + view.countPendingTokens(measuredMs);
	const said = view.countPendingTokens() + peers.tokens;
	const running = Math.max((report?.running ?? 0) + (report?.queued ?? 0), inFlight + peers.requests);
	return {
		queueMs: Math.max(reported, said) / prefillTokensPerMs,
		slotMs: Math.max(0, running + 1 - slots) * queuedRequestMs,
		prefillTokensPerMs,
	};
}
