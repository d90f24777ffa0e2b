/** Measures the processor time of one placement decision and the memory of the cache entries, for a given pool size. */
import process from 'node:process';
import type {Command} from 'commander';
import {createSystemClock} from '#clock';
import {
	createRandom, hash64, type Target, type TargetPool,
} from '#core';
import {chooseTarget, createChain, TargetViews} from '#placement';

type CostOptions = Readonly<{json?: boolean; targets: string; entries: string; choices: string}>;

const zoneCount = 10;
const chainPieces = 7;
const pieceTokens = 2000;
const charsPerToken = 4;

export function registerPlacementCostBench(program: Command): void {
	program.command('placement-cost')
		.description('Processor time of one choice, and memory of the cache entries.')
		.option('--json', 'write one JSON object')
		.option('--targets <count>', 'targets of the pool', '600')
		.option('--entries <count>', 'cache entries recorded for each target', '2048')
		.option('--choices <count>', 'choices to measure', '2000')
		.action(runCostBench);
}

function runCostBench(options: CostOptions): void {
	const random = createRandom(1);
	const pool = createPool(Number(options.targets));
	const views = createViews(pool, Number(options.entries));
	const text = 'x'.repeat((chainPieces - 1) * pieceTokens * charsPerToken);
	const chain = createChain({customer: 'c', model: 'm', weights: 'v1'}, [{role: 'user', content: text}, {role: 'user', content: 'question'}], pieceTokens);
	const clock = createSystemClock();
	const choices = Number(options.choices);
	const query = {
		pool, views, chain, excluded: new Set<string>(), zone: 'zone-1', random, nowMs: 0,
	};
	chooseTarget(query);
	const startMs = clock.now();
	for (let index = 0; index < choices; index++) {
		chooseTarget(query);
	}

	const measurements = {
		targets: pool.targets.length, entries: views.entryCount, bytes: views.bytes, microsecondsPerChoice: (clock.now() - startMs) * 1000 / choices,
	};
	process.stdout.write(`${options.json ? JSON.stringify(measurements) : Object.entries(measurements).map(([key, value]) => `${key} ${Math.round(value)}`).join('  ')}\n`);
}

function createPool(count: number): TargetPool {
	const targets = Array.from({length: count}, (_, index): Target => ({name: `e${index}`, address: `10.0.0.1:${index + 1}`, zone: `zone-${index % zoneCount}`}));
	return {
		name: 'language', kind: 'engine', model: 'm', weights: 'v1', pieceTokens, checksFencing: true, loadsAtOnce: 2, minLoaded: 1, slots: 8, targets,
	};
}

function createViews(pool: TargetPool, entries: number): TargetViews {
	const views = new TargetViews();
	for (const {name} of pool.targets) {
		views.applyPrefill(name, 'i1', Array.from({length: entries}, (_, index) => hash64(`${name} ${index}`)));
	}

	return views;
}
