/** The store comes back from a copy that is some seconds old, later the holder of the lease on weights orders is stopped as planned, and its successor gives orders. */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {startDeployment} from '../lib/deployment.mjs';
import {NotRunError, runTrial} from '../lib/trial.mjs';

const model = 'm0';

/** Time for which the store is away, in milliseconds. */
const awayMs = 500;

/** Time by which the copy is older than the named weights, and the maximum age of the copy, in milliseconds. */
const copyMarginMs = 500;
const maxCopyAgeMs = 10_000;

/** Time after the drill until the operator names the next version, in milliseconds: longer than ContactMs, LeaseMs and the planned stop. */
const calmMs = 9000;

await runTrial(path.dirname(fileURLToPath(import.meta.url)), async trial => {
	const {store, engines, routers} = await startDeployment(trial, {engines: 6});
	store.handleWrite = write => {
		if (write.kind === 'apricotdoor-leases') {
			trial.record('write to the lease', write);
		}
	};

	/** The operator's newest objects; it writes them again after a drill. */
	const written = new Map();
	const publish = version => {
		written.set(`versions/${model}`, {Model: model, Version: version});
		const revision = store.put('versions', model, written.get(`versions/${model}`));
		trial.record('the operator names new weights', {version, revision});
	};

	const waitForVersion = async version => trial.until(() => engines.every(engine => engine.version === version), `all engines have version ${version}`, 15_000);
	await trial.wait(8000);
	const namedMs = trial.nowMs;
	publish(2);
	await waitForVersion(2);
	trial.record('all engines have loaded version 2');
	await trial.wait(1000);
	if (trial.hasTrouble) {
		store.takeAway();
		trial.record('the store is away');
		await trial.wait(awayMs);
		const copyAgeMs = trial.nowMs - namedMs + copyMarginMs;
		if (copyAgeMs > maxCopyAgeMs) {
			throw new NotRunError('the engines have loaded too slowly');
		}

		const revision = store.restore(copyAgeMs);
		trial.record('the store is back from a copy', {copyAgeMs, revision});
		for (const [key, spec] of written) {
			const [kind, name] = key.split('/');
			store.put(kind, name, spec);
		}
	}

	await trial.wait(calmMs - 4000);
	const first = new Set(engines.flatMap(({orders}) => orders.map(({holder}) => holder)));
	const holder = routers.find(({name}) => first.has(name));
	if (first.size !== 1 || !holder) {
		throw new NotRunError('the orders for version 2 had not one holder');
	}

	await holder.terminate();
	await trial.wait(4000);
	publish(3);
	await waitForVersion(3);
	trial.record('all engines have loaded version 3');
	return findSharedFences(engines);
});

/** Finds fence numbers that two holders have used in orders to one runner. */
function findSharedFences(engines) {
	return engines.flatMap(({id, orders}) => {
		const holders = new Map();
		for (const {fence, holder} of orders) {
			holders.set(fence, new Set([...holders.get(fence) ?? [], holder]));
		}

		return [...holders].filter(([, names]) => names.size > 1)
			.map(([fence, names]) => `ONE: runner ${id} was given orders by two holders, ${[...names].join(' and ')}, with one fence number, ${fence}`);
	});
}
