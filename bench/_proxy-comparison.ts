/**
 * Compares two proxies that run as separate processes in front of the same
 * targets: processor time under a closed loop, and time to the first byte at a
 * fixed request rate.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {build, type Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';
import * as z from 'zod';
import {roleReadySchema, type RoleReady} from './_role-ready.ts';
import type {Clock} from '#clock';

/** Sends one request and calls `handleFirstByte` at the first byte; resolves to whether the answer was complete. */
export type SendRequest = (pool: Pool, handleFirstByte?: () => void) => Promise<boolean>;

/** A proxy with the measurements taken so far. */
export type MeasuredProxy = Readonly<{
	pool: Pool;
	/** Reads the processor time that the proxy has used, in microseconds. */
	readCpuMicros: () => Promise<number>;
	/** Time to the first byte of an answer at the given rate, in microseconds. */
	latency: Histogram;
	tally: {requests: number; cpuMicros: number; failed: number};
}>;

/** Parameters of a comparison. */
export type Comparison = Readonly<{
	rounds: number;
	/** Requests to each proxy in a round of the closed loop. */
	requests: number;
	/** Concurrent requests of the closed loop. */
	concurrency: number;
	/** Requests per second to each proxy while latency is measured. */
	rate: number;
}>;

/** Command-line options of a comparison. */
export type ComparisonOptions = Readonly<{
	json?: boolean;
	rounds: string;
	requests: string;
	concurrency: string;
	rate: string;
	gapMs: string;
}>;

/** Results of one proxy. */
export type ProxyMeasurements = Readonly<{
	requests: number;
	failed: number;
	cpuMsPerRequest: number;
	requestsPerCoreSecond: number;
	msP50: number;
	msP99: number;
}>;

const readySchema = z.object({ready: roleReadySchema});
const cpuSchema = z.object({cpuMicros: z.number()});
const microsPerMs = 1000;
const microsPerSecond = 1_000_000;
/** Duration of the latency measurement in each round. */
const latencySeconds = 2;

/** Starts a role of the bench in a child process and waits until it listens. */
export async function startRole(name: string, backend?: RoleReady): Promise<Readonly<{child: ChildProcess; ready: RoleReady}>> {
	const child = fork(process.argv[1]!, ['overhead-role', name, JSON.stringify(backend ?? {address: ''})]);
	const [message] = await once(child, 'message') as readonly unknown[];
	const {ready} = readySchema.parse(message);
	return {child, ready};
}

/** Creates the record of a proxy that listens at an address. */
export function createMeasuredProxy(address: string, readCpuMicros: () => Promise<number>): MeasuredProxy {
	return {
		readCpuMicros, pool: new Pool(`http://${address}`, {connections: 64}),
		latency: build({lowestDiscernibleValue: 1, highestTrackableValue: 60 * microsPerSecond, numberOfSignificantValueDigits: 3}),
		tally: {requests: 0, cpuMicros: 0, failed: 0},
	};
}

/** Requests the processor time that a role has used, in microseconds. */
export async function readRoleCpuMicros(child: ChildProcess): Promise<number> {
	child.send('cpu');
	const [message] = await once(child, 'message') as readonly unknown[];
	return cpuSchema.parse(message).cpuMicros;
}

/** Measures two proxies in alternating rounds, after a warm-up round that is not counted. */
export async function compareProxies(clock: Clock, proxies: readonly [MeasuredProxy, MeasuredProxy], send: SendRequest, comparison: Comparison): Promise<void> {
	for (const proxy of proxies) {
		await sendClosedLoop(proxy, send, comparison);
	}

	for (let round = 0; round < comparison.rounds; round++) {
		for (const proxy of round % 2 === 0 ? proxies : proxies.toReversed()) {
			const before = await proxy.readCpuMicros();
			const failed = await sendClosedLoop(proxy, send, comparison);
			proxy.tally.cpuMicros += await proxy.readCpuMicros() - before;
			proxy.tally.requests += comparison.requests;
			proxy.tally.failed += failed;
		}

		await measureLatency(clock, proxies, send, comparison.rate);
	}
}

/** Computes the results of a proxy from its tally and histogram. */
export function computeMeasurements({tally, latency}: MeasuredProxy): ProxyMeasurements {
	return {
		requests: tally.requests, failed: tally.failed,
		cpuMsPerRequest: tally.cpuMicros / tally.requests / microsPerMs,
		requestsPerCoreSecond: tally.requests * microsPerSecond / tally.cpuMicros,
		msP50: latency.getValueAtPercentile(50) / microsPerMs, msP99: latency.getValueAtPercentile(99) / microsPerMs,
	};
}

/** Sends requests in a closed loop and returns how many failed. */
async function sendClosedLoop({pool}: MeasuredProxy, send: SendRequest, {requests, concurrency}: Comparison): Promise<number> {
	let remaining = requests;
	let failed = 0;
	const runWorker = async () => {
		while (remaining > 0) {
			remaining--;
			failed += await send(pool) ? 0 : 1;
		}
	};

	await Promise.all(Array.from({length: concurrency}, runWorker));
	return failed;
}

/** Sends requests to the proxies in turn at a fixed rate, as an open loop, and records the time to the first byte. */
async function measureLatency(clock: Clock, proxies: readonly MeasuredProxy[], send: SendRequest, rate: number): Promise<void> {
	const pending: Array<Promise<void>> = [];
	const startMs = clock.now();
	for (let index = 0; index < rate * latencySeconds * proxies.length; index++) {
		const dueMs = startMs + (index * 1000 / (rate * proxies.length));
		await clock.sleep(Math.max(0, dueMs - clock.now()));
		const proxy = proxies[index % proxies.length]!;
		pending.push((async () => {
			const sentMs = clock.now();
			const isComplete = await send(proxy.pool, () => {
				proxy.latency.recordValue(Math.round((clock.now() - sentMs) * microsPerMs));
			});
			proxy.tally.failed += isComplete ? 0 : 1;
		})());
	}

	await Promise.all(pending);
}
