/** An entry of another writer, in which a field has no value, lies among those of the runners. */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {Balancer} from '../lib/balancer.mjs';
import {recordRuns, startDeployment, startTraffic} from '../lib/deployment.mjs';
import {
	createAgent, createId, gaveUp, send,
} from '../lib/requester.mjs';
import {runTrial} from '../lib/trial.mjs';

const calmMs = 5000;
const watchedMs = 40_000;

/** The rule's limits: processes that end by themselves so often, on so many machines. */
const maxOwnEnds = 2;
const maxMachines = 1;

/** Requests from kept connections that may run and remain without an answer. */
const maxLost = 3;

/** An engine's entry whose writer fills fields that have no value with an empty text. */
const foreignEntry = {
	Service: 'llm', Address: '', Zone: 'esbjerg', Version: 'v1', Slots: 64, State: 'ready', ColdLeftMs: 0, Stage: 'both', Models: [{Name: 'm0', Version: 1, Adapters: []}], Seq: 1,
};

await runTrial(path.dirname(fileURLToPath(import.meta.url)), async trial => {
	const {store, ledgers, engines, routers} = await startDeployment(trial, {ledgerOptions: {workMs: 86}});
	const balancer = new Balancer(trial, routers);
	const agents = new Map(routers.map(router => [router, createAgent()]));
	const traffic = startTraffic(trial, 80, async index => {
		const router = balancer.choose(index % routers.length);
		const agent = agents.get(router);
		const answer = await send(router.front, index % 4 > 0
			? {
				id: createId('move'), method: 'POST', path: '/move/1', body: 'meter 7', agent,
			}
			: {
				id: createId('seal'), method: 'POST', path: '/seal/1', body: 'prompt', agent, deadlineMs: 3000, headers: {
					'x-apricotdoor-model': 'm0', 'x-apricotdoor-token-usage': '2368,5', 'x-apricotdoor-prompt-prefix': `5c1e07a2:568,${createId('e4')}:1800`,
				},
			});
		return {router: router.name, ...answer};
	});
	await trial.wait(calmMs);
	const troubleMs = trial.nowMs;
	if (trial.hasTrouble) {
		store.put('servers', 'i-other', foreignEntry);
		trial.record('another writer has put an entry', {kind: 'servers', name: 'i-other', spec: foreignEntry});
	}

	await trial.wait(watchedMs);
	await traffic.stop();
	recordRuns(trial, [...ledgers, ...engines]);
	const ran = new Set([...ledgers, ...engines].flatMap(({runs}) => runs.map(({id}) => id)));
	for (const phase of ['before', 'after']) {
		const sent = traffic.answers.filter(({sentMs}) => (sentMs < troubleMs) === (phase === 'before'));
		trial.record(`requests sent ${phase}`, {
			sent: sent.length, answered: sent.filter(({status}) => status === 200).length,
			refused: sent.filter(({status}) => status !== undefined && status !== 200).length, failed: sent.filter(({status}) => status === undefined).length,
		});
	}

	const breaks = [];
	const ended = routers.filter(({ownEnds}) => ownEnds.length > maxOwnEnds);
	trial.record('ends by themselves', Object.fromEntries(routers.map(({name, ownEnds}) => [name, ownEnds.length])));
	if (ended.length > maxMachines) {
		const counts = ended.map(({name, ownEnds}) => `${name} ${ownEnds.length}`);
		breaks.push(`Fault: on ${ended.length} of ${routers.length} machines the process ended by itself three times or more: ${counts.join(', ')}`);
	}

	const lost = traffic.answers.filter(({id, status, isReused, error}) => status === undefined && isReused && error !== gaveUp && ran.has(id));
	for (const {id, sentMs, error} of lost) {
		trial.record('a request ran, and its connection was closed without an answer', {id, sentMs, error});
	}

	if (lost.length > maxLost) {
		const moves = lost.filter(({id}) => id.startsWith('move')).length;
		breaks.push(`LOST: ${lost.length} requests from kept connections were passed on to a sound runner and ran, and their connections were closed without an answer; ${moves} are movements`);
	}

	return breaks;
});
