/** A process's instance: a router with its HTTP servers. */
import {randomInt} from 'node:crypto';
import {createRouter, type Router} from './router.ts';
import type {Settings} from './settings.ts';
import {createAdminApp} from '#admin';
import {createSystemClock} from '#clock';
import {createEntryApp} from '#entry';
import {startHttpServer} from '#http';
import {createQuietBus} from '#peer-protocol';
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
	/** Stops serving. */
	stop(): Promise<void>;
}>;

const seedBound = 2 ** 31;

/** Starts an instance from its settings. */
export async function startInstance(settings: Settings): Promise<Instance> {
	const clock = createSystemClock();
	const telemetry = createTelemetry({name: settings.name, level: settings.logLevel});
	const router = createRouter({
		name: settings.name, zone: settings.zone, clock, seed: randomInt(seedBound), telemetry,
		platform: createHttpPlatform(settings.platformOrigin, {token: settings.platformToken}),
		connector: createHttpConnector(),
		bus: createQuietBus(), reportPollMs: settings.reportPollMs,
	});
	const entry = createEntryApp({
		handle: router.handle, maxBodyBytes: settings.maxBodyBytes,
		countRefusal({reason, ran}) {
			telemetry.count('refusals_total', {reason, ran});
		},
	});
	const admin = createAdminApp({
		name: settings.name, zone: settings.zone, telemetry, configuration: router.configuration, countRunning: router.countRunning,
	});
	const callers = await startHttpServer(entry, settings.listen);
	const operators = await startHttpServer(admin, settings.adminListen);
	const {address} = callers;
	const {address: adminAddress} = operators;
	telemetry.log('instance started', {address, adminAddress});
	return {
		router, telemetry, address,
		adminAddress,
		async stop() {
			await Promise.all([callers.close(), operators.close()]);
			await router.stop();
			telemetry.log('instance stopped');
		},
	};
}
