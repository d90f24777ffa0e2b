/**
 * Compares placement policies on one seeded load: whole routers and stand-in
 * engines in one process on a manual clock, so times are virtual and a run
 * gives the same figures each time.
 */
import process from 'node:process';
import {Option, type Command} from 'commander';
import {faults, type FaultName} from './_placement-faults.ts';
import {makeLoad} from './_placement-load.ts';
import {policies, type PolicyName} from './_placement-policies.ts';
import {runPolicy, type PolicyFigures} from './_placement-run.ts';
import {shapes, type ShapeName} from './_placement-shapes.ts';

type PlacementOptions = Readonly<{
	json?: boolean;
	quick?: boolean;
	kept?: boolean;
	shape: ShapeName;
	fault: FaultName;
	seed: string;
	load: string;
	policy?: readonly PolicyName[];
}>;

const quickMs = 180_000;
const fullMs = 600_000;
const warmUpMs = 20_000;
const calmShiftMs = 60_000;
const hotShiftMs = 10_000;

/** Adds the bench to the command line. */
export function registerPlacementBench(program: Command): void {
	program.command('placement')
		.description('Hit rate, time to first token and recomputation of placement policies on one load.')
		.option('--json', 'write one JSON object')
		.option('--quick', 'a shorter run')
		.option('--kept', 'give the pool a store of kept KV cache')
		.addOption(new Option('--shape <name>', 'deployment').choices(Object.keys(shapes)).default('maalerlager'))
		.addOption(new Option('--fault <name>', 'fault during the run').choices(Object.keys(faults)).default('none'))
		.option('--seed <number>', 'seed of load and routers', '1')
		.option('--load <factor>', 'multiplies the request rate', '1')
		.addOption(new Option('--policy <name...>', 'policies to run; all without it').choices(Object.keys(policies)))
		.action(runPlacementBench);
}

async function runPlacementBench(options: PlacementOptions): Promise<void> {
	const shape = shapes[options.shape];
	const durationMs = options.quick ? quickMs : fullMs;
	const seed = Number(options.seed);
	const load = makeLoad({
		seed, durationMs, requestsPerSecond: shape.requestsPerSecond * Number(options.load), dossiers: shape.dossiers,
		shiftEveryMs: options.fault === 'hotShift' ? hotShiftMs : calmShiftMs,
	});
	const figures: Partial<Record<PolicyName, PolicyFigures>> = {};
	for (const name of options.policy ?? Object.keys(policies) as PolicyName[]) { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the keys of a constant table
		figures[name] = await runPolicy({
			shape, makePolicy: policies[name], kept: options.kept ?? false, seed, load, durationMs, warmUpMs, fault: faults[options.fault],
		});
		if (!options.json) {
			process.stdout.write(`${renderLine(name, figures[name])}\n`);
		}
	}

	if (options.json) {
		process.stdout.write(`${JSON.stringify({policies: figures})}\n`);
	}
}

function renderLine(name: string, figures: PolicyFigures): string {
	const columns = Object.entries(figures).map(([key, value]) => `${key} ${key.startsWith('ttft') ? value.toFixed(0) : value.toFixed(4)}`);
	return [name.padEnd(12), ...columns].join('  ');
}
