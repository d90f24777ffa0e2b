/** Runs a controller for every configured pool of engines. */
import {CapacityController} from './controller.ts';
import {DemandForecast} from './forecast.ts';
import {PressureBoard} from './_pressure.ts';
import type {Clock} from '#clock';
import type {ConfigurationStore} from '#configuration';
import {
	createRandom, hash64, waitForAbort, type Random, type Target, type TargetLink, type TargetPool,
} from '#core';
import {Lease} from '#lease';
import type {PeerBus} from '#peer-protocol';
import type {ObjectStore} from '#object-store';
import type {Telemetry} from '#telemetry';

/** What capacity control works with. */
export type CapacityDeps = Readonly<{
	/** Name of this instance. */
	name: string;
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	platform: ObjectStore;
	bus: PeerBus;
	configuration: ConfigurationStore;
	getLink: (pool: TargetPool, target: Target) => TargetLink;
	/** Requests that wait at this instance for a pool. */
	countWaiting: (pool: string) => number;
}>;

/** Instances that watch a pool's lease: the holder and those that would follow it. */
const candidateCount = 3;
const seedBound = 2 ** 31;

/** Runs until `signal` aborts, starting and ending controllers as the configuration changes. */
export async function runCapacity(deps: CapacityDeps, signal: AbortSignal): Promise<void> {
	const pressures = new PressureBoard(deps);
	const controllers = new Map<string, AbortController>();
	const tasks = new Set<Promise<void>>();
	const follow = () => {
		const pools = [...deps.configuration.current?.pools.values() ?? []].filter(pool => pool.kind === 'engine');
		for (const [name, controller] of controllers) {
			if (!pools.some(pool => pool.name === name)) {
				controller.abort();
				controllers.delete(name);
			}
		}

		for (const {name} of pools) {
			if (!controllers.has(name)) {
				const controller = new AbortController();
				controllers.set(name, controller);
				tasks.add(createController(deps, name, pressures).run(controller.signal));
			}
		}
	};

	const unsubscribe = deps.configuration.events.on('changed', follow);
	const unsubscribePressure = pressures.start();
	follow();
	await waitForAbort(signal);
	unsubscribe();
	unsubscribePressure();
	for (const controller of controllers.values()) {
		controller.abort();
	}

	await Promise.all(tasks);
}

function createController(deps: CapacityDeps, pool: string, pressures: PressureBoard): CapacityController {
	const {clock, telemetry, platform, name} = deps;
	const random = createRandom(deps.random.below(seedBound));
	return new CapacityController({
		clock,
		random,
		telemetry,
		lease: new Lease(`capacity/${pool}`, {
			platform, clock, random, telemetry, holder: name,
		}),
		forecast: new DemandForecast(),
		getPool: () => deps.configuration.current?.pools.get(pool),
		getLink: deps.getLink,
		countWaiting: () => pressures.sum(pool),
		isCandidate: () => isCandidate(deps, pool),
	});
}

/** Whether this instance is among the first for a pool by rendezvous hashing; the lease itself decides. */
function isCandidate({name, bus}: CapacityDeps, pool: string): boolean {
	const own = hash64(`${pool}|${name}`);
	const ahead = bus.listPeers().filter(peer => hash64(`${pool}|${peer.name}`) < own).length;
	return ahead < candidateCount;
}
