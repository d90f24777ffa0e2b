/** One router of a scenario, wired to the stand-ins through its lifeline. */
import {Lifeline} from './_lifeline.ts';
import type {Clock} from '#clock';
import {createRandom, type TargetLink} from '#core';
import {
	createRouter, provideSnapshots, restoreState, type Router,
} from '#node';
import type {PlatformStandin, PeerNetworkStandin} from '#standins';
import {createTelemetry, type Telemetry} from '#telemetry';

/** What a router of a scenario needs. */
export type HostDeps = Readonly<{
	name: string;
	zone: string;
	seed: number;
	clock: Clock;
	platform: PlatformStandin;
	network: PeerNetworkStandin;
	getLink: (target: string) => TargetLink;
}>;

/** A router that can be killed and paused. */
export type RouterHost = Readonly<{
	name: string;
	zone: string;
	router: Router;
	telemetry: Telemetry;
	lifeline: Lifeline;
}>;

const reportPollMs = 100;

/** Time between heartbeats, which tell the peers the generation in force, in milliseconds. */
const heartbeatMs = 1000;

/** Starts a router. */
export function startHost(deps: HostDeps): RouterHost {
	const lifeline = new Lifeline();
	const telemetry = createTelemetry({level: 'silent'});
	const incarnation = `${deps.name}-${deps.seed}`;
	const clock = lifeline.wrapClock(deps.clock);
	const random = createRandom(deps.seed);
	const bus = lifeline.wrapBus(deps.network.join({name: deps.name, zone: deps.zone, incarnation}));
	const router = createRouter({
		name: deps.name,
		zone: deps.zone,
		incarnation,
		random,
		telemetry,
		reportPollMs,
		clock,
		platform: lifeline.wrapPlatform(deps.platform),
		connector: lifeline.wrapConnector({open: (_pool, target) => deps.getLink(target.name)}),
		bus,
	});
	const {configuration, views, quarantine} = router;
	const warmStart = {
		clock, random, telemetry, bus, configuration, views, quarantine, isReady: () => configuration.current !== undefined,
	};
	provideSnapshots(warmStart);
	void restoreState(warmStart, true, lifeline.died);
	clock.subscribe(heartbeatMs, () => {
		bus.sample({kind: 'generation', generation: configuration.current?.generation ?? 0});
	});
	return {
		name: deps.name, zone: deps.zone, router, telemetry, lifeline,
	};
}
