/** The complete list of metrics. */

/** Help text and label names of a metric. */
export type MetricDefinition = Readonly<{help: string; labels: readonly string[]}>;
type HistogramDefinition = MetricDefinition & Readonly<{buckets: readonly number[]}>;

const latencyBucketsMs = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 1800, 3000, 5000, 10_000, 30_000, 60_000];

/** Counters, by name without the prefix `apricotdoor_`. */
export const counterDefinitions = {
	admin_refusals_total: {help: 'Requests that the administration API refused, by reason.', labels: ['reason']},
	requests_total: {help: 'Requests received, by route and customer.', labels: ['route', 'customer']},
	answers_total: {help: 'Requests answered in full, by route and customer.', labels: ['route', 'customer']},
	refusals_total: {help: 'Refused or failed requests, by reason and run state.', labels: ['reason', 'ran']},
	requests_unanswered_total: {help: 'Requests of callers whose connection was closed without a complete answer or a refusal although the caller was there, by cause.', labels: ['cause']},
	retries_total: {help: 'Attempts after the first one, by reason.', labels: ['reason']},
	retries_refused_total: {help: 'Failed attempts that were not retried, by reason.', labels: ['reason']},
	answer_bodies_total: {help: 'Bodies of answers that the relay received, by framing (`connection`: it ends with its connection) and by how they ended.', labels: ['framing', 'end']},
	resumed_streams_total: {help: 'Streams that callers resumed, by the decision where they may go on; `unknown` and `moved` are refusals.', labels: ['decision']},
	origin_archive_reads_total: {help: 'Reads of the archived origins of streams, by result.', labels: ['result']},
	origin_archive_writes_total: {help: 'Writes of origins of streams into the archive, by result.', labels: ['result']},
	target_statements_total: {help: 'What targets stated about themselves in answers, by field; `malformed` for values that could not be read, also of the load.', labels: ['field']},
	prompt_admissions_total: {help: 'Decisions on prompts before their first attempt, by route (docs/operators/scarce-capacity.md).', labels: ['route', 'decision']},
	slow_attempts_total: {help: 'Attempts on targets that had stated to work at less than two thirds of their lasting speed at that moment, by pool.', labels: ['pool']},
	paced_attempts_total: {help: 'Attempts on targets whose pace was still being found, after a start, a failure, a rest, a refusal or late answers, by pool.', labels: ['pool']},
	strikes_total: {help: 'Target crashes counted as strikes against requests and prompt parts, by source of the observation.', labels: ['source']},
	strikes_cleared_total: {help: 'Requests and prompt parts with strikes that were later answered.', labels: []},
	quarantines_total: {help: 'Requests and prompt parts quarantined because they reached the strike limit.', labels: []},
	quarantine_trials_total: {help: 'Attempts with a quarantined prompt part that were admitted as a trial.', labels: []},
	attempts_total: {help: 'Attempts on targets, by pool and outcome.', labels: ['pool', 'outcome']},
	prompt_tokens_total: {help: 'Prompt tokens sent to engines, by pool and whether the engine had them cached.', labels: ['pool', 'cached']},
	answer_heads_total: {help: 'Response heads from engines, by pool and verdict on how they can be used.', labels: ['pool', 'verdict']},
	cache_event_gaps_total: {help: 'Reads of cache events in which events were missing, by pool.', labels: ['pool']},
	configuration_changes_total: {help: 'Configuration generations that took effect.', labels: []},
	configuration_rejected_total: {help: 'Accepted configuration generations that this instance cannot interpret.', labels: []},
	configuration_fetches_total: {help: 'Configuration generations requested from other instances, by result.', labels: ['result']},
	entries_unreadable_total: {help: 'Revisions of entries in the object store that cannot be read, such as those of another writer, and are passed over, by kind.', labels: ['kind']},
	escaped_errors_total: {help: 'Errors that nobody expected and that have ended one activity, by activity.', labels: ['activity']},
	mirror_fetches_total: {help: 'Changes to mirrored kinds of objects requested from other instances, by kind and result.', labels: ['kind', 'result']},
	store_restores_total: {help: 'Changes of the epoch of the object store, after which a kind of objects was read anew, by kind.', labels: ['kind']},
	snapshots_total: {help: 'Snapshots requested from other instances at start-up, by result.', labels: ['result']},
	drain_cut_requests_total: {help: 'Requests still running when the drain time limit expired.', labels: []},
	caller_connections_closed_total: {help: 'Connections of callers that were closed as pipelined requests piled up on them, by cause.', labels: ['cause']},
	caller_input_waits_total: {help: 'Times that the input of a connection of a caller waited for its turn to be parsed.', labels: []},
	unanswered_requests_total: {help: 'Requests whose connection closed before the whole answer was sent, by what they waited for and by cause.', labels: ['stage', 'cause']},
	attempts_via_peers_total: {help: 'Attempts through peers, as this instance reaches no target itself, by outcome.', labels: ['outcome']},
	relayed_requests_total: {help: 'Requests run for peers that reach no target themselves, by pool.', labels: ['pool']},
	peer_links_opened_total: {help: 'Authenticated connections to other instances.', labels: []},
	peer_links_closed_total: {help: 'Closed connections to other instances, by reason.', labels: ['reason']},
	peer_connect_failures_total: {help: 'Connection attempts to other instances that did not result in an authenticated connection.', labels: []},
	peer_messages_total: {help: 'Messages received from other instances, by kind.', labels: ['kind']},
	peer_messages_dropped_total: {help: 'Periodic messages dropped because the queue to a peer was full.', labels: []},
	peer_bytes_total: {help: 'Bytes exchanged with other instances, by direction.', labels: ['direction']},
	members_suspected_total: {help: 'Instances that this instance reported as not answering.', labels: []},
	claims_total: {help: 'Requests that may run at most once, by result of their claim.', labels: ['result']},
	claim_writes_total: {help: 'Attempts to record the outcome of a claim, by result.', labels: ['result']},
	capacity_orders_total: {help: 'Orders to engines, by pool, kind and result.', labels: ['pool', 'kind', 'result']},
	weights_orders_total: {help: 'Orders to load weights, by outcome.', labels: ['outcome']},
	lease_changes_total: {help: 'Leases taken, released and superseded, by lease.', labels: ['lease', 'event']},
	customer_limit_units_total: {help: 'Units of requests of customers with a limit, by customer and outcome; `refunded` ones have not run.', labels: ['customer', 'outcome']},
	claim_removals_total: {help: 'Removals of expired claim records, by result.', labels: ['result']},
	platform_calls_total: {help: 'Calls to the platform, by kind and result.', labels: ['kind', 'result']},
} as const satisfies Readonly<Record<string, MetricDefinition>>;

/** Gauges, by name without the prefix `apricotdoor_`. */
export const gaugeDefinitions = {
	configuration_generation: {help: 'Configuration generation in force.', labels: []},
	peers_live: {help: 'Other instances believed to be live.', labels: []},
	peers_linked: {help: 'Open connections to other instances.', labels: []},
	capacity_wanted: {help: 'Engines that the plan requires to be loaded, by pool; set by the holder of the lease.', labels: ['pool']},
	capacity_serving: {help: 'Engines that are loaded, by pool; set by the holder of the lease.', labels: ['pool']},
	admission_waiting: {help: 'Requests waiting for a pool on this instance.', labels: ['pool']},
	platform_breaker_open: {help: 'Whether the circuit breaker blocks calls to the platform (1) or not (0).', labels: []},
	pools_unreachable: {help: 'Pools of which this instance reaches no target.', labels: []},
	customer_limit_share: {help: 'Share of this instance in the limit of a customer, by customer.', labels: ['customer']},
	customer_limit_level: {help: 'Units that this instance may still use of the limit of a customer at once, by customer; negative if it has used units of later.', labels: ['customer']},
	customer_limit_statements: {help: 'Statements of instances about customers with a limit that this instance holds.', labels: []},
	requests_running: {help: 'Requests in progress.', labels: []},
	request_body_bytes: {help: 'Bytes for which room is reserved for request bodies (arriving ones, and those of requests in progress) and for requests that wait on their connections.', labels: []},
} as const satisfies Readonly<Record<string, MetricDefinition>>;

/** Histograms, by name without the prefix `apricotdoor_`. */
export const histogramDefinitions = {
	admission_wait_ms: {help: 'Time admitted requests waited for their pool, in milliseconds.', labels: ['pool'], buckets: latencyBucketsMs},
	first_token_ms: {help: 'Time to the first token, in milliseconds.', labels: ['route'], buckets: latencyBucketsMs},
	answer_ms: {help: 'Time to the complete answer, in milliseconds.', labels: ['route'], buckets: latencyBucketsMs},
	relay_ms: {
		help: 'Duration of relayed requests, in milliseconds, by phase: until the complete answer, until its first byte, and spent on failed attempts.',
		labels: ['route', 'outcome', 'phase'], buckets: latencyBucketsMs,
	},
} as const satisfies Readonly<Record<string, HistogramDefinition>>;

export type CounterName = keyof typeof counterDefinitions;
export type GaugeName = keyof typeof gaugeDefinitions;
export type HistogramName = keyof typeof histogramDefinitions;
