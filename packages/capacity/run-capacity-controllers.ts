/** Runs a capacity controller for every configured engine pool. */
import {CapacityController} from './controller.ts';
import {DemandForecast} from './forecast.ts';
import {BacklogExchange} from './_backlog-exchange.ts';
import type {Clock} from '#clock';
import type {ConfigurationStore} from '#configuration';
import {
	createRandom, hash64, waitForAbort, type Random, type Target, type TargetLink, type TargetPool,
} from '#core';
import {Lease} from '#lease';
import type {PeerBus} from '#peer-protocol';
import type {ObjectStore} from '#object-store';
import type {Telemetry} from '#telemetry';

export type CapacityDependencies = Readonly<{
	/** Name of this instance. */
	name: string;
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	platform: ObjectStore;
	bus: PeerBus;
	configuration: ConfigurationStore;
	getLink: (pool: TargetPool, target: Target) => TargetLink;
	/** Counts the requests that wait at this instance for a pool. */
	countWaiting: (pool: string) => number;
}>;

/** Number of instances that try to acquire a pool's lease: its holder and the possible successors. */
const candidateCount = 3;
const seedBound = 2 ** 31;

/** Runs until `signal` aborts. Starts and stops controllers as the configuration changes. */
export async function runCapacityControllers(dependencies: CapacityDependencies, signal: AbortSignal): Promise<void> {
	const backlog = new BacklogExchange(dependencies);
	const abortControllers = new Map<string, AbortController>();
	const tasks = new Set<Promise<void>>();
	const updateControllers = () => {
		const pools = [...dependencies.configuration.current?.pools.values() ?? []].filter(pool => pool.kind === 'engine');
		for (const [name, abortController] of abortControllers) {
			if (!pools.some(pool => pool.name === name)) {
				abortController.abort();
				abortControllers.delete(name);
			}
		}

		for (const {name} of pools) {
			if (!abortControllers.has(name)) {
				const abortController = new AbortController();
				abortControllers.set(name, abortController);
				tasks.add(createController(dependencies, name, backlog).run(abortController.signal));
			}
		}
	};

	const unsubscribe = dependencies.configuration.events.on('changed', updateControllers);
	const stopBacklog = backlog.start();
	updateControllers();
	await waitForAbort(signal);
	unsubscribe();
	stopBacklog();
	for (const abortController of abortControllers.values()) {
		abortController.abort();
	}

	await Promise.all(tasks);
}

function createController(dependencies: CapacityDependencies, pool: string, backlog: BacklogExchange): CapacityController {
	const {clock, telemetry, platform, name} = dependencies;
	const random = createRandom(dependencies.random.integerBelow(seedBound));
	return new CapacityController({
		clock,
		random,
		telemetry,
		lease: new Lease(`capacity/${pool}`, {
			platform, clock, random, telemetry, holder: name,
		}),
		forecast: new DemandForecast(),
		getPool: () => dependencies.configuration.current?.pools.get(pool),
		getLink: dependencies.getLink,
		countWaiting: () => backlog.sumWaiting(pool),
		isCandidate: () => isCandidate(dependencies, pool),
	});
}

/**
 * Returns whether this instance is among the candidates for a pool's lease by
 * rendezvous hashing. Only the lease decides which candidate acts.
 */
function isCandidate({name, bus}: CapacityDependencies, pool: string): boolean {
	const ownRank = hash64(`${pool}|${name}`);
	const aheadCount = bus.listPeers().filter(peer => hash64(`${pool}|${peer.name}`) < ownRank).length;
	return aheadCount < candidateCount;
}
