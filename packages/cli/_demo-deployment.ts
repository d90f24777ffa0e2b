/** Runs the example deployment of Målerlagerforening on loopback, with stand-ins in place of its targets and its platform. */
import customersFile from '../../examples/malerlagerforening/customers.json' with {type: 'json'};
import languageFile from '../../examples/malerlagerforening/language.json' with {type: 'json'};
import ledgerFile from '../../examples/malerlagerforening/stock-ledger.json' with {type: 'json'};
import {digestKey} from '#admission';
import type {Clock} from '#clock';
import {publishFragments} from '#configuration';
import {fail, succeed, type Result} from '#core';
import type {HttpServer} from '#http';
import {parseSettings, startInstance, type Instance} from '#node';
import {createHttpObjectStore} from '#object-store';
import {
	EngineStandin, PlatformStandin, ServiceStandin, startEngineServer, startPlatformServer, startServiceServer,
	WeightStoreStandin, type Execution,
} from '#standins';

/** A running deployment on loopback. */
export type DemoDeployment = Readonly<{
	generation: number;
	/** `host:port` of each router. */
	routers: readonly string[];
	/** Bearer key of a customer. */
	getKey(customer: string): string;
	/** Number of calls that the ledger executed. */
	countExecutions(): number;
	stop(): Promise<void>;
}>;

const routerCount = 2;
const readyTimeoutMs = 10_000;
const readyPollIntervalMs = 50;

/** Starts the stand-ins, publishes the example configuration and starts the routers. */
export async function startDemoDeployment(clock: Clock): Promise<Result<DemoDeployment, string>> {
	const ledger: Execution[] = [];
	const weightStore = new WeightStoreStandin(clock);
	const platform = await startPlatformServer(new PlatformStandin(clock));
	const servers = [platform];
	const language = await startStandins(languageFile, servers, async index =>
		startEngineServer(new EngineStandin(clock, {
			seed: index + 1, model: 'stock-chat', weights: 'v1', weightStore,
		})));
	const stock = await startStandins(ledgerFile, servers, async index => startServiceServer(new ServiceStandin(clock, {seed: index + 1, ledger})));
	const customers = {...customersFile, customers: customersFile.customers.map(customer => ({...customer, keyDigests: [digestKey(createDemoKey(customer.name))]}))};
	const origin = `http://${platform.address}`;
	const fragments = Object.entries({language, stock, customers}).map(([file, content]) => ({file, text: JSON.stringify(content)}));
	const published = await publishFragments(createHttpObjectStore(origin), fragments);
	if (!published.ok) {
		return fail(`the example configuration was not published: ${JSON.stringify(published.error)}`);
	}

	const routers = await Promise.all(Array.from({length: routerCount}, async (_, index) => startRouter(`router-${index + 1}`, origin)));
	const stop = async () => {
		await Promise.all(routers.map(async router => router.stop()));
		await Promise.all(servers.map(async server => server.destroy()));
	};

	if (!await waitUntilReady(clock, routers)) {
		await stop();
		return fail(`the routers had no configuration after ${readyTimeoutMs} ms`);
	}

	return succeed({
		generation: published.value.generation, routers: routers.map(router => router.address), getKey: createDemoKey,
		countExecutions: () => ledger.length, stop,
	});
}

function createDemoKey(customer: string): string {
	return `demo-key-of-${customer}`;
}

type PoolFile<Pool> = Readonly<{pools: readonly Pool[]}>;
type ExamplePool = Readonly<{keptStore?: string; targets: ReadonlyArray<Readonly<{name: string; address: string; zone: string}>>}>;

/**
 * Starts a stand-in for each target of a file's pools, and returns the file with the stand-ins' addresses.
 * Removes `keptStore`, because the demonstration runs no KV cache store.
 */
async function startStandins<Pool extends ExamplePool>(file: PoolFile<Pool>, servers: HttpServer[], startStandin: (index: number) => Promise<HttpServer>): Promise<unknown> {
	const pools: unknown[] = [];
	for (const {keptStore: _keptStore, ...pool} of file.pools) {
		const targets: unknown[] = [];
		for (const [index, target] of pool.targets.entries()) {
			const server = await startStandin(index);
			servers.push(server);
			targets.push({...target, address: server.address});
		}

		pools.push({...pool, targets});
	}

	return {...file, pools};
}

async function startRouter(name: string, platformOrigin: string): Promise<Instance> {
	const settings = parseSettings(JSON.stringify({
		name, zone: 'esbjerg', listen: '127.0.0.1:0', adminListen: '127.0.0.1:0', platformOrigin, logLevel: 'silent',
	}));
	if (!settings.ok) {
		throw new Error(`invalid settings of a demo router: ${JSON.stringify(settings.error)}`);
	}

	return startInstance(settings.value);
}

async function waitUntilReady(clock: Clock, routers: readonly Instance[]): Promise<boolean> {
	const deadlineMs = clock.now() + readyTimeoutMs;
	while (routers.some(({router}) => !router.configuration.current)) {
		if (clock.now() > deadlineMs) {
			return false;
		}

		await clock.sleep(readyPollIntervalMs);
	}

	return true;
}
