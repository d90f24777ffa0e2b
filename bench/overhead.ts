/**
 * What the router costs beside a bare express-to-undici pass-through: requests
 * per core, and time added to the first byte. Both run in
 * processes of their own before the same targets, in alternating rounds.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import type {Command} from 'commander';
import {build, type Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';
import * as z from 'zod';
import {
	benchKey, benchRoute, roleReadySchema, runRole, type RoleReady,
} from './_overhead-roles.ts';
import {createSystemClock, type Clock} from '#clock';
import {createWorkload, type Workload} from '#load';

type OverheadOptions = Readonly<{
	json?: boolean;
	rounds: string;
	requests: string;
	concurrency: string;
	rate: string;
	gapMs: string;
}>;

type Side = Readonly<{
	child: ChildProcess;
	pool: Pool;
	/** Time to the first byte of an answer at the given rate, in microseconds. */
	latency: Histogram;
	tally: {requests: number; cpuMicros: number; failed: number};
}>;

const readySchema = z.object({ready: roleReadySchema});
const cpuSchema = z.object({cpuMicros: z.number()});
const microsPerMs = 1000;
const microsPerSecond = 1_000_000;

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
		.action(async (options: OverheadOptions) => {
			await runOverhead(options);
		});
	program.command('overhead-role', {hidden: true}).argument('<name>').argument('<backend>')
		.action(runRole);
}

async function runOverhead(options: OverheadOptions): Promise<void> {
	const clock = createSystemClock();
	const backend = await startRole('backend', {address: '', gapMs: Number(options.gapMs)});
	const direct = await startSide('direct', backend.ready);
	const routed = await startSide('routed', backend.ready);
	const workload = createWorkload({
		seed: 1, requestsPerSecond: Number(options.rate), customers: [{name: 'c', key: benchKey, share: 1}], preambleTokens: 2000, dossierTokens: 2000,
	});
	for (const side of [direct, routed]) {
		await sendMany(side, workload, Number(options.requests), Number(options.concurrency));
	}

	for (let round = 0; round < Number(options.rounds); round++) {
		for (const side of round % 2 === 0 ? [direct, routed] : [routed, direct]) {
			const before = await readCpu(side.child);
			const failed = await sendMany(side, workload, Number(options.requests), Number(options.concurrency));
			side.tally.cpuMicros += await readCpu(side.child) - before;
			side.tally.requests += Number(options.requests);
			side.tally.failed += failed;
		}

		await measureLatency(clock, [direct, routed], workload, Number(options.rate));
	}

	printResult(direct, routed, options);
	for (const child of [backend.child, direct.child, routed.child]) {
		child.disconnect();
	}

	await Promise.all([direct.pool.destroy(), routed.pool.destroy()]);
}

async function startRole(name: string, backend?: RoleReady): Promise<Readonly<{child: ChildProcess; ready: RoleReady}>> {
	const child = fork(process.argv[1]!, ['overhead-role', name, JSON.stringify(backend ?? {address: ''})]);
	const [message] = await once(child, 'message') as readonly unknown[];
	const {ready} = readySchema.parse(message);
	return {child, ready};
}

async function startSide(name: string, backend: RoleReady): Promise<Side> {
	const {child, ready} = await startRole(name, backend);
	return {
		child, pool: new Pool(`http://${ready.address}`, {connections: 64}),
		latency: build({lowestDiscernibleValue: 1, highestTrackableValue: 60 * microsPerSecond, numberOfSignificantValueDigits: 3}),
		tally: {requests: 0, cpuMicros: 0, failed: 0},
	};
}

async function readCpu(child: ChildProcess): Promise<number> {
	child.send('cpu');
	const [message] = await once(child, 'message') as readonly unknown[];
	return cpuSchema.parse(message).cpuMicros;
}

/** Sends requests in a closed loop. */
async function sendMany(side: Side, workload: Workload, count: number, concurrency: number): Promise<number> {
	let left = count;
	let failed = 0;
	const work = async () => {
		while (left > 0) {
			left--;
			failed += await sendOne(side, workload) ? 0 : 1;
		}
	};

	await Promise.all(Array.from({length: concurrency}, work));
	return failed;
}

const latencySeconds = 2;

/** Sends single requests to the sides in turn at a fixed pace. */
async function measureLatency(clock: Clock, sides: readonly Side[], workload: Workload, rate: number): Promise<void> {
	const pending: Array<Promise<void>> = [];
	const startMs = clock.now();
	for (let index = 0; index < rate * latencySeconds * sides.length; index++) {
		const dueMs = startMs + (index * 1000 / (rate * sides.length));
		await clock.sleep(Math.max(0, dueMs - clock.now()));
		const side = sides[index % sides.length]!;
		pending.push((async () => {
			const sentMs = clock.now();
			const isAnswered = await sendOne(side, workload, () => {
				side.latency.recordValue(Math.round((clock.now() - sentMs) * microsPerMs));
			});
			side.tally.failed += isAnswered ? 0 : 1;
		})());
	}

	await Promise.all(pending);
}

async function sendOne(side: Side, workload: Workload, hearFirst?: () => void): Promise<boolean> {
	const {messages, maxTokens} = workload.next();
	const answer = await side.pool.request({
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

function printResult(direct: Side, routed: Side, options: OverheadOptions): void {
	const read = ({tally, latency}: Side) => ({
		requests: tally.requests, failed: tally.failed,
		cpuMsPerRequest: tally.cpuMicros / tally.requests / microsPerMs,
		requestsPerCoreSecond: tally.requests * microsPerSecond / tally.cpuMicros,
		msP50: latency.getValueAtPercentile(50) / microsPerMs, msP99: latency.getValueAtPercentile(99) / microsPerMs,
	});
	const [bare, whole] = [read(direct), read(routed)];
	const ratio = {
		requestsPerCoreSecond: whole.requestsPerCoreSecond / bare.requestsPerCoreSecond,
		addedMsP50: whole.msP50 - bare.msP50, addedMsP99: whole.msP99 - bare.msP99,
	};
	if (options.json) {
		console.log(JSON.stringify({
			direct: bare, routed: whole, ratio, gapMs: Number(options.gapMs),
		}));
		return;
	}

	console.table({direct: bare, routed: whole});
	console.table(ratio);
}
