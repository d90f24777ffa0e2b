/**
 * Compares placement policies under one seeded load: complete routers and
 * stand-in engines in one process on a manual clock, so times are virtual and
 * every run gives the same results.
 */
import process from 'node:process';
import {Option, type Command} from 'commander';
import {faults, type FaultName} from './_placement-faults.ts';
import {createLoad} from './_placement-load.ts';
import {policies, type PolicyName} from './_placement-policies.ts';
import {runPolicy, type PolicyMeasurements} from './_placement-run.ts';
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

export function registerPlacementBench(program: Command): void {
	program.command('placement')
		.description('Hit rate, time to first token and recomputation of placement policies on one load.')
		.option('--json', 'write one JSON object')
		.option('--quick', 'a shorter run')
		.option('--kept', 'give the pool an external store for KV cache')
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
	const load = createLoad({
		seed, durationMs, requestsPerSecond: shape.requestsPerSecond * Number(options.load), dossiers: shape.dossiers,
		shiftIntervalMs: options.fault === 'hotShift' ? hotShiftMs : calmShiftMs,
	});
	const measurements: Partial<Record<PolicyName, PolicyMeasurements>> = {};
	for (const name of options.policy ?? Object.keys(policies) as PolicyName[]) { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the keys of a constant table
		measurements[name] = await runPolicy({
			shape, createPolicy: policies[name], hasCacheStore: options.kept ?? false, seed, load, durationMs, warmUpMs, fault: faults[options.fault],
		});
		if (!options.json) {
			process.stdout.write(`${renderLine(name, measurements[name])}\n`);
		}
	}

	if (options.json) {
		process.stdout.write(`${JSON.stringify({policies: measurements})}\n`);
	}
}

function renderLine(name: string, measurements: PolicyMeasurements): string {
	const columns = Object.entries(measurements).map(([key, value]) => `${key} ${key.startsWith('ttft') ? value.toFixed(0) : value.toFixed(4)}`);
	return [name.padEnd(12), ...columns].join('  ');
}
