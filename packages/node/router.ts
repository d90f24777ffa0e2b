/**
 * Wires the components of one router, without its servers. The clock, the random
 * source and all connections are injected, so that tests can run a router on
 * stand-ins and a manual clock.
 */
import {explainPlacement, type ExplainRequest, type Explanation} from './_explain.ts';
import {pollTargets} from './_poll-targets.ts';
import {DrainingNotifier} from './_draining-notifier.ts';
import {isRepeatable} from './_is-repeatable.ts';
import {Admission, authenticate} from '#admission';
import {Claims, sweepClaims} from '#claims';
import {runCapacityControllers} from '#capacity';
import type {Clock} from '#clock';
import {ConfigurationStore} from '#configuration';
import {
	createRefusal, hash64, type AnswerEvent, type Configuration, type Customer, type RefusalReason, type Result, type RoutedRequest,
	type Route, type Random, type TargetConnector,
} from '#core';
import {Dispatcher, TargetLinks} from '#dispatch';
import type {CallerRequest} from '#entry';
import {
	runWorkExchange, Placer, TargetViews, type PlacementPolicy,
} from '#placement';
import type {PeerBus} from '#peer-protocol';
import {
	createObjectStoreClient, type InstanceEntry, type ObjectStore, type ObjectStoreClientOptions,
} from '#object-store';
import {
	PartQuarantine, partStrikeOptions, Quarantine, StruckRequestTurns,
} from '#quarantine';
import type {Telemetry} from '#telemetry';

/** Dependencies of {@link createRouter}. */
export type RouterDependencies = Readonly<{
	name: string;
	zone: string;
	/** Incarnation under which peers know this instance. Default: a random one. */
	incarnation?: string;
	clock: Clock;
	random: Random;
	platform: ObjectStore;
	connector: TargetConnector;
	bus: PeerBus;
	telemetry: Telemetry;
	/** Whether this instance should watch the configuration on the platform now. Default: always. */
	isWatcher?: () => boolean;
	/** Time between polls of a target's load report, in milliseconds. */
	reportPollMs: number;
	/** Options of the client for `platform`. Default: the client's own. */
	platformOptions?: ObjectStoreClientOptions;
	/** Chooses the target of a request. Default: the policy of the placement package. */
	choose?: PlacementPolicy;
}>;

export type Router = Readonly<{
	configuration: ConfigurationStore;
	views: TargetViews;
	quarantine: Quarantine;
	/** Admits a caller's request, runs it on a target and yields the answer. */
	handle(request: CallerRequest, signal: AbortSignal): AsyncIterable<AnswerEvent>;
	/** Explains on which target a request would be placed, without sending it. */
	explain(request: ExplainRequest): Result<Explanation, RefusalReason>;
	/** Counts the requests in progress. */
	countRunning(): number;
	/** Counts the calls that go on without a caller, until their outcome is recorded. */
	countDetached(): number;
	/** Ends the requests in progress with the refusal `stopping` if they have not run, else with `stopped`. */
	abortRunning(): void;
	/** Applies the platform's list of instances. */
	applyInstanceList(entries: readonly InstanceEntry[]): void;
	/** Stops all background tasks. */
	stop(): Promise<void>;
}>;

/** Time after which a caller may retry a request that a stopping instance refused, in milliseconds. */
export const stoppingRetryMs = 100;

type RouteMatch = Readonly<{customer: Customer; route: Route; configuration: Configuration}>;

/** Creates a router and starts its background tasks. */
export function createRouter(dependencies: RouterDependencies): Router {
	const {clock, telemetry, random} = dependencies;
	const platform = createObjectStoreClient({
		platform: dependencies.platform, clock, random, telemetry, countInstances: () => dependencies.bus.listPeers().length + 1,
	}, dependencies.platformOptions);
	const configuration = new ConfigurationStore(platform.configuration, clock, telemetry, {bus: dependencies.bus, isWatcher: dependencies.isWatcher});
	const views = new TargetViews();
	const drainingNotifier = new DrainingNotifier(dependencies.bus, views, telemetry);
	const links = new TargetLinks(dependencies.connector);
	const placer = new Placer({
		views, clock, random, zone: dependencies.zone, choose: dependencies.choose, telemetry, countInstances: () => dependencies.bus.listPeers().length + 1,
	});
	const quarantine = new Quarantine({
		clock, random, telemetry, bus: dependencies.bus,
	});
	const turns = new StruckRequestTurns({clock, random, bus: dependencies.bus});
	const incarnation = dependencies.incarnation ?? random.createId();
	const partStrikes = new Quarantine({
		clock, random, telemetry, bus: dependencies.bus,
	}, partStrikeOptions);
	const partQuarantine = new PartQuarantine({
		clock, telemetry, strikes: partStrikes, getRank: duty => computeRank(duty, dependencies.bus, incarnation),
	});
	const dispatcher = new Dispatcher({
		clock, random, telemetry, views, placer, links, quarantine, partQuarantine, turns,
	});
	const admission = new Admission({
		clock, bus: dependencies.bus, telemetry, name: dependencies.name, incarnation, getConfiguration: () => configuration.current,
		countTargets: pool => pool.targets.filter(target => !views.get(target.name).isDraining).length,
	}, {expectedInstances: dependencies.platformOptions?.expectedInstances});
	const claims = new Claims({
		clock, random, platform: platform.claims, telemetry, owner: {name: dependencies.name, incarnation},
		isLive: owner => dependencies.bus.listPeers().some(peer => peer.name === owner.name && peer.incarnation === owner.incarnation),
	});
	const stopping = new AbortController();
	const tasks = [
		configuration.run(stopping.signal),
		pollTargets({
			configuration, views, links, clock, telemetry, pollIntervalMs: dependencies.reportPollMs,
			handleReport(target) {
				drainingNotifier.reconcile(target);
			},
		}, stopping.signal),
		runWorkExchange({views, bus: dependencies.bus, clock}, stopping.signal),
		sweepClaims({
			clock, platform: platform.status, telemetry, incarnation, listPeers: () => dependencies.bus.listPeers().map(peer => peer.incarnation),
		}, stopping.signal),
		runCapacityControllers({
			name: dependencies.name, clock, random, telemetry, platform: platform.leases, bus: dependencies.bus, configuration,
			getLink: (pool, target) => links.get(pool, target),
			countWaiting: pool => admission.countWaiting(pool),
		}, stopping.signal),
	];
	let running = 0;

	async function * handle(request: CallerRequest, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
		const match = findRoute(configuration.current, request);
		if (typeof match === 'string') {
			yield recordRefusal(telemetry, {kind: 'refused', refusal: createRefusal(match)});
			return;
		}

		const {route, customer} = match;
		const repeatable = isRepeatable(route, request.work);
		if (!repeatable && request.idempotencyKey === undefined) {
			yield recordRefusal(telemetry, {kind: 'refused', refusal: createRefusal('idempotency_key_missing')});
			return;
		}

		const arrivedMs = clock.now();
		const routedRequest: RoutedRequest = {
			id: random.createId(), customer, route, pool: match.configuration.pools.get(route.pool)!, work: request.work, isRepeatable: repeatable,
			idempotencyKey: request.idempotencyKey, arrivedMs, deadlineMs: arrivedMs + route.timeoutMs,
		};
		const labels = {route: route.name, customer: customer.name};
		telemetry.count('requests_total', labels);
		telemetry.set('requests_running', ++running);
		const admitted = await admission.admit(routedRequest, signal);
		if (!admitted.ok) {
			telemetry.set('requests_running', --running);
			yield recordRefusal(telemetry, {kind: 'refused', refusal: admitted.error});
			return;
		}

		try {
			yield * measureAnswer(claims.run(routedRequest, signal, executionSignal => dispatcher.run(routedRequest, executionSignal)), routedRequest);
		} finally {
			admitted.value.release();
			telemetry.set('requests_running', --running);
		}
	}

	async function * measureAnswer(events: AsyncIterable<AnswerEvent>, request: RoutedRequest): AsyncGenerator<AnswerEvent> {
		const route = {route: request.route.name};
		let isFirst = true;
		for await (const event of events) {
			if (event.kind === 'data' && isFirst) {
				isFirst = false;
				telemetry.observe('first_token_ms', clock.now() - request.arrivedMs, route);
			}

			if (event.kind === 'end') {
				telemetry.observe('answer_ms', clock.now() - request.arrivedMs, route);
				telemetry.count('answers_total', {...route, customer: request.customer.name});
			}

			yield recordRefusal(telemetry, event);
		}
	}

	return {
		configuration, views, quarantine, handle,
		explain: request => explainPlacement(configuration.current, placer, request),
		countRunning: () => running,
		countDetached: () => claims.countDetached(),
		abortRunning() {
			admission.refuseWaiting(createRefusal('stopping', {retryAfterMs: stoppingRetryMs}));
			claims.refuseWaiting();
			dispatcher.abortRunning();
		},
		applyInstanceList(entries) {
			drainingNotifier.applyInstanceList(entries);
			admission.updateInstances(entries.filter(entry => entry.kind === 'router').map(entry => entry.name));
		},
		async stop() {
			await claims.stop();
			admission.close();
			stopping.abort();
			quarantine.close();
			partStrikes.close();
			turns.close();
			await Promise.all(tasks);
			await links.close();
		},
	};
}

function findRoute(configuration: Configuration | undefined, request: CallerRequest): RouteMatch | RefusalReason {
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

function recordRefusal(telemetry: Telemetry, event: AnswerEvent): AnswerEvent {
	if (event.kind === 'refused') {
		telemetry.count('refusals_total', {reason: event.refusal.reason, ran: event.refusal.ran});
	}

	return event;
}

/** Computes the rank of this instance among the live ones for a duty; 0 is the first. */
function computeRank(duty: string, bus: PeerBus, self: string): number {
	const ownHash = hash64(`${duty} ${self}`);
	return bus.listPeers().filter(({incarnation}) => hash64(`${duty} ${incarnation}`) < ownHash).length;
}
