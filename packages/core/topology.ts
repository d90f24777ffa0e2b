/**
 * What operators configure: routes, customers and target pools. These types
 * belong to the router of chat and service calls (`#entry`, `#dispatch`). The
 * relay, which forwards HTTP requests byte for byte, has its own in relay.ts.
 */

/** Whether a pool's targets are model engines or plain services. */
export type TargetKind = 'engine' | 'service';

/** One back end: a model engine's runner or a member of a plain service. */
export type Target = Readonly<{
	name: string;
	/** IP address and port, as `host:port`. */
	address: string;
	/** Availability zone. */
	zone: string;
}>;

/** Targets that serve the same requests. */
export type TargetPool = Readonly<{
	name: string;
	kind: TargetKind;
	/** Model that the pool's engines serve; absent for plain services. */
	model?: string;
	/** Weights version that the pool should serve. */
	weights?: string;
	/** Size of a cache piece in tokens. Prompts are split into pieces of this size, and the prefix cache is keyed by piece. */
	pieceTokens: number;
	/** Whether the targets refuse orders with an old fencing token. */
	checksFencing: boolean;
	/** Maximum number of weight loads that run at once in the pool's deployment. */
	loadsAtOnce: number;
	/** Minimum number of engines that keep the model loaded. */
	minLoaded: number;
	/** Requests that one target runs at once without queueing. */
	slots: number;
	/** `host:port` of the KV cache store, if there is one. */
	keptStore?: string;
	targets: readonly Target[];
}>;

/** Which calls of a plain service may be repeated. */
export type CallRule = Readonly<{
	method: string;
	/** Path pattern; `*` stands for one segment, a final `**` for the rest. */
	path: string;
	repeatable: boolean;
}>;

/** A named entry point for callers, with the pool that serves it and the times that it promises. */
export type Route = Readonly<{
	name: string;
	pool: string;
	/** Promised time to the first token, or to the whole answer of a plain service, in milliseconds. */
	firstTokenMs: number;
	/** Promised time between tokens, in milliseconds. */
	tokenGapMs: number;
	/** Maximum time for a complete answer, in milliseconds. */
	timeoutMs: number;
	/** Whether requests may run more than once; a matching rule of `calls` takes precedence. */
	repeatable: boolean;
	calls: readonly CallRule[];
}>;

/** Limits of a customer, over all instances. */
export type CustomerLimit = Readonly<{
	requestsPerSecond: number;
	/** Requests above the rate that may arrive at once. */
	burst: number;
	/** Requests that may run or wait at the same time. */
	concurrent: number;
}>;

/** A tenant with its own keys, limits and cache entries. */
export type Customer = Readonly<{
	name: string;
	/** SHA-256 digests, in hexadecimal, of the customer's bearer keys. */
	keyDigests: readonly string[];
	/** Names of the routes that the customer may call. */
	routes: readonly string[];
	limit: CustomerLimit;
	/** Share under overload, relative to the other customers. */
	weight: number;
	/** Priority sent to engines; requests with a larger number go first. */
	priority: number;
}>;

/** A checked configuration with the generation under which it was accepted. */
export type Configuration = Readonly<{
	generation: number;
	routes: ReadonlyMap<string, Route>;
	pools: ReadonlyMap<string, TargetPool>;
	customers: ReadonlyMap<string, Customer>;
}>;
