/** The closed list of reasons why a request is refused or fails, with the status and message that the caller receives. */

/** What is known about whether the request ran. */
export type RunState = 'not_run' | 'unknown' | 'ran';

type RefusalRule = Readonly<{
	/** HTTP status code. */
	status: number;
	/** Run state, unless the refusal states another. */
	ran: RunState;
	message: string;
}>;

/** Every reason, with its HTTP status, run state and message. */
export const refusalRules = {
	bad_request: {status: 400, ran: 'not_run', message: 'The request is malformed.'},
	body_too_large: {status: 413, ran: 'not_run', message: 'The request body is larger than this instance accepts.'},
	headers_too_large: {status: 431, ran: 'not_run', message: 'The request headers are larger than the configuration allows.'},
	unauthenticated: {status: 401, ran: 'not_run', message: 'The bearer key is missing or unknown.'},
	route_not_allowed: {status: 403, ran: 'not_run', message: 'The customer may not call this route.'},
	route_unknown: {status: 404, ran: 'not_run', message: 'No route has this name.'},
	idempotency_key_missing: {status: 400, ran: 'not_run', message: 'This call may not be repeated and needs an Idempotency-Key header.'},
	idempotency_key_reused: {status: 422, ran: 'not_run', message: 'The Idempotency-Key was used with a different request.'},
	outcome_unknown: {status: 409, ran: 'unknown', message: 'An earlier request with this Idempotency-Key may have run; its outcome is not known.'},
	claim_in_progress: {status: 409, ran: 'unknown', message: 'A request with this Idempotency-Key is still running.'},
	answer_not_kept: {status: 409, ran: 'ran', message: 'An earlier request with this Idempotency-Key ran; its answer was too large to keep.'},
	claims_unavailable: {status: 503, ran: 'not_run', message: 'The platform that records calls that run at most once is unavailable.'},
	rate_limited: {status: 429, ran: 'not_run', message: 'The customer is over its request rate.'},
	concurrency_limited: {status: 429, ran: 'not_run', message: 'The customer has too many requests in progress.'},
	promise_unreachable: {status: 503, ran: 'not_run', message: 'The promised time cannot be kept at the present load.'},
	queue_full: {status: 503, ran: 'not_run', message: 'The queue of the target pool is full.'},
	deadline_exceeded: {status: 504, ran: 'unknown', message: 'No complete answer came within the route\'s time.'},
	no_target: {status: 503, ran: 'not_run', message: 'The target pool has no target that can take the request.'},
	target_limited: {status: 503, ran: 'not_run', message: 'The targets of the pool take fewer requests for the time being.'},
	stream_origin_gone: {status: 503, ran: 'not_run', message: 'No target has the software version at which the stream began, so it cannot be resumed.'},
	stream_origin_unknown: {status: 503, ran: 'not_run', message: 'It is not known at which software version the stream began, so it cannot be resumed.'},
	retry_budget_spent: {status: 503, ran: 'unknown', message: 'The target pool\'s retry budget is spent.'},
	target_refused: {status: 503, ran: 'not_run', message: 'Every target refused the request before running it.'},
	target_failed: {status: 502, ran: 'ran', message: 'The target failed while running the request.'},
	target_lost: {status: 502, ran: 'unknown', message: 'The connection to the target was lost; the request may have run.'},
	quarantined: {status: 422, ran: 'unknown', message: 'Targets crashed while running this request; it is not sent to another.'},
	crashes_targets: {status: 503, ran: 'not_run', message: 'Targets crashed while running this request; it is not sent to another for the time being.'},
	stale_weights: {status: 503, ran: 'unknown', message: 'No target serves the configured weights version.'},
	answer_too_long: {status: 502, ran: 'ran', message: 'The target\'s answer is longer than this instance accepts.'},
	instance_overloaded: {status: 503, ran: 'not_run', message: 'This instance is overloaded and cannot start the request in time.'},
	internal_error: {status: 503, ran: 'not_run', message: 'This instance failed while it handled the request.'},
	body_memory_full: {status: 503, ran: 'not_run', message: 'This instance holds as many bytes of request bodies as it may.'},
	not_configured: {status: 503, ran: 'not_run', message: 'This instance has no configuration yet.'},
	stopped: {status: 502, ran: 'unknown', message: 'This instance stopped before the target had answered; the request may have run.'},
	stopping: {status: 503, ran: 'not_run', message: 'This instance is stopping.'},
} as const satisfies Readonly<Record<string, RefusalRule>>;

/** Code of a refusal. It is stable, and it labels the counter of refusals. */
export type RefusalReason = keyof typeof refusalRules;

/** What a caller receives in place of an answer. */
export type Refusal = Readonly<{
	reason: RefusalReason;
	status: number;
	ran: RunState;
	message: string;
	/** Time after which the caller should retry, in milliseconds. */
	retryAfterMs?: number;
}>;

/** Options of {@link createRefusal}. */
export type RefusalOptions = Readonly<{
	/** Replaces the run state of the reason's rule. */
	ran?: RunState;
	/** Added to the rule's message. */
	detail?: string;
	/** Time after which the caller should retry, in milliseconds. Default: not stated. */
	retryAfterMs?: number;
}>;

/**
 * Creates a refusal by the rule of its reason.
 *
 * @param reason code from the closed list
 * @example
 * ```ts
 * createRefusal('rate_limited', {retryAfterMs: 500});
 * ```
 */
export function createRefusal(reason: RefusalReason, options: RefusalOptions = {}): Refusal {
	const rule: RefusalRule = refusalRules[reason];
	return {
		reason,
		status: rule.status,
		ran: options.ran ?? rule.ran,
		message: options.detail ? `${rule.message} ${options.detail}` : rule.message,
		...(options.retryAfterMs === undefined ? {} : {retryAfterMs: options.retryAfterMs}),
	};
}
