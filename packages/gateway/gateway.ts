/**
 * From the head of a caller's request to the relay: the configuration in
 * force, the route, the customer, the limits, and the time that is left.
 */
import type {Clock} from '#clock';
import {
	fail, hash64, makeRefusal, succeed, type Prompt, type Random, type Refusal, type RefusalOptions, type RefusalReason, type RelayConfiguration, type RelayCustomer,
	type RelayRoute, type Result,
} from '#core';
import type {Relay, RelayCaller} from '#relay';
import {
	buildRouteTable, findRoute, pickPool, type RouteTable,
} from '#routing';
import type {Telemetry} from '#telemetry';

/** What a gateway works with. */
export type GatewayDeps = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	relay: Pick<Relay, 'run'>;
}>;

/** The head of a caller's request. */
export type RequestHead = Readonly<{
	requestId: string;
	method: string;
	/** Path with the query. */
	path: string;
	host: string;
	/** Time that the caller will wait, in milliseconds; absent where it states none. */
	remainingMs: number | undefined;
	key: string | undefined;
	lastEventId: string | undefined;
	prompt: Prompt | undefined;
	/** Header names and values in turn that go on to a target. */
	passed: readonly string[];
	/** Size of all header lines, in bytes. */
	headerBytes: number;
	/** Stated size of the body, in bytes; absent where none is stated. */
	bodyBytes: number | undefined;
}>;

/** A request that may be read whole and run. */
export type AcceptedRequest = Readonly<{
	head: RequestHead;
	/** The configuration by which it was accepted. */
	configuration: RelayConfiguration;
	route: RelayRoute;
	customer: RelayCustomer | undefined;
	arrivedMs: number;
	deadlineMs: number;
	maxBodyBytes: number;
	/** Scope within which cached parts of the prompt may be shared; absent where the request is no prompt. */
	cacheScope: string | undefined;
}>;

/** A configuration with what is derived from it. */
type InForce = Readonly<{
	configuration: RelayConfiguration;
	routes: RouteTable;
	/** Cache scope of the customers that are not isolated. */
	sharedScope: string;
}>;

/** Time to come back after a refusal while no configuration is known, in milliseconds: a start reads it in less. */
const notConfiguredRetryMs = 500;

/** Longest part of a path that a log line shows, in characters. */
const maxLoggedPath = 100;

/** Accepts callers' requests. */
export class Gateway {
	readonly #deps: GatewayDeps;
	#inForce: InForce | undefined;

	constructor(deps: GatewayDeps) {
		this.#deps = deps;
	}

	/** The configuration in force; none before the first. */
	get configuration(): RelayConfiguration | undefined {
		return this.#inForce?.configuration;
	}

	/**
	 * Puts a configuration into force.
	 *
	 * @returns `false` where a newer one is in force already
	 */
	install(configuration: RelayConfiguration): boolean {
		if (configuration.version <= (this.#inForce?.configuration.version ?? 0)) {
			return false;
		}

		this.#inForce = {configuration, routes: buildRouteTable(configuration.routes), sharedScope: makeSharedScope(configuration)};
		this.#deps.telemetry.set('configuration_generation', configuration.version);
		this.#deps.telemetry.log('configuration in force', {version: configuration.version, routes: configuration.routes.length});
		return true;
	}

	/** Decides whether a request may be read and run. */
	accept(head: RequestHead): Result<AcceptedRequest, Refusal> {
		if (!this.#inForce) {
			return fail(this.refuse(head, 'not_configured', {retryAfterMs: notConfiguredRetryMs}));
		}

		const {configuration, routes, sharedScope} = this.#inForce;
		const route = findRoute(routes, head.host, head.path);
		if (!route) {
			return fail(this.refuse(head, 'route_unknown'));
		}

		const customer = head.key === undefined ? undefined : configuration.customers?.get(head.key);
		const needsKey = configuration.customers !== undefined && !route.isPublic;
		if (needsKey && !customer) {
			return fail(this.refuse(head, 'unauthenticated'));
		}

		const {maxHeaderBytes, maxBodyBytes} = configuration.limits;
		if (head.headerBytes > maxHeaderBytes) {
			return fail(this.refuse(head, 'headers_too_large'));
		}

		if ((head.bodyBytes ?? 0) > maxBodyBytes) {
			return fail(this.refuse(head, 'body_too_large'));
		}

		const arrivedMs = this.#deps.clock.now();
		const deadlineMs = arrivedMs + Math.min(head.remainingMs ?? Infinity, route.timeoutMs);
		return succeed({
			head, configuration, route, customer, arrivedMs, deadlineMs, maxBodyBytes, cacheScope: head.prompt && (customer?.isIsolated ? `only ${customer.name}` : sharedScope),
		});
	}

	/** Runs an accepted request. */
	async run({head, configuration, route, customer, arrivedMs, deadlineMs, cacheScope}: AcceptedRequest, body: Uint8Array | undefined, caller: RelayCaller): Promise<void> {
		const {random, relay} = this.#deps;
		const pool = configuration.pools.get(pickPool(route.pools, random.next()) ?? '');
		if (!pool) {
			caller.refuse(this.refuse(head, 'no_target', {retryAfterMs: notConfiguredRetryMs}));
			return;
		}

		await relay.run({
			id: head.requestId, method: head.method, path: head.path, headers: head.passed, body, route, customer, prompt: head.prompt, cacheScope,
			lastEventId: head.lastEventId, configurationVersion: configuration.version, arrivedMs, deadlineMs,
		}, pool, caller);
	}

	/** Makes, counts and logs the refusal of a request that reached no target. */
	refuse({requestId, host, path, headerBytes, bodyBytes, key}: RequestHead, reason: RefusalReason, options: RefusalOptions = {}): Refusal {
		const {telemetry} = this.#deps;
		const refusal = makeRefusal(reason, options);
		telemetry.count('refusals_total', {reason, ran: refusal.ran});
		telemetry.log('request refused', {
			id: requestId, reason, status: refusal.status, configuration: this.configuration?.version, host, path: path.slice(0, maxLoggedPath),
			hasKey: key !== undefined, headerBytes, bodyBytes, returnMs: refusal.retryAfterMs,
		});
		return refusal;
	}
}

/** What customers cached together before one of them was isolated must not serve the others afterwards: each set of isolated customers has a scope of its own. */
function makeSharedScope({customers}: RelayConfiguration): string {
	const isolated = new Set([...customers?.values() ?? []].filter(({isIsolated}) => isIsolated).map(({name}) => name));
	return `shared ${hash64([...isolated].toSorted((a, b) => a < b ? -1 : 1).join('\n'))}`;
}
