/**
 * Deployment of the fleet bench: the platform and the engines are stand-ins in
 * this process; each instance runs in a separate process.
 */
import {execFileSync} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {createServer} from 'node:net';
import {once} from 'node:events';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {FleetProcess, type InstancePlan} from './_fleet-process.ts';
import {digestKey} from '#admission';
import {createSystemClock, type Clock} from '#clock';
import {publishFragments} from '#configuration';
import {
	succeed, type CacheEvent, type CacheEventBatch, type Result,
} from '#core';
import type {HttpServer} from '#http';
import {
	EngineStandin, PlatformStandin, startEngineServer, startPlatformServer,
} from '#standins';

/** Size of a deployment. */
export type FleetSize = Readonly<{
	instances: number;
	targets: number;
	customers: number;
	/** Synthetic cache events that each target publishes per second; 0 publishes the events of its prompts. */
	eventsPerSecond: number;
}>;

/** API key of the customer that sends the load. */
export const benchKey = 'bench-key';

const zones = ['esbjerg', 'kolding', 'aarhus'];
const readyTimeoutMs = 40_000;
/** Maximum time until the simulated balancer sends no more requests to an instance that is not ready. */
const balancerMs = 600;
const seedsPerInstance = 2;
const maxEventsPerRead = 5000;

/** An engine that publishes synthetic cache events at a fixed rate. */
class SyntheticEventEngine extends EngineStandin {
	readonly #clock: Clock;
	readonly #eventsPerSecond: number;

	constructor(clock: Clock, seed: number, eventsPerSecond: number) {
		super(clock, {
			seed, model: 'm', weights: 'v1', tokenGapMs: 4,
		});
		this.#clock = clock;
		this.#eventsPerSecond = eventsPerSecond;
	}

	override async readCacheEvents(after: number): ReturnType<EngineStandin['readCacheEvents']> {
		if (this.#eventsPerSecond === 0) {
			return super.readCacheEvents(after);
		}

		const sequence = Math.floor(this.#clock.now() * this.#eventsPerSecond / 1000);
		const from = Math.max(after + 1, sequence - maxEventsPerRead + 1);
		const events = Array.from({length: Math.max(0, sequence - from + 1)}, (_, index): CacheEvent => {
			const number = from + index;
			return {sequence: number, kind: number % 2 === 0 ? 'stored' : 'evicted', keys: [Math.floor(number / 2).toString(16).padStart(16, '0')]};
		});
		const batch: CacheEventBatch = {incarnation: this.incarnation, events, sequence};
		return succeed(batch) satisfies Result<CacheEventBatch, never>;
	}
}

/** Bundles the product once for all deployments of a run and returns the path of the bundle. */
export function bundleProgram(): string {
	const program = path.resolve('dist', 'run', `fleet-${process.pid}.cjs`);
	const script = `import {bundle} from './scripts/bundle.mjs'; await bundle('packages/cli/main.ts', ${JSON.stringify(program)})`;
	execFileSync(process.execPath, ['--input-type=module', '-e', script]);
	return program;
}

/** Stand-ins and instance processes; {@link FleetDeployment.close} stops all of them. */
export class FleetDeployment {
	readonly clock = createSystemClock();
	readonly platform = new PlatformStandin(this.clock, {writesPerSecond: 2000, readsPerSecond: 5000});
	readonly engines: EngineStandin[] = [];
	processes: FleetProcess[] = [];
	readonly #size: FleetSize;
	readonly #servers: HttpServer[] = [];
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'apricotdoor-fleet-'));
	readonly #program: string;
	#platformOrigin = '';
	#addresses: readonly string[] = [];

	/** @param program bundle of the product, created by {@link bundleProgram} */
	constructor(program: string, size: FleetSize) {
		this.#program = program;
		this.#size = size;
	}

	/** Starts the stand-ins and the instances, and waits until each instance is ready. */
	async start(): Promise<void> {
		const {instances, targets, eventsPerSecond} = this.#size;
		const platform = await startPlatformServer(this.platform);
		this.#servers.push(platform);
		this.#platformOrigin = `http://${platform.address}`;
		for (let index = 0; index < targets; index++) {
			const engine = new SyntheticEventEngine(this.clock, index + 1, eventsPerSecond);
			this.engines.push(engine);
			this.#servers.push(await startEngineServer(engine));
		}

		this.#addresses = this.#servers.slice(1).map(({address}) => address);
		await this.publish(1);
		const plans = await this.#createPlans(instances);
		for (const {name, zone, peerAddress} of plans) {
			this.platform.setInstance({
				name, kind: 'router', pool: '', address: peerAddress, zone, leaving: false,
			});
		}

		this.platform.flushInstanceList();
		this.processes = plans.map(plan => this.spawn(plan));
		await this.waitForReady();
	}

	/** Starts one instance process without waiting until it is ready. */
	spawn(plan: InstancePlan): FleetProcess {
		return new FleetProcess(plan, {
			clock: this.clock, program: this.#program, folder: this.#folder, balancerMs,
		});
	}

	/** Publishes a configuration that differs by `version`, which is added to the time-out of the route; resolves to its generation when the platform has accepted it. */
	async publish(version: number): Promise<number> {
		const {customers} = this.#size;
		const published = await publishFragments(this.platform, [
			{file: 'bench.json', text: JSON.stringify(createServiceFile(this.#addresses, version))},
			...(version === 1 ? [{file: 'customers.json', text: JSON.stringify(createCustomersFile(customers))}] : []),
		]);
		if (!published.ok) {
			throw new Error(`the configuration of the fleet bench was not accepted: ${JSON.stringify(published.error)}`);
		}

		return published.value.generation;
	}

	async waitForReady(): Promise<void> {
		await this.waitFor(async () => {
			const ready = await Promise.all(this.processes.map(async instance => instance.isReady()));
			return ready.every(Boolean);
		}, readyTimeoutMs, 'every instance is ready');
	}

	/** @throws {Error} when the condition does not hold within the time-out */
	async waitFor(condition: () => boolean | Promise<boolean>, timeoutMs: number, description: string): Promise<void> {
		const endMs = this.clock.now() + timeoutMs;
		while (!await condition()) {
			if (this.clock.now() > endMs) {
				throw new Error(`timed out after ${timeoutMs} ms while waiting until ${description}`);
			}

			await this.clock.sleep(20);
		}
	}

	/** Kills every instance process, closes the stand-ins and removes the settings files. */
	async close(): Promise<void> {
		await Promise.all(this.processes.map(async instance => instance.kill()));
		await Promise.all(this.#servers.map(async server => server.destroy()));
		rmSync(this.#folder, {recursive: true, force: true});
	}

	async #createPlans(count: number): Promise<readonly InstancePlan[]> {
		const ports = await findFreePorts(3 * count);
		const peerAddresses = Array.from({length: count}, (_, index) => `127.0.0.1:${ports[(3 * index) + 2]}`);
		return Array.from({length: count}, (_, index): InstancePlan => ({
			name: `router-${index + 1}`, zone: zones[index % zones.length]!, platformOrigin: this.#platformOrigin,
			address: `127.0.0.1:${ports[3 * index]}`, adminAddress: `127.0.0.1:${ports[(3 * index) + 1]}`, peerAddress: peerAddresses[index]!,
			seeds: peerAddresses.slice(0, seedsPerInstance),
		}));
	}
}

async function findFreePorts(count: number): Promise<readonly number[]> {
	const servers = Array.from({length: count}, () => createServer().listen(0, '127.0.0.1'));
	await Promise.all(servers.map(async server => once(server, 'listening')));
	const ports = servers.map(server => {
		const address = server.address();
		return typeof address === 'object' && address ? address.port : 0;
	});
	await Promise.all(servers.map(async server => once(server.close(), 'close')));
	return ports;
}

function createServiceFile(addresses: readonly string[], version: number): unknown {
	return {
		service: 'bench',
		pools: [{
			name: 'language', kind: 'engine', model: 'm', weights: 'v1',
			targets: addresses.map((address, index) => ({name: `engine-${index + 1}`, address, zone: zones[index % zones.length]})),
		}],
		routes: [{name: 'chat', pool: 'language', timeoutMs: 30_000 + version}],
	};
}

function createCustomersFile(count: number): unknown {
	return {
		service: 'customers',
		customers: Array.from({length: count}, (_, index) => ({
			name: `customer-${index + 1}`, keyDigests: [digestKey(index === 0 ? benchKey : `key-${index}`)], routes: ['chat'],
			limit: {requestsPerSecond: 1000, burst: 1000, concurrent: 512},
		})),
	};
}
