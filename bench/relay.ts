/**
 * Compares the cost of the deployed relay with that of a plain express-to-undici
 * pass-through proxy in front of the same runners. Also measures the peak memory
 * of the relay under that load, and the time from its start until it is ready.
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
import {createSettingsText} from '../platform/testing/settings-text.ts';
import {relayKey, relayRoute} from './_relay-backend.ts';
import {
	readRoleCpuMicros, compareProxies, createMeasuredProxy, computeMeasurements, startRole, type ComparisonOptions,
} from './_proxy-comparison.ts';
import {createSystemClock, type Clock} from '#clock';

type RelayOptions = ComparisonOptions & Readonly<{bytes: string}>;

const bundlePath = 'target/apricotdoor.cjs';
const deployPath = 'deploy/system.toml';
const readyPollMs = 5;
/** Unit of the processor times in `/proc/PID/stat`. */
const ticksPerSecond = 100;
const microsPerSecond = 1_000_000;
const kbPerMb = 1024;

export function registerRelayBench(program: Command): void {
	program.command('relay')
		.description(`Cost of the relay as deployed (${bundlePath}) compared with a plain pass-through proxy, in one run.`)
		.option('--json', 'write one JSON object')
		.option('--rounds <n>', 'alternating rounds', '6')
		.option('--requests <n>', 'requests to each proxy in a round, for processor time', '2000')
		.option('--concurrency <n>', 'concurrent requests of the closed loop', '24')
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
	const directRole = await startRole('direct', backend.ready);
	const deployed = await startDeployedRelay(clock, backend.ready.platform!);
	const direct = createMeasuredProxy(directRole.ready.address, async () => readRoleCpuMicros(directRole.child));
	const routed = createMeasuredProxy(deployed.address, async () => readProcessCpuMicros(deployed.child.pid!));
	const body = Buffer.alloc(Number(options.bytes), 'x');
	let sent = 0;
	await compareProxies(clock, [direct, routed], async (pool, handleFirstByte) => sendRequest(pool, {id: `bench-${sent++}`, body}, handleFirstByte), {
		rounds: Number(options.rounds), requests: Number(options.requests), concurrency: Number(options.concurrency), rate: Number(options.rate),
	});
	const measurements = {direct: computeMeasurements(direct), routed: computeMeasurements(routed)};
	// Each answer has the same number of events from both proxies, so one ratio serves requests and events.
	const ratio = {
		requestsPerCoreSecond: measurements.routed.requestsPerCoreSecond / measurements.direct.requestsPerCoreSecond,
		eventsPerCoreSecond: measurements.routed.requestsPerCoreSecond / measurements.direct.requestsPerCoreSecond,
		addedMsP99: measurements.routed.msP99 - measurements.direct.msP99,
	};
	const result = {
		...measurements, ratio, rssMb: readPeakRssMb(deployed.child.pid!), startMs: deployed.startMs,
	};
	if (options.json) {
		console.log(JSON.stringify(result));
	} else {
		console.table(measurements);
		console.table({...ratio, rssMb: result.rssMb, startMs: result.startMs});
	}

	deployed.child.kill();
	for (const {child} of [backend, directRole]) {
		child.disconnect();
	}

	await Promise.all([direct.pool.destroy(), routed.pool.destroy()]);
}

type DeployedRelay = Readonly<{child: ChildProcess; address: string; startMs: number}>;

/** Starts the bundle with the arguments of the deploy file, and waits until it is ready. */
async function startDeployedRelay(clock: Clock, storeAddress: string): Promise<DeployedRelay> {
	const [callerPort, readyPort, peerPort] = await findFreePorts(3);
	const settingsPath = path.join(mkdtempSync(path.join(tmpdir(), 'apricotdoor-bench-')), 'boot.conf');
	writeFileSync(settingsPath, createSettingsText({
		Node: 'bench', Ip: '127.0.0.1', Seeds: '', 'Listen.Front': `127.0.0.1:${callerPort}`, 'Listen.Ready': `127.0.0.1:${readyPort}`,
		InnerPorts: `${peerPort},${peerPort}`, 'Platform.Address': storeAddress,
	}));
	const startedMs = clock.now();
	const child = spawn(process.execPath, readRunArguments(), {
		env: {...process.env, APRICOTDOOR_CONFIG: settingsPath}, stdio: ['ignore', 'ignore', 'inherit'],
	});
	while (!await isReady(readyPort!)) {
		await clock.sleep(readyPollMs);
	}

	return {child, address: `127.0.0.1:${callerPort}`, startMs: Math.round(clock.now() - startedMs)};
}

/** Reads the arguments of `node` in the deploy file, up to and including the path of the program. */
function readRunArguments(): readonly string[] {
	const [, runArguments = ''] = /^run = "node (.+?\.cjs)/mv.exec(readFileSync(deployPath, 'utf8')) ?? [];
	return runArguments.split(' ');
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

async function findFreePorts(count: number): Promise<readonly number[]> {
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

/** Reads the processor time of a process from `/proc`, in microseconds. */
async function readProcessCpuMicros(pid: number): Promise<number> {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	// Index 11 is utime and index 12 is stime, counted from the field after the name.
	return (Number(fields[11]) + Number(fields[12])) * microsPerSecond / ticksPerSecond;
}

/** Reads the peak resident memory of a process, in megabytes. */
function readPeakRssMb(pid: number): number {
	const [, kb] = /VmHWM:\s+(\d+) kB/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? [];
	return Math.round(Number(kb) / kbPerMb);
}

async function sendRequest(pool: Pool, {id, body}: Readonly<{id: string; body: Uint8Array}>, handleFirstByte?: () => void): Promise<boolean> {
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
			handleFirstByte?.();
		}

		length += chunk.length;
	}

	return answer.statusCode === 200 && length > 0;
}
