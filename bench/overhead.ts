/**
 * Compares the cost of the router with that of a plain express-to-undici
 * pass-through proxy: requests per core, and latency added to the first byte.
 * Both run as separate processes in front of the same targets, in alternating
 * rounds.
 */
import type {Command} from 'commander';
import type {Pool} from 'undici';
import {benchKey, benchRoute, runRole} from './_overhead-roles.ts';
import {
	readRoleCpuMicros, compareProxies, createMeasuredProxy, computeMeasurements, startRole, type ComparisonOptions,
} from './_proxy-comparison.ts';
import {createSystemClock} from '#clock';
import {createWorkload, type Workload} from '#load';

/** Adds the bench and the hidden command that runs its child processes. */
export function registerOverheadBench(program: Command): void {
	program.command('overhead')
		.description('Cost of the router compared with a plain pass-through proxy, in one run.')
		.option('--json', 'write one JSON object')
		.option('--rounds <n>', 'alternating rounds', '6')
		.option('--requests <n>', 'requests to each proxy in a round, for processor time', '400')
		.option('--concurrency <n>', 'concurrent requests of the closed loop', '24')
		.option('--rate <n>', 'requests per second for the latency; 30 is about the current load of one instance', '30')
		.option('--gap-ms <ms>', 'time between tokens; 0 sends an answer at once', '10')
		.action(async (options: ComparisonOptions) => {
			await runOverhead(options);
		});
	program.command('overhead-role', {hidden: true}).argument('<name>').argument('<backend>')
		.action(runRole);
}

async function runOverhead(options: ComparisonOptions): Promise<void> {
	const backend = await startRole('backend', {address: '', gapMs: Number(options.gapMs)});
	const directRole = await startRole('direct', backend.ready);
	const routedRole = await startRole('routed', backend.ready);
	const direct = createMeasuredProxy(directRole.ready.address, async () => readRoleCpuMicros(directRole.child));
	const routed = createMeasuredProxy(routedRole.ready.address, async () => readRoleCpuMicros(routedRole.child));
	const workload = createWorkload({
		seed: 1, requestsPerSecond: Number(options.rate), customers: [{name: 'c', key: benchKey, share: 1}], preambleTokens: 2000, dossierTokens: 2000,
	});
	await compareProxies(createSystemClock(), [direct, routed], async (pool, handleFirstByte) => sendRequest(pool, workload, handleFirstByte), {
		rounds: Number(options.rounds), requests: Number(options.requests), concurrency: Number(options.concurrency), rate: Number(options.rate),
	});
	const measurements = {direct: computeMeasurements(direct), routed: computeMeasurements(routed)};
	const ratio = {
		requestsPerCoreSecond: measurements.routed.requestsPerCoreSecond / measurements.direct.requestsPerCoreSecond,
		addedMsP50: measurements.routed.msP50 - measurements.direct.msP50, addedMsP99: measurements.routed.msP99 - measurements.direct.msP99,
	};
	if (options.json) {
		console.log(JSON.stringify({...measurements, ratio, gapMs: Number(options.gapMs)}));
	} else {
		console.table(measurements);
		console.table(ratio);
	}

	for (const {child} of [backend, directRole, routedRole]) {
		child.disconnect();
	}

	await Promise.all([direct.pool.destroy(), routed.pool.destroy()]);
}

async function sendRequest(pool: Pool, workload: Workload, handleFirstByte?: () => void): Promise<boolean> {
	const {messages, maxTokens} = workload.next();
	const answer = await pool.request({
		method: 'POST', path: '/v1/chat/completions',
		headers: {'content-type': 'application/json', authorization: `Bearer ${benchKey}`},
		body: JSON.stringify({
			model: benchRoute, messages, max_tokens: maxTokens, stream: true,
		}),
	});
	const decoder = new TextDecoder();
	let text = '';
	for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
		if (text === '') {
			handleFirstByte?.();
		}

		text += decoder.decode(chunk, {stream: true});
	}

	return answer.statusCode === 200 && (text.includes('[DONE]') || text.includes('"type":"end"'));
}
