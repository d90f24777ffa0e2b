/** Everything that a scenario's steps act on. */
import {ScenarioError} from './error.ts';
import {startHost, type RouterHost} from './_host.ts';
import type {CallerCall} from './_caller.ts';
import {digestKey} from '#admission';
import {ManualClock} from '#clock';
import {publishFragments} from '#configuration';
import type {TargetLink} from '#core';
import {
	type EngineStandin, PeerNetworkStandin, PlatformStandin, type ServiceStandin, WeightStoreStandin, type Execution,
} from '#standins';

/** A pool as it stands in a service file. */
type DraftPool = Readonly<{
	name: string;
	kind: string;
	model?: string;
	weights?: string;
	targets: ReadonlyArray<Readonly<{name: string; address: string; zone: string}>>;
}>;

/** Parts of the configuration that the scenario has defined, as they stand in a service file. */
type Draft = Readonly<{
	pools: Map<string, DraftPool>;
	routes: Map<string, Readonly<Record<string, unknown>>>;
	customers: Map<string, Readonly<Record<string, unknown>>>;
}>;

const settleStepMs = 1;
const publishLimitMs = 30_000;

/** The stand-ins, routers and callers of one scenario. */
export class World {
	readonly clock = new ManualClock();
	readonly platform = new PlatformStandin(this.clock, {listLagMs: 0});
	readonly network = new PeerNetworkStandin(this.clock);
	readonly weightStore = new WeightStoreStandin(this.clock);
	readonly engines = new Map<string, EngineStandin>();
	readonly services = new Map<string, ServiceStandin>();
	readonly ledgers = new Map<string, Execution[]>();
	readonly routers = new Map<string, RouterHost>();
	readonly calls = new Map<string, CallerCall>();
	readonly draft: Draft = {pools: new Map(), routes: new Map(), customers: new Map()};
	/** Figures that the scenario keeps, by name. */
	readonly marks = new Map<string, number>();
	/** Generation that the last accepted publication got. */
	generation = 0;
	#seed = 1;

	/** A new seed for each part that wants one. */
	takeSeed(): number {
		return this.#seed++;
	}

	setSeed(seed: number): void {
		this.#seed = seed;
	}

	getEngine(name: string): EngineStandin {
		return find(this.engines, name, 'engine');
	}

	getService(name: string): ServiceStandin {
		return find(this.services, name, 'service member');
	}

	getRouter(name: string): RouterHost {
		return find(this.routers, name, 'router');
	}

	getCall(name: string): CallerCall {
		return find(this.calls, name, 'call');
	}

	/** Adds a target to its pool's draft. */
	addTarget(pool: string, name: string, zone: string): void {
		const entry = find(this.draft.pools, pool, 'pool');
		const address = `10.0.0.${this.engines.size + this.services.size}:8000`;
		this.draft.pools.set(pool, {...entry, targets: [...entry.targets, {name, address, zone}]});
	}

	/** Commits the draft as the next generation. */
	async publish(): Promise<void> {
		const text = JSON.stringify({
			service: 'scenario',
			pools: [...this.draft.pools.values()],
			routes: [...this.draft.routes.values()],
			customers: [...this.draft.customers.values()],
		});
		const result = await this.finish(publishFragments(this.platform, [{file: 'scenario', text}]), publishLimitMs);
		if (!result.ok) {
			throw new ScenarioError(`not accepted: ${JSON.stringify(result.error)}`);
		}

		this.generation = result.value.generation;
	}

	/** Advances time until a promise has settled. */
	async finish<Value>(promise: Promise<Value>, limitMs: number): Promise<Value> {
		let settled = false;
		const watched = (async () => {
			try {
				return await promise;
			} finally {
				settled = true;
			}
		})();
		const inTime = await this.clock.advanceUntil(() => settled, limitMs, settleStepMs);
		if (!inTime) {
			throw new ScenarioError(`still waiting after ${limitMs} ms`);
		}

		return watched;
	}

	startRouter(name: string, zone: string): void {
		if (this.routers.get(name)?.lifeline.state === 'running') {
			throw new ScenarioError(`router ${name} runs already`);
		}

		this.routers.set(name, startHost({
			name, zone, seed: this.takeSeed(), clock: this.clock, platform: this.platform, network: this.network,
			getLink: target => this.#getLink(target),
		}));
	}

	/** Ends everything that still runs. */
	async end(): Promise<void> {
		for (const host of this.routers.values()) {
			host.lifeline.kill();
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

/** Digest of the key that callers of a customer use. */
export function digestCustomerKey(customer: string): string {
	return digestKey(makeCustomerKey(customer));
}

/** The key that callers of a customer use. */
export function makeCustomerKey(customer: string): string {
	return `key-of-${customer}`;
}

function find<Item>(items: ReadonlyMap<string, Item>, name: string, kind: string): Item {
	const item = items.get(name);
	if (item === undefined) {
		throw new ScenarioError(`no ${kind} is named "${name}"; there are: ${[...items.keys()].join(', ') || 'none'}`);
	}

	return item;
}
