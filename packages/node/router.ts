/**
 * The parts of one instance wired together, without servers: everything that
 * touches the outside is handed in, so that tests run it on stand-ins and a
 * manual clock.
 */
import {explainPlacement, type ExplainRequest, type Explanation} from './_explain.ts';
import {pollTargets} from './_poll-targets.ts';
import {LeavingRelay} from './_relay-leaving.ts';
import {isRepeatable} from './_repeatable.ts';
import {Admission, authenticate} from '#admission';
import {Claims, sweepClaims} from '#claims';
import {runCapacity} from '#capacity';
import type {Clock} from '#clock';
import {ConfigurationStore} from '#configuration';
import {
	makeRefusal, type AnswerEvent, type Configuration, type Customer, type RefusalReason, type Result, type RoutedRequest,
	type Route, type Random, type TargetConnector,
} from '#core';
import {Dispatcher, TargetLinks} from '#dispatch';
import type {CallerRequest} from '#entry';
import {
	runShareExchange, Placer, TargetViews, type PlacementPolicy,
} from '#placement';
import type {PeerBus} from '#peer-protocol';
import {
	createObjectStoreClient, type InstanceEntry, type ObjectStore, type ObjectStoreClientOptions,
} from '#object-store';
import {Quarantine, StruckTurns} from '#quarantine';
import type {Telemetry} from '#telemetry';

/** What a router is made of. */
export type RouterDeps = Readonly<{
	name: string;
	zone: string;
	/** Incarnation by which the peers know this instance. Default: a random one. */
	incarnation?: string;
	clock: Clock;
	random: Random;
	platform: ObjectStore;
	connector: TargetConnector;
	bus: PeerBus;
	telemetry: Telemetry;
	/** Whether this instance watches the configuration on the platform at present. Default: always. */
	isWatcher?: () => boolean;
	/** Time between polls of a target's load report, in milliseconds. */
	reportPollMs: number;
	/** Default: the platform client's own. */
	platformOptions?: ObjectStoreClientOptions;
	/** Default: the placement package's own. */
	choose?: PlacementPolicy;
}>;

/** A running router. */
export type Router = Readonly<{
	configuration: ConfigurationStore;
	views: TargetViews;
	quarantine: Quarantine;
	/** Runs a caller's request. */
	handle(request: CallerRequest, signal: AbortSignal): AsyncIterable<AnswerEvent>;
	/** Says where a request would be sent and why. */
	explain(request: ExplainRequest): Result<Explanation, RefusalReason>;
	/** Requests in progress. */
	countRunning(): number;
	/** Takes in the platform's list of instances. */
	readList(entries: readonly InstanceEntry[]): void;
	/** Stops all background tasks. */
	stop(): Promise<void>;
}>;

type Routed = Readonly<{customer: Customer; route: Route; configuration: Configuration}>;

/** Wires a router and starts its background tasks. */
export function createRouter(deps: RouterDeps): Router {
	const {clock, telemetry, random} = deps;
	const platform = createObjectStoreClient({
		platform: deps.platform, clock, random, telemetry, countInstances: () => deps.bus.listPeers().length + 1,
	}, deps.platformOptions);
	const configuration = new ConfigurationStore(platform.configuration, clock, telemetry, {bus: deps.bus, isWatcher: deps.isWatcher});
	const views = new TargetViews();
	const leaving = new LeavingRelay(deps.bus, views, telemetry);
	const links = new TargetLinks(deps.connector);
	const placer = new Placer({
		views, clock, random, zone: deps.zone, choose: deps.choose, telemetry, countInstances: () => deps.bus.listPeers().length + 1,
	});
	const quarantine = new Quarantine({
		clock, random, telemetry, bus: deps.bus,
	});
	const turns = new StruckTurns({clock, random, bus: deps.bus});
	const dispatcher = new Dispatcher({
		clock, random, telemetry, views, placer, links, quarantine, turns,
	});
	const incarnation = deps.incarnation ?? random.id();
	const admission = new Admission({
		clock, bus: deps.bus, telemetry, name: deps.name, incarnation, getConfiguration: () => configuration.current,
		countTargets: pool => pool.targets.filter(target => !views.get(target.name).leaving).length,
	}, {expectedInstances: deps.platformOptions?.expectedInstances});
	const claims = new Claims({
		clock, random, platform: platform.claims, telemetry, owner: {name: deps.name, incarnation},
		isLive: owner => deps.bus.listPeers().some(peer => peer.name === owner.name && peer.incarnation === owner.incarnation),
	});
	const stopping = new AbortController();
	const tasks = [
		configuration.run(stopping.signal),
		pollTargets({
			configuration, views, links, clock, telemetry, pollMs: deps.reportPollMs,
			reported(target) {
				leaving.check(target);
			},
		}, stopping.signal),
		runShareExchange({views, bus: deps.bus, clock}, stopping.signal),
		sweepClaims({
			clock, platform: platform.status, telemetry, incarnation, listPeers: () => deps.bus.listPeers().map(peer => peer.incarnation),
		}, stopping.signal),
		runCapacity({
			name: deps.name, clock, random, telemetry, platform: platform.leases, bus: deps.bus, configuration,
			getLink: (pool, target) => links.get(pool, target),
			countWaiting: pool => admission.countWaiting(pool),
		}, stopping.signal),
	];
	let running = 0;

	async function * handle(request: CallerRequest, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
		const routed = findRoute(configuration.current, request);
		if (typeof routed === 'string') {
			yield countRefused(telemetry, {kind: 'refused', refusal: makeRefusal(routed)});
			return;
		}

		const {route, customer} = routed;
		const repeatable = isRepeatable(route, request.work);
		if (!repeatable && request.idempotencyKey === undefined) {
			yield countRefused(telemetry, {kind: 'refused', refusal: makeRefusal('idempotency_key_missing')});
			return;
		}

		const arrivedMs = clock.now();
		const ready: RoutedRequest = {
			id: random.id(), customer, route, pool: routed.configuration.pools.get(route.pool)!, work: request.work, repeatable,
			idempotencyKey: request.idempotencyKey, arrivedMs, deadlineMs: arrivedMs + route.timeoutMs,
		};
		const labels = {route: route.name, customer: customer.name};
		telemetry.count('requests_total', labels);
		telemetry.set('requests_running', ++running);
		const admitted = await admission.admit(ready, signal);
		if (!admitted.ok) {
			telemetry.set('requests_running', --running);
			yield countRefused(telemetry, {kind: 'refused', refusal: admitted.error});
			return;
		}

		try {
			yield * watchAnswer(claims.run(ready, signal, limited => dispatcher.run(ready, limited)), ready);
		} finally {
			admitted.value.release();
			telemetry.set('requests_running', --running);
		}
	}

	async function * watchAnswer(events: AsyncIterable<AnswerEvent>, request: RoutedRequest): AsyncGenerator<AnswerEvent> {
		const route = {route: request.route.name};
		let first = true;
		for await (const event of events) {
			if (event.kind === 'data' && first) {
				first = false;
				telemetry.observe('first_token_ms', clock.now() - request.arrivedMs, route);
			}

			if (event.kind === 'end') {
				telemetry.observe('answer_ms', clock.now() - request.arrivedMs, route);
				telemetry.count('answers_total', {...route, customer: request.customer.name});
			}

			yield countRefused(telemetry, event);
		}
	}

	return {
		configuration, views, quarantine, handle,
		explain: request => explainPlacement(configuration.current, placer, request),
		countRunning: () => running,
		readList(entries) {
			leaving.readList(entries);
			admission.readList(entries.filter(entry => entry.kind === 'router').map(entry => entry.name));
		},
		async stop() {
			await claims.stop();
			admission.close();
			stopping.abort();
			quarantine.close();
			turns.close();
			await Promise.all(tasks);
			await links.close();
		},
	};
}

function findRoute(configuration: Configuration | undefined, request: CallerRequest): Routed | RefusalReason {
	if (!configuration) {
		return 'not_configured';
	}

	const customer = authenticate(configuration, request.authorization);
	if (!customer) {
		return 'unauthenticated';
	}

	const route = configuration.routes.get(request.route);
	if (!route) {
		return 'route_unknown';
	}

	return customer.routes.includes(route.name) ? {customer, route, configuration} : 'route_not_allowed';
}

function countRefused(telemetry: Telemetry, event: AnswerEvent): AnswerEvent {
	if (event.kind === 'refused') {
		telemetry.count('refusals_total', {reason: event.refusal.reason, ran: event.refusal.ran});
	}

	return event;
}
