/** A process's instance: a router with its HTTP servers. */
import {startPeers, type Peers} from './_peers.ts';
import {Lifecycle} from './lifecycle.ts';
import {createRouter, type Router} from './router.ts';
import {defaultStop, type Settings} from './settings.ts';
import {provideSnapshots, restoreState} from './warm-start.ts';
import {createAdminApp} from '#admin';
import {createSystemClock, type Clock} from '#clock';
import {createSystemRandom, makeRefusal, type Refusal} from '#core';
import {createEntryApp} from '#entry';
import {startHttpServer, type HttpServer} from '#http';
import {createHttpObjectStore, type ObjectStore} from '#object-store';
import {createHttpConnector} from '#targets';
import {createTelemetry, type Telemetry} from '#telemetry';

/** A listening instance. */
export type Instance = Readonly<{
	router: Router;
	telemetry: Telemetry;
	/** `host:port` that callers use. */
	address: string;
	/** `host:port` that operators use. */
	adminAddress: string;
	/** `host:port` of the inner protocol; none without peers. */
	peerAddress?: string;
	peers: Peers;
	lifecycle: Lifecycle;
	/** Turns callers away and waits until nothing runs; the first half of a planned stop. */
	drain(): Promise<void>;
	/** Stops serving. */
	stop(): Promise<void>;
}>;

const watcherCount = 8;
const stoppingRetryMs = 100;

/** Starts an instance from its settings. It listens at once and becomes ready when its first state is there. */
export async function startInstance(settings: Settings): Promise<Instance> {
	const clock = createSystemClock();
	const telemetry = createTelemetry({name: settings.name, level: settings.logLevel});
	const random = createSystemRandom();
	const platform = createHttpObjectStore(settings.platformOrigin, {token: settings.platformToken});
	const peers = await startPeers({
		settings, clock, random, telemetry, platform,
		readStatus: () => ({generation: router.configuration.current?.generation ?? 0, ready: lifecycle.isReady, running: router.countRunning()}),
		heard(peer, status) {
			router.configuration.receive(peer, status.generation);
		},
		listed(entries) {
			router.readList(entries);
		},
	});
	const router: Router = createRouter({
		name: settings.name, zone: settings.zone, incarnation: peers.incarnation, clock, random, telemetry, platform,
		connector: createHttpConnector(), bus: peers.bus,
		platformOptions: {rates: settings.platformRates, expectedInstances: settings.expectedInstances},
		isWatcher: () => peers.isAmongFirst('configuration', watcherCount), reportPollMs: settings.reportPollMs,
	});
	const lifecycle: Lifecycle = new Lifecycle({
		clock, telemetry, countRunning: router.countRunning, ...(settings.stop ?? defaultStop),
	});
	const warmStart = {
		clock, random, telemetry, bus: peers.bus, configuration: router.configuration, views: router.views, quarantine: router.quarantine,
		isReady: () => lifecycle.isReady,
	};
	provideSnapshots(warmStart);
	const starting = new AbortController();
	void restoreState(warmStart, settings.peers !== undefined, starting.signal).then(() => {
		lifecycle.markReady();
	});
	const {callers, operators} = await startServers(settings, {
		clock, telemetry, platform, router, lifecycle, peers,
	});
	const {address} = callers;
	const {address: adminAddress} = operators;
	telemetry.log('instance started', {address, adminAddress});
	return {
		router, telemetry, address, adminAddress, peers, lifecycle,
		...(peers.address === undefined ? {} : {peerAddress: peers.address}),
		async drain() {
			peers.markLeaving();
			await lifecycle.drain();
		},
		async stop() {
			starting.abort();
			const isCut = lifecycle.phase === 'refusing' && router.countRunning() > 0;
			await Promise.all([isCut ? callers.destroy() : callers.close(), operators.close()]);
			await router.stop();
			await peers.stop();
			telemetry.log('instance stopped');
		},
	};
}

type ServerDeps = Readonly<{clock: Clock; telemetry: Telemetry; platform: ObjectStore; router: Router; lifecycle: Lifecycle; peers: Peers}>;

async function startServers(settings: Settings, deps: ServerDeps): Promise<Readonly<{callers: HttpServer; operators: HttpServer}>> {
	const {clock, telemetry, platform, router, lifecycle, peers} = deps;
	const countRefusal = ({reason, ran}: Refusal) => {
		telemetry.count('refusals_total', {reason, ran});
	};

	const entry = createEntryApp({
		handle: gateRequests(lifecycle, router.handle, countRefusal), maxBodyBytes: settings.maxBodyBytes, countRefusal, clock,
	});
	const admin = createAdminApp({
		name: settings.name, zone: settings.zone, telemetry, configuration: router.configuration, countRunning: router.countRunning,
		platform, operatorTokenDigests: settings.operatorTokenDigests, explain: router.explain, isReady: () => lifecycle.isReady,
		readStatus: () => ({ready: lifecycle.isReady, instances: peers.listInstances()}),
	});
	const callers = await startHttpServer((req, res) => {
		if (lifecycle.isTurningAway) {
			res.setHeader('connection', 'close');
		}

		entry(req, res);
	}, settings.listen);
	return {callers, operators: await startHttpServer(admin, settings.adminListen)};
}

/** Refuses requests that come after the balancer has surely turned away. */
function gateRequests(lifecycle: Lifecycle, handle: Router['handle'], countRefusal: (refusal: Refusal) => void): Router['handle'] {
	return async function * (request, signal) {
		if (lifecycle.isTaking) {
			yield * handle(request, signal);
			return;
		}

		const refusal = makeRefusal('stopping', {retryAfterMs: stoppingRetryMs});
		countRefusal(refusal);
		yield {kind: 'refused', refusal};
	};
}
