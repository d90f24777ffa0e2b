/**
 * What the router costs beside a bare express-to-undici pass-through: requests
 * per core, and time added to the first byte. Both run in
 * processes of their own before the same targets, in alternating rounds.
 */
import type {Command} from 'commander';
import type {Pool} from 'undici';
import {benchKey, benchRoute, runRole} from './_overhead-roles.ts';
import {
	readRoleCpu, compareSides, createSide, readFigures, startRole, type ComparisonOptions,
} from './_sides.ts';
import {createSystemClock} from '#clock';
import {createWorkload, type Workload} from '#load';

/** Adds the bench and the hidden roles that it starts. */
export function registerOverheadBench(program: Command): void {
	program.command('overhead')
		.description('Cost of the router beside a bare pass-through, in one run.')
		.option('--json', 'print one JSON object')
		.option('--rounds <n>', 'alternating rounds', '6')
		.option('--requests <n>', 'requests of a side in a round, for processor time', '400')
		.option('--concurrency <n>', 'requests in progress at once', '24')
		.option('--rate <n>', 'requests per second for the latency, about today\'s load of one instance', '30')
		.option('--gap-ms <ms>', 'time between tokens; 0 sends an answer at once', '10')
		.action(async (options: ComparisonOptions) => {
			await runOverhead(options);
		});
	program.command('overhead-role', {hidden: true}).argument('<name>').argument('<backend>')
		.action(runRole);
}

async function runOverhead(options: ComparisonOptions): Promise<void> {
	const backend = await startRole('backend', {address: '', gapMs: Number(options.gapMs)});
	const bare = await startRole('direct', backend.ready);
	const whole = await startRole('routed', backend.ready);
	const direct = createSide(bare.ready.address, async () => readRoleCpu(bare.child));
	const routed = createSide(whole.ready.address, async () => readRoleCpu(whole.child));
	const workload = createWorkload({
		seed: 1, requestsPerSecond: Number(options.rate), customers: [{name: 'c', key: benchKey, share: 1}], preambleTokens: 2000, dossierTokens: 2000,
	});
	await compareSides(createSystemClock(), [direct, routed], async (pool, hearFirst) => sendOne(pool, workload, hearFirst), {
		rounds: Number(options.rounds), requests: Number(options.requests), concurrency: Number(options.concurrency), rate: Number(options.rate),
	});
	const figures = {direct: readFigures(direct), routed: readFigures(routed)};
	const ratio = {
		requestsPerCoreSecond: figures.routed.requestsPerCoreSecond / figures.direct.requestsPerCoreSecond,
		addedMsP50: figures.routed.msP50 - figures.direct.msP50, addedMsP99: figures.routed.msP99 - figures.direct.msP99,
	};
	if (options.json) {
		console.log(JSON.stringify({...figures, ratio, gapMs: Number(options.gapMs)}));
	} else {
		console.table(figures);
		console.table(ratio);
	}

	for (const {child} of [backend, bare, whole]) {
		child.disconnect();
	}

	await Promise.all([direct.pool.destroy(), routed.pool.destroy()]);
}

async function sendOne(pool: Pool, workload: Workload, hearFirst?: () => void): Promise<boolean> {
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
			hearFirst?.();
		}

		text += decoder.decode(chunk, {stream: true});
	}

	return answer.statusCode === 200 && (text.includes('[DONE]') || text.includes('"type":"end"'));
}
