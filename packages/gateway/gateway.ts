/**
 * The gateway between callers' requests and the relay. It holds the active
 * configuration, finds the route and the customer of a request, checks the
 * limits and sets the deadline.
 */
import {OverloadGuard} from './overload-guard.ts';
import type {CustomerLimits} from '#admission';
import type {Clock} from '#clock';
import {
	fail, hash64, createRefusal, readArrivedInput, succeed, type Prompt, type Random, type Refusal, type RefusalOptions, type RefusalReason, type RelayConfiguration, type RelayCustomer,
	type RelayRoute, type Result, type WorkLimit,
} from '#core';
import type {
	OriginDecision, Relay, RelayCaller, ResumedStream,
} from '#relay';
import {
	createRouteTable, findRoute, choosePool, type RouteTable,
} from '#routing';
import type {Telemetry} from '#telemetry';

export type GatewayDependencies = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	/** The result of `run` is a {@link RunState}; only `not_run` is looked at. */
	relay: Readonly<{run: (...parameters: Parameters<Relay['run']>) => Promise<unknown>}>;
	/** Enforces the limits of customers. Default: none are enforced. */
	customerLimits?: Pick<CustomerLimits, 'setLimits' | 'admit' | 'refund'>;
	/** Decides where a stream that its caller resumes may go on. */
	resolveOrigin: (stream: ResumedStream) => Promise<OriginDecision>;
}>;

/** Request line and headers of a caller's request, as far as the gateway needs them. */
export type RequestHead = Readonly<{
	requestId: string;
	method: string;
	/** Path with the query. */
	path: string;
	host: string;
	/** Time for which the caller waits, in milliseconds; absent if not stated. */
	remainingMs: number | undefined;
	apiKey: string | undefined;
	/** Id of the last event that the caller received, if it resumes a stream. */
	lastEventId: string | undefined;
	/** Id of the request that brought the first event of that stream, if the caller states it. */
	resumedRequestId: string | undefined;
	prompt: Prompt | undefined;
	/** Tokens of the prompt and of the longest answer that the caller states, added up; absent if not stated. */
	statedTokens?: number | undefined;
	/** Alternating header names and values that are forwarded to a target. */
	forwardedHeaders: readonly string[];
	/** Size of all header lines, in bytes. */
	headerBytes: number;
	/** Stated size of the body, in bytes; absent if not stated. */
	bodyBytes: number | undefined;
}>;

/** A request whose body may be read and that may run. */
export type AcceptedRequest = Readonly<{
	head: RequestHead;
	/** The configuration by which the request was accepted. */
	configuration: RelayConfiguration;
	route: RelayRoute;
	customer: RelayCustomer | undefined;
	arrivedMs: number;
	deadlineMs: number;
	maxBodyBytes: number;
	/** Scope within which cached parts of the prompt may be shared; absent if the request has no prompt. */
	cacheScope: string | undefined;
}>;

/** The active configuration and the values derived from it. */
type ActiveConfiguration = Readonly<{
	configuration: RelayConfiguration;
	routeTable: RouteTable;
	/** Cache scope of the customers that are not isolated. */
	sharedScope: string;
}>;

/** What a request costs of its customer's limit. */
type Charge = Readonly<{customer: string; cost: number}>;

/** Retry time of a refusal while the configuration or the route's pool is missing, in milliseconds; a starting instance reads its configuration in less. */
const notConfiguredRetryAfterMs = 500;

/** Retry time of a refusal because the origin of a stream is unknown or gone, in milliseconds: a starting instance opens the links to its peers in less. */
const originRetryAfterMs = 500;

/** Refusal reasons of resumed streams that cannot go on. */
const originRefusals = {unknown: 'stream_origin_unknown', moved: 'stream_origin_gone'} as const;

/** Maximum length of a path in a log line, in characters; longer paths are truncated. */
const maxLoggedPathLength = 100;

/** Accepts or refuses callers' requests, and runs the accepted ones. */
export class Gateway {
	readonly #dependencies: GatewayDependencies;
	readonly #overloadGuard: OverloadGuard;
	/** What accepted requests cost that have not run yet; it is given back if they end without having run. */
	readonly #charges = new WeakMap<AcceptedRequest, Charge>();
	#active: ActiveConfiguration | undefined;
	#resolving = 0;

	constructor(dependencies: GatewayDependencies) {
		this.#dependencies = dependencies;
		this.#overloadGuard = new OverloadGuard(dependencies);
	}

	/** Number of accepted requests for which it is not decided yet where their stream may go on. */
	get resolving(): number {
		return this.#resolving;
	}

	/** The active configuration; `undefined` before the first one. */
	get configuration(): RelayConfiguration | undefined {
		return this.#active?.configuration;
	}

	/**
	 * Makes a configuration the active one.
	 *
	 * @returns `false` if the active configuration has the same or a higher version
	 */
	applyConfiguration(received: RelayConfiguration): boolean {
		if (received.version <= (this.#active?.configuration.version ?? 0)) {
			return false;
		}

		const configuration = keepValidLimits(received, this.#active?.configuration);
		this.#dependencies.customerLimits?.setLimits(listLimits(configuration));
		this.#active = {configuration, routeTable: createRouteTable(configuration.routes), sharedScope: computeSharedScope(configuration)};
		this.#dependencies.telemetry.set('configuration_generation', configuration.version);
		this.#dependencies.telemetry.log('configuration in force', {version: configuration.version, routes: configuration.routes.length});
		return true;
	}

	/** Finds the route and the customer of a request, and refuses it if it may not be read or run, or cannot be started in time. */
	accept(head: RequestHead): Result<AcceptedRequest, Refusal> {
		if (!this.#active) {
			return fail(this.refuse(head, 'not_configured', {retryAfterMs: notConfiguredRetryAfterMs}));
		}

		const {configuration, routeTable, sharedScope} = this.#active;
		const route = findRoute(routeTable, head.host, head.path);
		if (!route) {
			return fail(this.refuse(head, 'route_unknown'));
		}

		const customer = head.apiKey === undefined ? undefined : configuration.customers?.get(head.apiKey);
		const isKeyRequired = configuration.customers !== undefined && !route.isPublic;
		if (isKeyRequired && !customer) {
			return fail(this.refuse(head, 'unauthenticated'));
		}

		const {maxHeaderBytes, maxBodyBytes} = configuration.limits;
		if (head.headerBytes > maxHeaderBytes) {
			return fail(this.refuse(head, 'headers_too_large'));
		}

		if ((head.bodyBytes ?? 0) > maxBodyBytes) {
			return fail(this.refuse(head, 'body_too_large'));
		}

		const retryAfterMs = this.#overloadGuard.admit(route.promisedMs);
		if (retryAfterMs !== undefined) {
			const delayMs = Math.round(this.#overloadGuard.estimateDelayMs());
			return fail(this.refuse(head, 'instance_overloaded', {retryAfterMs, detail: `Input waits ${delayMs} ms until it is read.`}));
		}

		const charge = createCharge(head, customer);
		const limitedMs = charge && this.#dependencies.customerLimits?.admit(charge.customer, charge.cost);
		if (limitedMs !== undefined) {
			return fail(this.refuse(head, 'rate_limited', {retryAfterMs: limitedMs}));
		}

		const arrivedMs = this.#dependencies.clock.now();
		const deadlineMs = arrivedMs + Math.min(head.remainingMs ?? Infinity, route.timeoutMs);
		const accepted: AcceptedRequest = {
			head, configuration, route, customer, arrivedMs, deadlineMs, maxBodyBytes, cacheScope: head.prompt && (customer?.isIsolated ? `only ${customer.name}` : sharedScope),
		};
		if (charge) {
			this.#charges.set(accepted, charge);
		}

		return succeed(accepted);
	}

	/** Ends an accepted request. If it has not run, its customer gets back what it has cost. */
	finish(accepted: AcceptedRequest): void {
		const charge = this.#charges.get(accepted);
		if (charge) {
			this.#charges.delete(accepted);
			this.#dependencies.customerLimits?.refund(charge.customer, charge.cost);
		}
	}

	/** Runs an accepted request on a pool of its route: where the stream that the caller resumes began, else chosen at random by weight. */
	async run(accepted: AcceptedRequest, body: Uint8Array | undefined, caller: RelayCaller): Promise<void> {
		const {head, configuration, route, customer, arrivedMs, deadlineMs, cacheScope} = accepted;
		const {random, relay, resolveOrigin} = this.#dependencies;
		this.#resolving++;
		// The caller may have left before its request was read; the end of its connection then lies behind the request.
		await readArrivedInput();
		const decision = await resolveOrigin({
			requestId: head.requestId, route, customer: customer?.name, lastEventId: head.lastEventId, resumedRequestId: head.resumedRequestId,
		}).finally(() => {
			this.#resolving--;
		});
		if (caller.hasLeft()) {
			return;
		}

		if (decision.kind === 'unknown' || decision.kind === 'moved') {
			caller.refuse(this.refuse(head, originRefusals[decision.kind], {retryAfterMs: originRetryAfterMs}));
			return;
		}

		const origin = decision.kind === 'origin' ? decision.origin : undefined;
		const onlyVersions = decision.kind === 'any' ? decision.softwareVersions : undefined;
		const shares = onlyVersions ? route.pools.filter(({pool}) => onlyVersions.has(pool)) : route.pools;
		const pool = configuration.pools.get(origin?.pool ?? choosePool(shares, random.next()) ?? '');
		if (!pool) {
			caller.refuse(this.refuse(head, 'no_target', {retryAfterMs: notConfiguredRetryAfterMs}));
			return;
		}

		// Until the relay says otherwise, the request counts as run.
		const charge = this.#charges.get(accepted);
		this.#charges.delete(accepted);
		const runState = await relay.run({
			id: head.requestId, method: head.method, path: head.path, headers: head.forwardedHeaders, body, route, customer, prompt: head.prompt, cacheScope,
			lastEventId: head.lastEventId, resumedRequestId: head.resumedRequestId, softwareVersion: origin?.softwareVersion ?? onlyVersions?.get(pool.name),
			configurationVersion: configuration.version, arrivedMs, deadlineMs,
		}, pool, caller);
		if (charge && runState === 'not_run') {
			this.#charges.set(accepted, charge);
		}
	}

	/** Creates, counts and logs the refusal of a request that reached no target. */
	refuse({requestId, host, path, headerBytes, bodyBytes, apiKey}: RequestHead, reason: RefusalReason, options: RefusalOptions = {}): Refusal {
		const {telemetry} = this.#dependencies;
		const refusal = createRefusal(reason, options);
		telemetry.count('refusals_total', {reason, ran: refusal.ran});
		telemetry.log('request refused', {
			id: requestId, reason, status: refusal.status, configuration: this.configuration?.version, host, path: path.slice(0, maxLoggedPathLength),
			hasKey: apiKey !== undefined, headerBytes, bodyBytes, returnMs: refusal.retryAfterMs, detail: options.detail,
		});
		return refusal;
	}
}

/** Creates the charge for a request; `undefined` if its customer has no limit. */
function createCharge({statedTokens}: RequestHead, customer: RelayCustomer | undefined): Charge | undefined {
	if (!customer?.limit) {
		return undefined;
	}

	const {unit, plainTokens} = customer.limit;
	return {customer: customer.name, cost: unit === 'tokens' ? statedTokens ?? plainTokens : 1};
}

/** Keeps the limits in force of customers whose new limit cannot be parsed. */
function keepValidLimits(received: RelayConfiguration, previous: RelayConfiguration | undefined): RelayConfiguration {
	const customers = [...received.customers ?? []];
	if (!customers.some(([, {isLimitMalformed}]) => isLimitMalformed)) {
		return received;
	}

	const limits = previous ? listLimits(previous) : new Map<string, WorkLimit>();
	return {
		...received,
		customers: new Map(customers.map(([key, customer]) => {
			const limit = limits.get(customer.name);
			return [key, customer.isLimitMalformed && limit ? {...customer, limit} : customer];
		})),
	};
}

/** Lists the limits of customers, by name. */
function listLimits({customers}: RelayConfiguration): ReadonlyMap<string, WorkLimit> {
	const limits = new Map<string, WorkLimit>();
	for (const {name, limit} of customers?.values() ?? []) {
		if (limit) {
			limits.set(name, limit);
		}
	}

	return limits;
}

/**
 * Computes the cache scope of the customers that are not isolated. Each set of
 * isolated customers gives another scope, so that entries which a customer
 * cached before its isolation do not serve the others afterwards.
 */
function computeSharedScope({customers}: RelayConfiguration): string {
	const isolated = new Set([...customers?.values() ?? []].filter(({isIsolated}) => isIsolated).map(({name}) => name));
	return `shared ${hash64([...isolated].toSorted((a, b) => a < b ? -1 : 1).join('\n'))}`;
}
