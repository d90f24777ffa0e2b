/**
 * What the relay costs as it is deployed, beside a bare express-to-undici
 * pass-through, both before the same runners; its memory under that load, and
 * the time from its start to its first readiness.
 */
import {Buffer} from 'node:buffer';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import type {Command} from 'commander';
import {request, type Pool} from 'undici';
import {makeSettingsText} from '../platform/testing/settings-text.ts';
import {relayKey, relayRoute} from './_relay-backend.ts';
import {
	readRoleCpu, compareSides, createSide, readFigures, startRole, type ComparisonOptions,
} from './_sides.ts';
import {createSystemClock, type Clock} from '#clock';

type RelayOptions = ComparisonOptions & Readonly<{bytes: string}>;

const bundlePath = 'target/apricotdoor.cjs';
const deployPath = 'deploy/system.toml';
const readyPollMs = 5;
const ticksPerSecond = 100;
const microsPerSecond = 1_000_000;
const kbPerMb = 1024;

/** Adds the bench. */
export function registerRelayBench(program: Command): void {
	program.command('relay')
		.description(`Cost of the relay as deployed (${bundlePath}) beside a bare pass-through, in one run.`)
		.option('--json', 'print one JSON object')
		.option('--rounds <n>', 'alternating rounds', '6')
		.option('--requests <n>', 'requests of a side in a round, for processor time', '2000')
		.option('--concurrency <n>', 'requests in progress at once', '24')
		.option('--rate <n>', 'requests per second for the latency', '30')
		.option('--gap-ms <ms>', 'time between events; 0 sends an answer at once', '0')
		.option('--bytes <n>', 'size of a request\'s body', '2400')
		.action(async (options: RelayOptions) => {
			await runRelayBench(options);
		});
}

async function runRelayBench(options: RelayOptions): Promise<void> {
	const clock = createSystemClock();
	const backend = await startRole('relay-backend', {address: '', gapMs: Number(options.gapMs)});
	const bare = await startRole('direct', backend.ready);
	const deployed = await startDeployed(clock, backend.ready.platform!);
	const direct = createSide(bare.ready.address, async () => readRoleCpu(bare.child));
	const routed = createSide(deployed.address, async () => readProcessCpu(deployed.child.pid!));
	const body = Buffer.alloc(Number(options.bytes), 'x');
	let sent = 0;
	await compareSides(clock, [direct, routed], async (pool, hearFirst) => sendOne(pool, {id: `bench-${sent++}`, body}, hearFirst), {
		rounds: Number(options.rounds), requests: Number(options.requests), concurrency: Number(options.concurrency), rate: Number(options.rate),
	});
	const figures = {direct: readFigures(direct), routed: readFigures(routed)};
	// Each answer has the same number of events on both sides: one ratio serves requests and events.
	const ratio = {
		requestsPerCoreSecond: figures.routed.requestsPerCoreSecond / figures.direct.requestsPerCoreSecond,
		eventsPerCoreSecond: figures.routed.requestsPerCoreSecond / figures.direct.requestsPerCoreSecond,
		addedMsP99: figures.routed.msP99 - figures.direct.msP99,
	};
	const result = {
		...figures, ratio, rssMb: readPeakMb(deployed.child.pid!), startMs: deployed.startMs,
	};
	if (options.json) {
		console.log(JSON.stringify(result));
	} else {
		console.table(figures);
		console.table({...ratio, rssMb: result.rssMb, startMs: result.startMs});
	}

	deployed.child.kill();
	for (const {child} of [backend, bare]) {
		child.disconnect();
	}

	await Promise.all([direct.pool.destroy(), routed.pool.destroy()]);
}

type Deployed = Readonly<{child: ChildProcess; address: string; startMs: number}>;

/** Starts the bundle as the deploy file does, and waits until it is ready. */
async function startDeployed(clock: Clock, storeAddress: string): Promise<Deployed> {
	const [callers, ready, peers] = await findPorts(3);
	const settingsPath = path.join(mkdtempSync(path.join(tmpdir(), 'apricotdoor-bench-')), 'boot.conf');
	writeFileSync(settingsPath, makeSettingsText({
		Node: 'bench', Ip: '127.0.0.1', Seeds: '', 'Listen.Front': `127.0.0.1:${callers}`, 'Listen.Ready': `127.0.0.1:${ready}`,
		InnerPorts: `${peers},${peers}`, 'Platform.Address': storeAddress,
	}));
	const startedMs = clock.now();
	const child = spawn(process.execPath, readRunWords(), {
		env: {...process.env, APRICOTDOOR_CONFIG: settingsPath}, stdio: ['ignore', 'ignore', 'inherit'],
	});
	while (!await isReady(ready!)) {
		await clock.sleep(readyPollMs);
	}

	return {child, address: `127.0.0.1:${callers}`, startMs: Math.round(clock.now() - startedMs)};
}

/** What the deploy file has between `node` and the end of the program's path. */
function readRunWords(): readonly string[] {
	const [, words = ''] = /^run = "node (.+?\.cjs)/mv.exec(readFileSync(deployPath, 'utf8')) ?? [];
	return words.split(' ');
}

async function isReady(port: number): Promise<boolean> {
	try {
		const answer = await request(`http://127.0.0.1:${port}/api/readyz`);
		await answer.body.dump();
		return answer.statusCode === 200;
	} catch {
		// Nothing listens yet.
		return false;
	}
}

async function findPorts(count: number): Promise<readonly number[]> {
	const servers = Array.from({length: count}, () => createServer().listen(0, '127.0.0.1'));
	await Promise.all(servers.map(async server => once(server, 'listening')));
	const ports = servers.map(server => {
		const bound = server.address();
		return typeof bound === 'object' && bound ? bound.port : 0;
	});
	for (const server of servers) {
		server.close();
	}

	return ports;
}

/** Processor time of a process from the kernel's count, in microseconds. */
async function readProcessCpu(pid: number): Promise<number> {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) * microsPerSecond / ticksPerSecond;
}

/** Highest resident memory of a process, in megabytes. */
function readPeakMb(pid: number): number {
	const [, kb] = /VmHWM:\s+(\d+) kB/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? [];
	return Math.round(Number(kb) / kbPerMb);
}

async function sendOne(pool: Pool, {id, body}: Readonly<{id: string; body: Uint8Array}>, hearFirst?: () => void): Promise<boolean> {
	const answer = await pool.request({
		method: 'POST', path: `${relayRoute.path}1`, body,
		headers: {
			host: relayRoute.host, 'content-type': 'application/json', 'api-key': relayKey, 'x-apricotdoor-request-id': id, 'x-apricotdoor-deadline-ms': '15000',
			'x-apricotdoor-model': relayRoute.model, 'x-apricotdoor-token-usage': '1460,80',
			'x-apricotdoor-prompt-prefix': `5c1e07a2:800,91bd3f06:410,${id}:250`,
		},
	});
	let hasBegun = false;
	let length = 0;
	for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
		if (!hasBegun) {
			hasBegun = true;
			hearFirst?.();
		}

		length += chunk.length;
	}

	return answer.statusCode === 200 && length > 0;
}
