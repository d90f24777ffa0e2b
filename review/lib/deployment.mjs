/** Starts a small deployment: the store, a plain service, a pool of engines, and instances of apricotdoor. */
import {createConfiguration} from './configuration.mjs';
import {findHost, startRouters} from './router.mjs';
import {Runner} from './runner.mjs';
import {Store} from './store.mjs';

const zones = ['esbjerg', 'kolding', 'aarhus'];
const storePort = 8784;

/** Starts a deployment and waits until it is ready. */
export async function startDeployment(trial, options = {}) {
	const {routers: routerCount = 3, ledgers: ledgerCount = 3, engines: engineCount = 3, newLedgers: newLedgerCount = 0, newEngines: newEngineCount = 0} = options;
	const {ledgerOptions = {}, engineOptions = {}, configuration = {}} = options;
	const store = new Store();
	await store.listen(await findHost([storePort]), storePort);
	trial.addCleanup(() => {
		store.close();
	});
	store.put('config', 'main', createConfiguration(1, configuration));
	store.put('versions', 'm0', {Model: 'm0', Version: 1});
	const runnerHost = await findHost([]);
	const startPool = async (count, prefix, options) => {
		const runners = Array.from({length: count}, (_, index) => new Runner(store, {id: `${prefix}${index + 1}`, zone: zones[index % zones.length], ...options}));
		for (const runner of runners) {
			await runner.start(runnerHost, trial);
		}

		return runners;
	};

	const ledgers = await startPool(ledgerCount, 'i-ledger', {service: 'ledger', slots: 6, ...ledgerOptions});
	const newLedgers = await startPool(newLedgerCount, 'i-new', {service: 'ledger-new', slots: 6, ...ledgerOptions});
	const engines = await startPool(engineCount, 'i-engine', {
		service: 'llm', slots: 64, model: 'm0', ...engineOptions,
	});
	const newEngines = await startPool(newEngineCount, 'i-new-engine', {
		service: 'llm', slots: 64, model: 'm0', ...engineOptions, softwareVersion: 'v2',
	});
	trial.record('runners are registered', {ledgers: ledgers.map(({id, address}) => `${id} ${address}`), engines: engines.map(({id, address}) => `${id} ${address}`)});
	const routers = await startRouters(trial, routerCount, store.address);
	return {
		store, ledgers, newLedgers, engines, newEngines, routers,
	};
}

/** Records what the runners have run. */
export function recordRuns(trial, runners) {
	for (const {id: runner, runs} of runners) {
		for (const {id, atMs, path, tenant} of runs) {
			trial.record('run', {
				runner, id, atMs, path, tenant,
			});
		}
	}
}

/**
 * Sends requests at a fixed rate until it is stopped.
 *
 * @param create starts the request with this number; resolves with what it was answered
 */
export function startTraffic(trial, perSecond, create) {
	const answers = [];
	const pending = new Set();
	const stopping = new AbortController();
	const task = (async () => {
		for (let index = 0; !stopping.signal.aborted; index++) {
			const sentMs = trial.nowMs;
			const request = (async () => {
				const answer = await create(index);
				answers.push({sentMs, ...answer});
			})();
			pending.add(request);
			request.finally(() => {
				pending.delete(request);
			});
			await trial.wait(1000 / perSecond);
		}
	})();
	return {
		answers,
		/** Stops and waits until all requests have ended. */
		async stop() {
			stopping.abort();
			await task;
			await Promise.all(pending);
			for (const {id, sentMs, router, status, error, ms} of answers) {
				trial.record('request', {
					id, sentMs, router, status: status ?? error, ms,
				});
			}
		},
	};
}
