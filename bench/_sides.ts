/** Two sides of a comparison, each a process before the same targets: processor time of a closed loop, and time to the first byte at a given rate. */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {build, type Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';
import * as z from 'zod';
import {roleReadySchema, type RoleReady} from './_role-ready.ts';
import type {Clock} from '#clock';

/** Sends one request; says whether it was answered in full, and when its first byte came. */
export type SendOne = (pool: Pool, hearFirst?: () => void) => Promise<boolean>;

/** One side. */
export type Side = Readonly<{
	pool: Pool;
	/** Processor time that the side has used so far, in microseconds. */
	readCpu: () => Promise<number>;
	/** Time to the first byte of an answer at the given rate, in microseconds. */
	latency: Histogram;
	tally: {requests: number; cpuMicros: number; failed: number};
}>;

/** How two sides are compared. */
export type Comparison = Readonly<{
	rounds: number;
	/** Requests of a side in a round, for processor time. */
	requests: number;
	/** Requests in progress at once. */
	concurrency: number;
	/** Requests per second for the latency. */
	rate: number;
}>;

/** Options of a comparison on the command line. */
export type ComparisonOptions = Readonly<{
	json?: boolean;
	rounds: string;
	requests: string;
	concurrency: string;
	rate: string;
	gapMs: string;
}>;

/** What was measured on one side. */
export type SideFigures = Readonly<{
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
const latencySeconds = 2;

/** Starts a role of the bench in a process of its own. */
export async function startRole(name: string, backend?: RoleReady): Promise<Readonly<{child: ChildProcess; ready: RoleReady}>> {
	const child = fork(process.argv[1]!, ['overhead-role', name, JSON.stringify(backend ?? {address: ''})]);
	const [message] = await once(child, 'message') as readonly unknown[];
	const {ready} = readySchema.parse(message);
	return {child, ready};
}

/** Creates a side at an address. */
export function createSide(address: string, readCpu: () => Promise<number>): Side {
	return {
		readCpu, pool: new Pool(`http://${address}`, {connections: 64}),
		latency: build({lowestDiscernibleValue: 1, highestTrackableValue: 60 * microsPerSecond, numberOfSignificantValueDigits: 3}),
		tally: {requests: 0, cpuMicros: 0, failed: 0},
	};
}

/** Processor time that a role has used so far, in microseconds. */
export async function readRoleCpu(child: ChildProcess): Promise<number> {
	child.send('cpu');
	const [message] = await once(child, 'message') as readonly unknown[];
	return cpuSchema.parse(message).cpuMicros;
}

/** Measures two sides in alternating rounds, after one that does not count. */
export async function compareSides(clock: Clock, sides: readonly [Side, Side], send: SendOne, comparison: Comparison): Promise<void> {
	for (const side of sides) {
		await sendMany(side, send, comparison);
	}

	for (let round = 0; round < comparison.rounds; round++) {
		for (const side of round % 2 === 0 ? sides : sides.toReversed()) {
			const before = await side.readCpu();
			const failed = await sendMany(side, send, comparison);
			side.tally.cpuMicros += await side.readCpu() - before;
			side.tally.requests += comparison.requests;
			side.tally.failed += failed;
		}

		await measureLatency(clock, sides, send, comparison.rate);
	}
}

/** Sums up what was measured. */
export function readFigures({tally, latency}: Side): SideFigures {
	return {
		requests: tally.requests, failed: tally.failed,
		cpuMsPerRequest: tally.cpuMicros / tally.requests / microsPerMs,
		requestsPerCoreSecond: tally.requests * microsPerSecond / tally.cpuMicros,
		msP50: latency.getValueAtPercentile(50) / microsPerMs, msP99: latency.getValueAtPercentile(99) / microsPerMs,
	};
}

/** Sends requests in a closed loop. */
async function sendMany({pool}: Side, send: SendOne, {requests, concurrency}: Comparison): Promise<number> {
	let left = requests;
	let failed = 0;
	const work = async () => {
		while (left > 0) {
			left--;
			failed += await send(pool) ? 0 : 1;
		}
	};

	await Promise.all(Array.from({length: concurrency}, work));
	return failed;
}

/** Sends single requests to the sides in turn at a fixed pace. */
async function measureLatency(clock: Clock, sides: readonly Side[], send: SendOne, rate: number): Promise<void> {
	const pending: Array<Promise<void>> = [];
	const startMs = clock.now();
	for (let index = 0; index < rate * latencySeconds * sides.length; index++) {
		const dueMs = startMs + (index * 1000 / (rate * sides.length));
		await clock.sleep(Math.max(0, dueMs - clock.now()));
		const side = sides[index % sides.length]!;
		pending.push((async () => {
			const sentMs = clock.now();
			const isAnswered = await send(side.pool, () => {
				side.latency.recordValue(Math.round((clock.now() - sentMs) * microsPerMs));
			});
			side.tally.failed += isAnswered ? 0 : 1;
		})());
	}

	await Promise.all(pending);
}
