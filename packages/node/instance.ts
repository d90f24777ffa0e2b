/** The instance that a process runs: a router with its HTTP servers for callers and operators. */
import {startPeers, type Peers} from './_peers.ts';
import {Lifecycle} from './lifecycle.ts';
import {createRouter, stoppingRetryMs, type Router} from './router.ts';
import {defaultStop, type Settings} from './settings.ts';
import {provideSnapshots, restoreState} from './warm-start.ts';
import {createAdminApp} from '#admin';
import {createSystemClock, type Clock} from '#clock';
import {
	createSystemRandom, createRefusal, getErrorMessage, type Refusal,
} from '#core';
import {createEntryApp} from '#entry';
import {startHttpServer, type HttpServer} from '#http';
import {createHttpObjectStore, type ObjectStore} from '#object-store';
import {createHttpConnector} from '#targets';
import {createTelemetry, type Telemetry} from '#telemetry';

/** A listening instance. */
export type Instance = Readonly<{
	router: Router;
	telemetry: Telemetry;
	/** `host:port` for callers. */
	address: string;
	/** `host:port` for operators. */
	adminAddress: string;
	/** `host:port` of the peer protocol; absent without peers. */
	peerAddress?: string;
	peers: Peers;
	lifecycle: Lifecycle;
	/** Starts a graceful shutdown: refuses new requests once the load balancer has had time to stop sending them, and waits for the running ones. */
	drain(): Promise<void>;
	/** Completes the shutdown: closes the servers and stops all background tasks. */
	stop(): Promise<void>;
}>;

/** Number of instances that watch the configuration on the platform; the others receive it from peers. */
const watcherCount = 8;

/** Maximum time for refusals to reach the callers of requests that outlast the drain, in milliseconds. */
const refusalTimeoutMs = 1000;

/** Maximum time to wait for requests of operators, such as a publication, in milliseconds. */
const operatorTimeoutMs = 10_000;

/** Starts an instance from its settings. The instance listens at once and becomes ready when its initial state is complete. */
export async function startInstance(settings: Settings): Promise<Instance> {
	const clock = createSystemClock();
	const telemetry = createTelemetry({name: settings.name, level: settings.logLevel});
	const random = createSystemRandom();
	const platform = createHttpObjectStore(settings.platformOrigin, {token: settings.platformToken});
	const peers = await startPeers({
		settings, clock, random, telemetry, platform,
		getStatus: () => ({generation: router.configuration.current?.generation ?? 0, ready: lifecycle.isReady, running: router.countRunning()}),
		handleHeartbeat(peer, status) {
			router.configuration.handlePeerGeneration(peer, status.generation);
		},
		handleInstanceList(entries) {
			router.applyInstanceList(entries);
		},
	});
	const router: Router = createRouter({
		name: settings.name, zone: settings.zone, incarnation: peers.incarnation, clock, random, telemetry, platform,
		connector: createHttpConnector(), bus: peers.bus,
		platformOptions: {rates: settings.platformRates, expectedInstances: settings.expectedInstances},
		isWatcher: () => peers.isAmongFirst('configuration', watcherCount), reportPollMs: settings.reportPollMs,
	});
	let countOpenRequests = () => 0;
	const lifecycle: Lifecycle = new Lifecycle({
		clock, telemetry, ...(settings.stop ?? defaultStop),
		countRunning: () => Math.max(countOpenRequests(), router.countRunning()) + router.countDetached(),
	});
	const warmStart = {
		clock, random, telemetry, bus: peers.bus, configuration: router.configuration, views: router.views, quarantine: router.quarantine,
		isReady: () => lifecycle.isReady,
	};
	provideSnapshots(warmStart);
	const starting = new AbortController();
	const aborting = new AbortController();
	void restoreState(warmStart, settings.peers !== undefined, starting.signal).then(() => {
		lifecycle.markReady();
	});
	const {callerServer, operatorServer} = await startServers(settings, {
		clock, telemetry, platform, router, lifecycle, peers, abortSignal: aborting.signal,
	});
	countOpenRequests = callerServer.countOpenRequests;
	const {address} = callerServer;
	const {address: adminAddress} = operatorServer;
	telemetry.log('instance started', {address, adminAddress});
	return {
		router, telemetry, address, adminAddress, peers, lifecycle,
		...(peers.address === undefined ? {} : {peerAddress: peers.address}),
		async drain() {
			peers.announceLeaving();
			await lifecycle.drain();
		},
		async stop() {
			starting.abort();
			const closedOperatorServer = closeWithin(clock, operatorServer, operatorTimeoutMs);
			if (lifecycle.phase === 'refusing') {
				// Requests that are still open after a drain have exceeded its time limit.
				aborting.abort();
				router.abortRunning();
				await closeWithin(clock, callerServer, refusalTimeoutMs);
			} else {
				await callerServer.close();
			}

			await closedOperatorServer;
			await router.stop();
			await peers.stop();
			telemetry.log('instance stopped');
		},
	};
}

/** Closes a server; requests that are open after `timeoutMs` are cut. */
async function closeWithin(clock: Clock, server: HttpServer, timeoutMs: number): Promise<void> {
	const timeout = new AbortController();
	await Promise.race([server.close(), clock.sleep(timeoutMs, timeout.signal)]);
	timeout.abort();
	await server.destroy();
}

type ServerDependencies = Readonly<{
	clock: Clock; telemetry: Telemetry; platform: ObjectStore; router: Router; lifecycle: Lifecycle; peers: Peers;
	/** Aborts when the instance waits no longer for the requests of callers. */
	abortSignal: AbortSignal;
}>;

async function startServers(settings: Settings, dependencies: ServerDependencies): Promise<Readonly<{callerServer: HttpServer; operatorServer: HttpServer}>> {
	const {clock, telemetry, platform, router, lifecycle, peers, abortSignal} = dependencies;
	const countRefusal = ({reason, ran}: Refusal) => {
		telemetry.count('refusals_total', {reason, ran});
	};

	const entry = createEntryApp({
		handleRequest: gateRequests(lifecycle, router.handle, countRefusal), maxBodyBytes: settings.maxBodyBytes, countRefusal, clock, stopSignal: abortSignal,
		handleError(error) {
			telemetry.count('requests_unanswered_total', {cause: 'error'});
			telemetry.log('request ended without an answer', {error: getErrorMessage(error)});
		},
	});
	const admin = createAdminApp({
		name: settings.name, zone: settings.zone, telemetry, configuration: router.configuration, countRunning: router.countRunning,
		platform, operatorTokenDigests: settings.operatorTokenDigests, explain: router.explain, isReady: () => lifecycle.isReady,
		getExtraStatus: () => ({ready: lifecycle.isReady, instances: peers.listInstances()}),
	});
	const callerServer = await startHttpServer((req, res) => {
		if (lifecycle.shouldCloseConnections) {
			res.setHeader('connection', 'close');
		}

		entry(req, res);
	}, settings.listen);
	return {callerServer, operatorServer: await startHttpServer(admin, settings.adminListen)};
}

/** Wraps `handle` so that requests are refused once the instance no longer accepts them. */
function gateRequests(lifecycle: Lifecycle, handle: Router['handle'], countRefusal: (refusal: Refusal) => void): Router['handle'] {
	return async function * (request, signal) {
		if (lifecycle.isAcceptingRequests) {
			yield * handle(request, signal);
			return;
		}

		const refusal = createRefusal('stopping', {retryAfterMs: stoppingRetryMs});
		countRefusal(refusal);
		yield {kind: 'refused', refusal};
	};
}
