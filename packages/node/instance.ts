/** A process's instance: a router with its HTTP servers. */
import {startPeers, type Peers} from './_peers.ts';
import {createRouter, type Router} from './router.ts';
import type {Settings} from './settings.ts';
import {createAdminApp} from '#admin';
import {createSystemClock} from '#clock';
import {createSystemRandom} from '#core';
import {createEntryApp} from '#entry';
import {startHttpServer} from '#http';
import {createHttpPlatform} from '#platform';
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
	/** Stops serving. */
	stop(): Promise<void>;
}>;

/** Starts an instance from its settings. */
export async function startInstance(settings: Settings): Promise<Instance> {
	const clock = createSystemClock();
	const telemetry = createTelemetry({name: settings.name, level: settings.logLevel});
	const random = createSystemRandom();
	const platform = createHttpPlatform(settings.platformOrigin, {token: settings.platformToken});
	const readStatus = (from: Router) => ({
		generation: from.configuration.current?.generation ?? 0, ready: from.configuration.current !== undefined, running: from.countRunning(),
	});
	const peers = await startPeers({
		settings, clock, random, telemetry, platform, readStatus: () => readStatus(router),
	});
	const router: Router = createRouter({
		name: settings.name, zone: settings.zone, clock, random, telemetry, platform,
		connector: createHttpConnector(), bus: peers.bus,
		reportPollMs: settings.reportPollMs,
	});
	const entry = createEntryApp({
		handle: router.handle, maxBodyBytes: settings.maxBodyBytes,
		countRefusal({reason, ran}) {
			telemetry.count('refusals_total', {reason, ran});
		},
	});
	const admin = createAdminApp({
		name: settings.name, zone: settings.zone, telemetry, configuration: router.configuration, countRunning: router.countRunning,
		platform, operatorTokenDigests: settings.operatorTokenDigests, explain: router.explain,
		readStatus: () => ({ready: router.configuration.current !== undefined, instances: peers.listInstances()}),
	});
	const callers = await startHttpServer(entry, settings.listen);
	const operators = await startHttpServer(admin, settings.adminListen);
	const {address} = callers;
	const {address: adminAddress} = operators;
	telemetry.log('instance started', {address, adminAddress});
	return {
		router, telemetry, address,
		adminAddress, peers,
		...(peers.address === undefined ? {} : {peerAddress: peers.address}),
		async stop() {
			await Promise.all([callers.close(), operators.close()]);
			await router.stop();
			await peers.stop();
			telemetry.log('instance stopped');
		},
	};
}
