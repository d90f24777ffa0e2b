/**
 * Measures streams under faults: complete routers and stand-in engines in one
 * process on a manual clock, with the same seeded load for every fault. Times are
 * virtual.
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import type {Command} from 'commander';
import {build, type Histogram} from 'hdr-histogram-js';
import {StreamCluster, type StreamRequest} from './_streams-cluster.ts';
import {streamFaults} from './_streams-faults.ts';
import {createRandom, type AnswerEvent} from '#core';
import {createAnswerSlices} from '#standins';

type StreamsOptions = Readonly<{json?: boolean; quick?: boolean; seed: string}>;

/** Results of a run. */
type StreamMeasurements = Readonly<{
	requests: number;
	/** Ratio of complete answers that equal the answer of an engine without faults byte by byte. */
	exactRatio: number;
	/** Answers that ended as complete but differed. */
	wrong: number;
	/** Requests that failed before the first byte (`refused`) and after it (`cut`). */
	refused: number;
	cut: number;
	/** Attempts per request. */
	attemptsRatio: number;
	/** Prompt tokens that the engines computed or read from their caches, per prompt token of the load. */
	prefillRatio: number;
	/** Time to the first byte, and longest pause within an answer, in milliseconds. */
	firstMsP95: number;
	pauseMsP50: number;
	pauseMsP95: number;
	pauseMsP99: number;
	retries: Readonly<Record<string, number>>;
}>;

type Tally = {
	readonly first: Histogram;
	readonly pause: Histogram;
	requests: number;
	exact: number;
	wrong: number;
	refused: number;
	cut: number;
};

const fullMs = 300_000;
const quickMs = 60_000;
const drainMs = 30_000;
const meanArrivalIntervalMs = 250;
const maxRecordedMs = 60_000;

export function registerStreamsBench(program: Command): void {
	program.command('streams')
		.description('Completeness of streams, length of pauses and repeated work under crashes, resets and silence.')
		.option('--json', 'write one JSON object')
		.option('--quick', 'a shorter run')
		.option('--seed <number>', 'seed of load, faults and routers', '1')
		.action(runStreamsBench);
}

async function runStreamsBench(options: StreamsOptions): Promise<void> {
	const measurements: Record<string, StreamMeasurements> = {};
	const durationMs = options.quick ? quickMs : fullMs;
	for (const name of Object.keys(streamFaults)) {
		measurements[name] = await runFault(name, Number(options.seed), durationMs);
		if (!options.json) {
			process.stdout.write(`${name.padEnd(10)} ${JSON.stringify(measurements[name])}\n`);
		}
	}

	if (options.json) {
		process.stdout.write(`${JSON.stringify({faults: measurements})}\n`);
	}
}

async function runFault(name: string, seed: number, durationMs: number): Promise<StreamMeasurements> {
	const cluster = new StreamCluster(seed);
	await cluster.start();
	const tally = createTally();
	const random = createRandom(seed);
	let promptTokens = 0;
	for (let atMs = 0; atMs < durationMs; atMs += random.next() * meanArrivalIntervalMs * 2) {
		const request = cluster.createRequest(random);
		promptTokens += request.promptTokens;
		cluster.clock.setTimer(atMs, () => {
			void runRequest(cluster, request, tally);
		});
	}

	streamFaults[name]!(cluster, createRandom(seed + 1), durationMs);
	await cluster.clock.advance(durationMs + drainMs);
	const measurements = computeMeasurements(cluster, tally, promptTokens);
	await cluster.stop();
	return measurements;
}

function createTally(): Tally {
	const options = {highestTrackableValue: maxRecordedMs, numberOfSignificantValueDigits: 3} as const;
	return {
		first: build(options), pause: build(options), requests: 0, exact: 0, wrong: 0, refused: 0, cut: 0,
	};
}

async function runRequest(cluster: StreamCluster, request: StreamRequest, tally: Tally): Promise<void> {
	const {clock} = cluster;
	const startMs = clock.now();
	const chunks: Uint8Array[] = [];
	let lastMs = startMs;
	let pauseMs = 0;
	let last: AnswerEvent | undefined;
	tally.requests++;
	for await (const event of cluster.send(request)) {
		last = event;
		if (event.kind !== 'data') {
			continue;
		}

		if (chunks.length === 0) {
			tally.first.recordValue(Math.min(maxRecordedMs, clock.now() - startMs));
		} else {
			pauseMs = Math.max(pauseMs, clock.now() - lastMs);
		}

		lastMs = clock.now();
		chunks.push(event.bytes);
	}

	if (last?.kind !== 'end') {
		tally[chunks.length > 0 ? 'cut' : 'refused']++;
		return;
	}

	tally.pause.recordValue(Math.min(maxRecordedMs, pauseMs));
	const isExact = Buffer.concat(chunks).equals(Buffer.concat(createAnswerSlices(request.work)));
	tally[isExact ? 'exact' : 'wrong']++;
}

function computeMeasurements(cluster: StreamCluster, tally: Tally, promptTokens: number): StreamMeasurements {
	const {attempts, retries} = cluster.getCounters();
	const round = (value: number) => Number(value.toFixed(4));
	return {
		requests: tally.requests, exactRatio: round(tally.exact / tally.requests), wrong: tally.wrong, refused: tally.refused, cut: tally.cut,
		attemptsRatio: round(attempts / tally.requests), prefillRatio: round(cluster.countPrefilledTokens() / promptTokens),
		firstMsP95: tally.first.getValueAtPercentile(95), pauseMsP50: tally.pause.getValueAtPercentile(50),
		pauseMsP95: tally.pause.getValueAtPercentile(95), pauseMsP99: tally.pause.getValueAtPercentile(99), retries,
	};
}
