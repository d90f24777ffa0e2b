/** What the relay works by: routes that match callers' HTTP requests, pools, customers and targets as they are now. */

/**
 * Whether a request may be sent again:
 * - `any`: as often as its route allows
 * - `resume`: at the place where its stream broke off
 * - `once`: only while it provably has not run
 */
export type Repetition = 'any' | 'resume' | 'once';

/** A pool's part of a route's requests. */
export type PoolShare = Readonly<{pool: string; weight: number}>;

/** A route of the relay. */
export type RelayRoute = Readonly<{
	name: string;
	/** Value of the `Host` header, in lower case. */
	host: string;
	/** Begins and ends with a slash. */
	pathPrefix: string;
	pools: readonly PoolShare[];
	/** Whether an answer is a stream of events. */
	isStream: boolean;
	repetition: Repetition;
	/** Most targets that may run one request. */
	maxTargets: number;
	/** Longest time until the end of an answer, in milliseconds. */
	timeoutMs: number;
	/** Promised time to the first event of a stream, or to the whole of another answer, in milliseconds. */
	promisedMs: number;
	/** Promised longest pause between events, in milliseconds; 0 where there is none. */
	gapMs: number;
	/** Smaller goes first. */
	priority: number;
	/** Whether callers need no key. */
	isPublic: boolean;
}>;

/** A store of kept KV cache beside the engines. */
export type KeptStore = Readonly<{
	/** `host:port`. */
	address: string;
	zone: string;
	capacityTokens: number;
}>;

/** What is known of all engines of a pool. */
export type EngineTraits = Readonly<{
	/** Requests that run at once. */
	slots: number;
	/** Tokens of KV cache that fit in memory. */
	cacheTokens: number;
	/** Size of the KV cache of a token, in bytes. */
	bytesPerToken: number;
	/** Speed of an engine's link, in megabits per second. */
	linkMbps: number;
	models: readonly string[];
}>;

/** A pool of targets. */
export type RelayPool = Readonly<{
	name: string;
	/** Path of the targets' health check. */
	healthPath: string;
	/** Connections that one target accepts from all instances together. */
	maxConnections: number;
	/** Present where the targets are model engines. */
	engine?: EngineTraits;
}>;

/** Who calls. */
export type RelayCustomer = Readonly<{
	name: string;
	/** Replaces the route's priority where present. */
	priority?: number;
	/** Whether nothing cached for this customer may serve another. */
	isIsolated: boolean;
}>;

/** Bounds on what callers may send. */
export type CallerLimits = Readonly<{
	maxHeaderBytes: number;
	maxBodyBytes: number;
	headerTimeoutMs: number;
	idleTimeoutMs: number;
}>;

/** A configuration of the relay. */
export type RelayConfiguration = Readonly<{
	/** Only rises. */
	version: number;
	routes: readonly RelayRoute[];
	pools: ReadonlyMap<string, RelayPool>;
	keptStores: readonly KeptStore[];
	/** Customers by their keys; absent where no request needs a key. */
	customers?: ReadonlyMap<string, RelayCustomer>;
	limits: CallerLimits;
}>;

/** One back end as it is listed now. */
export type RelayTarget = Readonly<{
	id: string;
	/** Changes at each start of the target's process. */
	incarnation: string;
	/** Time of that start as the target states it, in Unix milliseconds; 0 where it states none. */
	startedWallMs: number;
	pool: string;
	/** `host:port`. */
	address: string;
	zone: string;
	/** Requests that run at once. */
	slots: number;
	isLeaving: boolean;
	/** Version of the weights by model. */
	weights: ReadonlyMap<string, number>;
}>;

/** A part of a prompt that other prompts may share. */
export type PromptPart = Readonly<{key: string; tokens: number}>;

/** What a request says of its prompt. */
export type Prompt = Readonly<{
	model: string;
	inputTokens: number;
	maxOutputTokens: number;
	/** Outermost first; the last one belongs to the request itself or to its session. */
	parts: readonly PromptPart[];
}>;

/** A caller's request, checked and read whole. */
export type RelayRequest = Readonly<{
	id: string;
	method: string;
	/** Path with the query. */
	path: string;
	/** Header names and values in turn, without those of one connection and those that the relay sets. */
	headers: readonly string[];
	body: Uint8Array | undefined;
	route: RelayRoute;
	customer: RelayCustomer | undefined;
	/** Absent where the request is no prompt. */
	prompt: Prompt | undefined;
	/** Scope within which cached parts of the prompt may be shared; absent where the request is no prompt. */
	cacheScope: string | undefined;
	/** Id of the last event that the caller has, where it resumes a stream itself. */
	lastEventId: string | undefined;
	/** Version of the configuration by which it was accepted. */
	configurationVersion: number;
	/** Monotonic time at which it arrived, in milliseconds. */
	arrivedMs: number;
	/** Monotonic time at which its answer must have ended, in milliseconds. */
	deadlineMs: number;
}>;
