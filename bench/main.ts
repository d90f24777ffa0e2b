/** Command line of the benches: `npm run -s bench -- NAME [--json]`. */
import process from 'node:process';
import {Command} from 'commander';
import {registerAdmissionBench} from './admission.ts';
import {registerClaimsBench} from './claims.ts';
import {registerOverheadBench} from './overhead.ts';
import {registerCapacityBench} from './capacity.ts';
import {registerFleetBench} from './fleet.ts';
import {registerPlacementBench} from './placement.ts';
import {registerPlacementCostBench} from './placement-cost.ts';
import {registerRelayBench} from './relay.ts';
import {registerStreamsBench} from './streams.ts';
import {prepareHash} from '#core';

function createBenchProgram(): Command {
	const program = new Command('bench');
	program.description('Benchmarks of the router. Times are measured here and not in tests.');
	registerOverheadBench(program);
	registerCapacityBench(program);
	registerFleetBench(program);
	registerAdmissionBench(program);
	registerClaimsBench(program);
	registerPlacementBench(program);
	registerPlacementCostBench(program);
	registerRelayBench(program);
	registerStreamsBench(program);
	return program;
}

async function run(): Promise<void> {
	await prepareHash();
	await createBenchProgram().parseAsync(process.argv);
}

void run();
