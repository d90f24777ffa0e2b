/** Creates the refusals of requests that no path has given an answer. */
import type {RelayProgress} from './_progress.ts';
import {createRefusal, type Refusal} from '#core';
import {causeRules, mergeRunStates} from '#dispatch';

/** Statuses by which a caller knows that its request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const badGateway = 502;

/** Refusal reasons by cause, for requests that the router itself refuses. */
const routerCauseReasons = {
	none: 'no_target', origin_gone: 'stream_origin_gone', full: 'queue_full', overloaded: 'promise_unreachable', limited: 'target_limited', quarantined: 'crashes_targets',
	stopping: 'stopping', escaped: 'internal_error',
} as const;

function isRouterCause(cause: RelayProgress['cause']): cause is keyof typeof routerCauseReasons {
	return cause in routerCauseReasons;
}

/** Creates a refusal: that of the last peer, or else by the cause. A request that may have run is not refused with a status that says it has not run. */
export function createRelayRefusal({cause, runState, retryAfterMs, peerRefusal}: RelayProgress): Refusal {
	const reason = isRouterCause(cause) ? routerCauseReasons[cause] : causeRules[cause].reason;
	const refusal = peerRefusal
		? {...peerRefusal, ran: mergeRunStates(peerRefusal.ran, runState)}
		: createRefusal(reason, {ran: runState, ...(retryAfterMs === undefined ? {} : {retryAfterMs})});
	return runState !== 'not_run' && notRunStatuses.has(refusal.status) ? {...refusal, status: badGateway} : refusal;
}
