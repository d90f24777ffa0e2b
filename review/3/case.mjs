/** The store comes back from a copy that is some seconds old. Later the operator moves a route to another service and takes a key away. */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {createConfiguration} from '../lib/configuration.mjs';
import {recordRuns, startDeployment, startTraffic} from '../lib/deployment.mjs';
import {createId, send} from '../lib/requester.mjs';
import {NotRunError, runTrial} from '../lib/trial.mjs';

const model = 'm0';
const awayMs = 500;

/** Time by which the copy is older than the first of these weights, and the maximum age of the copy, in milliseconds. */
const copyMarginMs = 500;
const maxCopyAgeMs = 10_000;

/** Time after the drill until the operator changes the configuration, in milliseconds: twice ContactMs. */
const calmMs = 6000;

/** Time for which the new configuration is watched, in milliseconds. */
const watchedMs = 15_000;

/** ConfigMs of the settings. */
const configMs = 2000;

await runTrial(path.dirname(fileURLToPath(import.meta.url)), async trial => {
	const before = {keys: ['key-1', 'key-old']};
	const {store, ledgers, newLedgers, engines, routers} = await startDeployment(trial, {engines: 6, newLedgers: 3, configuration: before});
	/** The operator's newest objects; it writes them again after a drill. */
	const written = new Map([['config/main', store.get('config', 'main').spec]]);
	const write = (kind, name, spec) => {
		written.set(`${kind}/${name}`, spec);
		const revision = store.put(kind, name, spec);
		trial.record('the operator writes', {
			kind, name, version: spec.Version, revision,
		});
	};

	const roll = async version => {
		write('versions', model, {Model: model, Version: version});
		await trial.until(() => engines.every(engine => engine.version === version), `all engines have version ${version}`, 15_000);
		trial.record('all engines have new weights', {version});
	};

	await trial.wait(9000);
	const namedMs = trial.nowMs;
	await roll(2);
	await roll(3);
	write('config', 'main', createConfiguration(2, before));
	await trial.wait(500);
	if (trial.hasTrouble) {
		store.takeAway();
		trial.record('the store is away', {revision: store.revision});
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

	await trial.wait(calmMs);
	trial.record('calls of the store until now', Object.fromEntries(store.calls));
	store.calls.clear();
	write('config', 'main', createConfiguration(3, {keys: ['key-1'], moveService: 'ledger-new'}));
	const confirmedMs = trial.nowMs;
	const traffic = startTraffic(trial, 20, async index => {
		const {front, name: router} = routers[index % routers.length];
		const request = index % 2 === 0
			? {
				id: createId('move'), method: 'POST', path: '/move/1', body: 'meter 7',
			}
			: {id: createId('old'), path: '/look/1', key: 'key-old'};
		return {router, ...await send(front, request)};
	});
	await trial.wait(watchedMs);
	await traffic.stop();
	trial.record('calls of the store since the change', Object.fromEntries(store.calls));
	recordRuns(trial, [...ledgers, ...newLedgers]);
	const services = new Map([...ledgers.flatMap(({runs}) => runs.map(({id}) => [id, 'ledger'])), ...newLedgers.flatMap(({runs}) => runs.map(({id}) => [id, 'ledger-new']))]);
	const late = traffic.answers.filter(({sentMs}) => sentMs > confirmedMs + configMs).map(answer => ({...answer, service: services.get(answer.id)}));
	for (const {id, router, sentMs, status, service} of late) {
		trial.record('request later than ConfigMs', {
			id, router, afterMs: sentMs - confirmedMs, status, service,
		});
	}

	const breaks = [];
	const moves = late.filter(({id}) => id.startsWith('move'));
	const oldMoves = moves.filter(({service}) => service === 'ledger');
	if (oldMoves.length > 0) {
		breaks.push(`CONFIG: ${oldMoves.length} of ${moves.length} movements, sent between ${configMs} and ${watchedMs} ms after the confirmation, were run by the old service`);
	}

	const oldKeys = late.filter(({id}) => id.startsWith('old'));
	const served = oldKeys.filter(({service}) => service !== undefined);
	if (served.length > 0) {
		breaks.push(`CONFIG: ${served.length} of ${oldKeys.length} requests with a key that was taken away, sent between ${configMs} and ${watchedMs} ms after the confirmation, were run`);
	}

	return breaks;
});
