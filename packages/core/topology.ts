/** What operators configure: routes, customers and target pools. */

/** What a pool's targets are. */
export type TargetKind = 'engine' | 'service';

/** One back end: a model engine's runner or a member of a plain service. */
export type Target = Readonly<{
	name: string;
	/** `host:port`, an IP number and a port. */
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
	/** Size of a cache piece in tokens. */
	pieceTokens: number;
	/** Whether the targets refuse orders with an old fencing number. */
	checksFencing: boolean;
	/** How many weight loads may run at once in the pool's deployment. */
	loadsAtOnce: number;
	/** Least number of engines that keep the model loaded. */
	minLoaded: number;
	/** Requests that one target runs at once without queueing. */
	slots: number;
	/** `host:port` of the store of kept KV cache, if there is one. */
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

/** A named way from callers to a pool, with the promises it makes. */
export type Route = Readonly<{
	name: string;
	pool: string;
	/** Promised time to the first token, or to the whole answer of a plain service, in milliseconds. */
	firstTokenMs: number;
	/** Promised time between tokens, in milliseconds. */
	tokenGapMs: number;
	/** Longest time for a whole answer, in milliseconds. */
	timeoutMs: number;
	/** Whether requests may run more than once; a matching rule of `calls` goes first. */
	repeatable: boolean;
	calls: readonly CallRule[];
}>;

/** What a customer may use at most, over all instances. */
export type CustomerLimit = Readonly<{
	requestsPerSecond: number;
	/** Requests above the rate that may come at once. */
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
	/** Priority that engines are told; larger goes first. */
	priority: number;
}>;

/** A checked configuration with the generation that it was accepted as. */
export type Configuration = Readonly<{
	generation: number;
	routes: ReadonlyMap<string, Route>;
	pools: ReadonlyMap<string, TargetPool>;
	customers: ReadonlyMap<string, Customer>;
}>;
