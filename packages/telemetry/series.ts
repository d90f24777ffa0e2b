/** The closed list of metric series. */

/** What a series means, and its labels. */
export type SeriesRule = Readonly<{help: string; labels: readonly string[]}>;
type HistogramRule = SeriesRule & Readonly<{buckets: readonly number[]}>;

const latencyBucketsMs = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 1800, 3000, 5000, 10_000, 30_000, 60_000];

/** Counters by name. */
export const counterRules = {
	admin_refusals_total: {help: 'Requests that the administration API refused, by reason.', labels: ['reason']},
	requests_total: {help: 'Requests that arrived, by route and customer.', labels: ['route', 'customer']},
	answers_total: {help: 'Requests answered in full, by route and customer.', labels: ['route', 'customer']},
	refusals_total: {help: 'Refused or failed requests, by reason and run state.', labels: ['reason', 'ran']},
	retries_total: {help: 'Further attempts, by reason.', labels: ['reason']},
	retries_refused_total: {help: 'Failed attempts after which no further one was made, by reason.', labels: ['reason']},
	strikes_total: {help: 'Crashes held against requests, by who saw them.', labels: ['source']},
	strikes_cleared_total: {help: 'Struck requests that completed after all.', labels: []},
	quarantines_total: {help: 'Requests that reached the limit of strikes.', labels: []},
	attempts_total: {help: 'Attempts on targets, by pool and outcome.', labels: ['pool', 'outcome']},
	prompt_tokens_total: {help: 'Prompt tokens sent to engines, by pool and whether the engine had them cached.', labels: ['pool', 'cached']},
	answer_heads_total: {help: 'Heads of engines\' answers, by pool and what they are good for.', labels: ['pool', 'verdict']},
	cache_event_gaps_total: {help: 'Reads of cache events in which some were missing, by pool.', labels: ['pool']},
	configuration_changes_total: {help: 'Configuration generations that came into force.', labels: []},
	configuration_rejected_total: {help: 'Accepted generations that this instance does not understand.', labels: []},
	configuration_fetches_total: {help: 'Generations asked for from other instances, by result.', labels: ['result']},
	mirror_fetches_total: {help: 'Differences of copied kinds asked for from other instances, by kind and result.', labels: ['kind', 'result']},
	snapshots_total: {help: 'Snapshots asked for from other instances at the start, by result.', labels: ['result']},
	drain_cut_requests_total: {help: 'Requests that were still running when the drain bound was over.', labels: []},
	peer_links_opened_total: {help: 'Authenticated connections to other instances.', labels: []},
	peer_links_closed_total: {help: 'Ended connections to other instances, by reason.', labels: ['reason']},
	peer_connect_failures_total: {help: 'Attempts to reach another instance that did not end in an authenticated connection.', labels: []},
	peer_messages_total: {help: 'Messages heard from other instances, by kind.', labels: ['kind']},
	peer_messages_dropped_total: {help: 'Periodic messages dropped because the queue to a peer was full.', labels: []},
	peer_bytes_total: {help: 'Bytes exchanged with other instances, by direction.', labels: ['direction']},
	members_suspected_total: {help: 'Instances that this one reported as not answering.', labels: []},
	claims_total: {help: 'Requests that may run at most once, by what became of their claim.', labels: ['result']},
	claim_writes_total: {help: 'Attempts to record what became of a claim, by result.', labels: ['result']},
	capacity_orders_total: {help: 'Orders to engines, by pool, kind and result.', labels: ['pool', 'kind', 'result']},
	weights_orders_total: {help: 'Orders to load weights, by what became of them.', labels: ['outcome']},
	lease_changes_total: {help: 'Leases taken, released and superseded, by lease.', labels: ['lease', 'event']},
	claim_removals_total: {help: 'Removals of expired records of claims, by result.', labels: ['result']},
	platform_calls_total: {help: 'Calls to the platform, by kind and result.', labels: ['kind', 'result']},
} as const satisfies Readonly<Record<string, SeriesRule>>;

/** Gauges by name. */
export const gaugeRules = {
	configuration_generation: {help: 'Generation of the configuration in force.', labels: []},
	peers_live: {help: 'Other instances believed to be live.', labels: []},
	peers_linked: {help: 'Open connections to other instances.', labels: []},
	capacity_wanted: {help: 'Engines that the plan wants loaded, by pool; set by the holder of the lease.', labels: ['pool']},
	capacity_serving: {help: 'Engines that are loaded, by pool; set by the holder of the lease.', labels: ['pool']},
	admission_waiting: {help: 'Requests that wait for a pool on this instance.', labels: ['pool']},
	platform_breaker_open: {help: 'Whether calls to the platform are held back.', labels: []},
	requests_running: {help: 'Requests in progress.', labels: []},
} as const satisfies Readonly<Record<string, SeriesRule>>;

/** Histograms by name. */
export const histogramRules = {
	admission_wait_ms: {help: 'Time that admitted requests waited for their pool, in milliseconds.', labels: ['pool'], buckets: latencyBucketsMs},
	first_token_ms: {help: 'Time to the first token, in milliseconds.', labels: ['route'], buckets: latencyBucketsMs},
	answer_ms: {help: 'Time to the whole answer, in milliseconds.', labels: ['route'], buckets: latencyBucketsMs},
	relay_ms: {
		help: 'Time of relayed requests, in milliseconds: until the whole answer, until its first byte, and spent on failed attempts.',
		labels: ['route', 'outcome', 'phase'], buckets: latencyBucketsMs,
	},
} as const satisfies Readonly<Record<string, HistogramRule>>;

/** Name of a counter. */
export type CounterName = keyof typeof counterRules;
/** Name of a gauge. */
export type GaugeName = keyof typeof gaugeRules;
/** Name of a histogram. */
export type HistogramName = keyof typeof histogramRules;
