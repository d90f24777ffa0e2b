/** Starts one router of a scenario and connects it to the stand-ins through its simulated process. */
import {RouterProcess} from './_router-process.ts';
import type {Clock} from '#clock';
import {createRandom, type TargetLink} from '#core';
import {
	createRouter, provideSnapshots, restoreState, type Router,
} from '#node';
import type {PlatformStandin, PeerNetworkStandin} from '#standins';
import {createTelemetry, type Telemetry} from '#telemetry';

/** Settings of one router, and the stand-ins that it connects to. */
export type RouterHostDependencies = Readonly<{
	name: string;
	zone: string;
	seed: number;
	clock: Clock;
	platform: PlatformStandin;
	network: PeerNetworkStandin;
	getLink: (target: string) => TargetLink;
}>;

/** A router and the simulated process in which it can be paused and killed. */
export type RouterHost = Readonly<{
	name: string;
	zone: string;
	router: Router;
	telemetry: Telemetry;
	routerProcess: RouterProcess;
}>;

/** Interval at which the router polls the load reports of its targets. */
const reportPollMs = 100;

/** Interval of the heartbeats that notify the peers of the generation in force. */
const heartbeatIntervalMs = 1000;

export function startRouterHost(dependencies: RouterHostDependencies): RouterHost {
	const routerProcess = new RouterProcess();
	const telemetry = createTelemetry({level: 'silent'});
	const incarnation = `${dependencies.name}-${dependencies.seed}`;
	const clock = routerProcess.wrapClock(dependencies.clock);
	const random = createRandom(dependencies.seed);
	const bus = routerProcess.wrapBus(dependencies.network.join({name: dependencies.name, zone: dependencies.zone, incarnation}));
	const router = createRouter({
		name: dependencies.name,
		zone: dependencies.zone,
		incarnation,
		random,
		telemetry,
		reportPollMs,
		clock,
		platform: routerProcess.wrapPlatform(dependencies.platform),
		connector: routerProcess.wrapConnector({open: (_pool, target) => dependencies.getLink(target.name)}),
		bus,
	});
	const {configuration, views, quarantine} = router;
	const warmStartDependencies = {
		clock, random, telemetry, bus, configuration, views, quarantine, isReady: () => configuration.current !== undefined,
	};
	provideSnapshots(warmStartDependencies);
	void restoreState(warmStartDependencies, true, routerProcess.killedSignal);
	clock.subscribe(heartbeatIntervalMs, () => {
		bus.sendToSample({kind: 'generation', generation: configuration.current?.generation ?? 0});
	});
	return {
		name: dependencies.name, zone: dependencies.zone, router, telemetry, routerProcess,
	};
}
