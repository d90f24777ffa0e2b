/**
 * Holds the state that the steps of a scenario act on: the clock, the stand-ins,
 * the routers, the calls and the configuration that has been defined so far.
 */
import {ScenarioError} from './error.ts';
import {startRouterHost, type RouterHost} from './_router-host.ts';
import type {CallerCall} from './_caller-call.ts';
import {digestKey} from '#admission';
import {ManualClock} from '#clock';
import {publishFragments} from '#configuration';
import type {TargetLink} from '#core';
import {
	type EngineStandin, PeerNetworkStandin, PlatformStandin, type ServiceStandin, WeightStoreStandin, type Execution,
} from '#standins';

/** A target pool in the format of a service file. */
type PoolDraft = Readonly<{
	name: string;
	kind: string;
	model?: string;
	weights?: string;
	targets: ReadonlyArray<Readonly<{name: string; address: string; zone: string}>>;
}>;

/** The configuration that the scenario has defined so far, by name, in the format of a service file. */
type ConfigurationDraft = Readonly<{
	pools: Map<string, PoolDraft>;
	routes: Map<string, Readonly<Record<string, unknown>>>;
	customers: Map<string, Readonly<Record<string, unknown>>>;
}>;

const clockStepMs = 1;
const publishTimeoutMs = 30_000;

/** The clock, stand-ins, routers and calls of one scenario. */
export class Simulation {
	readonly clock = new ManualClock();
	readonly platform = new PlatformStandin(this.clock, {listLagMs: 0});
	readonly network = new PeerNetworkStandin(this.clock);
	readonly weightStore = new WeightStoreStandin(this.clock);
	readonly engines = new Map<string, EngineStandin>();
	readonly services = new Map<string, ServiceStandin>();
	readonly ledgers = new Map<string, Execution[]>();
	readonly routers = new Map<string, RouterHost>();
	readonly calls = new Map<string, CallerCall>();
	readonly draft: ConfigurationDraft = {pools: new Map(), routes: new Map(), customers: new Map()};
	/** Figures that `mark` steps recorded, by name of the mark. */
	readonly marks = new Map<string, number>();
	/** Generation of the last accepted publication. */
	generation = 0;
	#nextSeed = 1;

	/** Returns a different seed for each component that needs one. */
	allocateSeed(): number {
		return this.#nextSeed++;
	}

	setSeed(seed: number): void {
		this.#nextSeed = seed;
	}

	getEngine(name: string): EngineStandin {
		return getNamed(this.engines, name, 'engine');
	}

	getService(name: string): ServiceStandin {
		return getNamed(this.services, name, 'service member');
	}

	getRouter(name: string): RouterHost {
		return getNamed(this.routers, name, 'router');
	}

	getCall(name: string): CallerCall {
		return getNamed(this.calls, name, 'call');
	}

	/** Adds a target to a pool of the draft. */
	addTarget(pool: string, name: string, zone: string): void {
		const entry = getNamed(this.draft.pools, pool, 'pool');
		// A placeholder for the configuration: the routers find the stand-in by the name of the target.
		const address = `10.0.0.${this.engines.size + this.services.size}:8000`;
		this.draft.pools.set(pool, {...entry, targets: [...entry.targets, {name, address, zone}]});
	}

	/** Publishes the draft as the next generation; throws a {@link ScenarioError} if it is rejected. */
	async publish(): Promise<void> {
		const text = JSON.stringify({
			service: 'scenario',
			pools: [...this.draft.pools.values()],
			routes: [...this.draft.routes.values()],
			customers: [...this.draft.customers.values()],
		});
		const result = await this.waitFor(publishFragments(this.platform, [{file: 'scenario', text}]), publishTimeoutMs);
		if (!result.ok) {
			throw new ScenarioError(`configuration not accepted: ${JSON.stringify(result.error)}`);
		}

		this.generation = result.value.generation;
	}

	/** Advances the clock until a promise settles; throws a {@link ScenarioError} if that takes longer than `timeoutMs`. */
	async waitFor<Value>(promise: Promise<Value>, timeoutMs: number): Promise<Value> {
		let isSettled = false;
		const observed = (async () => {
			try {
				return await promise;
			} finally {
				isSettled = true;
			}
		})();
		const isInTime = await this.clock.advanceUntil(() => isSettled, timeoutMs, clockStepMs);
		if (!isInTime) {
			throw new ScenarioError(`an operation did not finish within ${timeoutMs} ms of simulated time`);
		}

		return observed;
	}

	startRouter(name: string, zone: string): void {
		if (this.routers.get(name)?.routerProcess.state === 'running') {
			throw new ScenarioError(`router ${name} is already running`);
		}

		this.routers.set(name, startRouterHost({
			name, zone, seed: this.allocateSeed(), clock: this.clock, platform: this.platform, network: this.network,
			getLink: target => this.#getLink(target),
		}));
	}

	/** Kills all routers. */
	async killRouters(): Promise<void> {
		for (const host of this.routers.values()) {
			host.routerProcess.kill();
		}
	}

	#getLink(target: string): TargetLink {
		const link = this.engines.get(target) ?? this.services.get(target);
		if (!link) {
			throw new ScenarioError(`no target is named ${target}`);
		}

		return link;
	}
}

/** Computes the digest of the API key that callers of a customer send. */
export function digestCustomerKey(customer: string): string {
	return digestKey(createCustomerKey(customer));
}

/** Creates the API key that callers of a customer send. */
export function createCustomerKey(customer: string): string {
	return `key-of-${customer}`;
}

function getNamed<Item>(items: ReadonlyMap<string, Item>, name: string, kind: string): Item {
	const item = items.get(name);
	if (item === undefined) {
		throw new ScenarioError(`no ${kind} is named "${name}"; there are: ${[...items.keys()].join(', ') || 'none'}`);
	}

	return item;
}
