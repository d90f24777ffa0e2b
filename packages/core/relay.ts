/**
 * Types of the relay, which forwards callers' HTTP requests byte for byte: its
 * configuration (routes, pools and customers), the current targets, and callers'
 * requests. The router of chat and service calls has its own in topology.ts.
 */

/**
 * Whether a request may be sent again:
 * - `any`: as often as its route allows
 * - `resume`: to continue its stream where it was interrupted
 * - `once`: only while it has provably not run
 */
export type RetryPolicy = 'any' | 'resume' | 'once';

/** A pool of a route, and the weight of its share of the route's requests. */
export type PoolShare = Readonly<{pool: string; weight: number}>;

/** Matches callers' requests by host and path, and names the pools that serve them. */
export type RelayRoute = Readonly<{
	name: string;
	/** Value of the `Host` header, in lower case. */
	host: string;
	/** Begins and ends with a slash. */
	pathPrefix: string;
	pools: readonly PoolShare[];
	/** Whether an answer is a stream of events. */
	isStream: boolean;
	retryPolicy: RetryPolicy;
	/** Maximum number of targets that may run one request. */
	maxTargets: number;
	/** Maximum time until the end of an answer, in milliseconds. */
	timeoutMs: number;
	/** Promised time to the first event of a stream, or to the end of any other answer, in milliseconds. */
	promisedMs: number;
	/** Promised maximum pause between events, in milliseconds; 0 if none is promised. */
	promisedGapMs: number;
	/** Requests with a smaller number go first, unlike in the types of topology.ts. */
	priority: number;
	/** Whether callers may omit the API key. */
	isPublic: boolean;
}>;

/** A server that stores KV cache outside the engines. */
export type KvCacheStore = Readonly<{
	/** `host:port`. */
	address: string;
	zone: string;
	capacityTokens: number;
}>;

/** Properties that all engines of a pool share. */
export type EngineTraits = Readonly<{
	/** Requests that one engine runs at once. */
	slots: number;
	/** Capacity of an engine's KV cache in memory, in tokens. */
	cacheTokens: number;
	/** Size of the KV cache per token, in bytes. */
	bytesPerToken: number;
	/** Bandwidth of an engine's network link, in megabits per second. */
	linkMbps: number;
	models: readonly string[];
}>;

/** Targets that serve the same requests. */
export type RelayPool = Readonly<{
	name: string;
	/** Path of the targets' health check. */
	healthPath: string;
	/** Maximum number of connections to one target, over all instances. */
	maxConnections: number;
	/** Present if the targets are model engines. */
	engine?: EngineTraits;
}>;

/** Limit on the work of a customer over all instances. */
export type WorkLimit = Readonly<{
	/** What is counted: the tokens that requests state, or requests. */
	unit: 'tokens' | 'requests';
	/** Units per second; always positive. */
	perSecond: number;
	/** Units that may be used at once beyond the rate. */
	burst: number;
	/** Cost of a request that states no tokens, if tokens are counted. */
	plainTokens: number;
}>;

/** The customer that sends a request. */
export type RelayCustomer = Readonly<{
	name: string;
	/** Replaces the route's priority if present. */
	priority?: number;
	/** Whether cache entries of this customer must not serve other customers. */
	isIsolated: boolean;
	/** Absent if the customer has no limit. */
	limit?: WorkLimit;
	/** Whether the configuration states a limit that cannot be parsed; the last valid one stays in force. */
	isLimitMalformed?: boolean;
}>;

/** Limits on callers' requests and connections. */
export type CallerLimits = Readonly<{
	maxHeaderBytes: number;
	maxBodyBytes: number;
	headerTimeoutMs: number;
	idleTimeoutMs: number;
}>;

export type RelayConfiguration = Readonly<{
	/** Increases with each configuration. */
	version: number;
	routes: readonly RelayRoute[];
	pools: ReadonlyMap<string, RelayPool>;
	kvCacheStores: readonly KvCacheStore[];
	/** Customers by API key; absent if no request needs a key. */
	customers?: ReadonlyMap<string, RelayCustomer>;
	limits: CallerLimits;
	/** What is wrong with the routes, pools, customers and limits of customers that could not be read and are left out; absent if there are none. */
	omitted?: readonly string[];
}>;

/** One back end, as the object store currently lists it. */
export type RelayTarget = Readonly<{
	id: string;
	/** Changes at each start of the target's process. */
	incarnation: string;
	/** Start time of the process as the target reports it, in Unix milliseconds; 0 if not reported. */
	startedWallMs: number;
	pool: string;
	/** `host:port`. */
	address: string;
	zone: string;
	/** Requests that the target runs at once. */
	slots: number;
	isDraining: boolean;
	/** Version of the target's software, in which targets of a pool may differ. Unlike weights, it does not change while the process runs. */
	softwareVersion: string;
	/** Weights version by model. */
	weights: ReadonlyMap<string, number>;
}>;

/** A part of a prompt that other prompts may share. */
export type PromptPart = Readonly<{key: string; tokens: number}>;

/** The prompt of a request, as the request describes it. */
export type Prompt = Readonly<{
	model: string;
	inputTokens: number;
	maxOutputTokens: number;
	/** In the order of the prompt; the last one belongs to the request itself or to its session. */
	parts: readonly PromptPart[];
}>;

/** A caller's request that was accepted and read completely. */
export type RelayRequest = Readonly<{
	id: string;
	method: string;
	/** Path with the query. */
	path: string;
	/** Alternating header names and values, without hop-by-hop headers and headers that the relay sets. */
	headers: readonly string[];
	body: Uint8Array | undefined;
	route: RelayRoute;
	customer: RelayCustomer | undefined;
	/** Absent if the request has no prompt. */
	prompt: Prompt | undefined;
	/** Scope within which cached parts of the prompt may be shared; absent if the request has no prompt. */
	cacheScope: string | undefined;
	/** Id of the last event that the caller received, if the caller itself resumes a stream. */
	lastEventId: string | undefined;
	/** Id of the caller's request that brought the first event of the stream that it resumes. */
	resumedRequestId: string | undefined;
	/** Only version of the targets' software at which the stream that the caller resumes may go on; absent if any may. */
	softwareVersion: string | undefined;
	/** Version of the configuration by which the request was accepted. */
	configurationVersion: number;
	/** Name of the instance that accepted the request and reaches no target itself; absent if this one accepted it. */
	relayedBy?: string;
	/** Monotonic arrival time, in milliseconds. */
	arrivedMs: number;
	/** Monotonic time by which the answer must be complete, in milliseconds. */
	deadlineMs: number;
}>;
