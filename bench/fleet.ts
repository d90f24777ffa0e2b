/**
 * Measures a fleet of instances as real processes on loopback, with the
 * stand-ins in this process: publication of configurations, a draining target,
 * resource usage without load, and a rolling restart under load.
 */
import process from 'node:process';
import type {Command} from 'commander';
import {
	measureDraining, measurePublication, measureIdleUsage, measureRestart,
} from './_fleet-measurements.ts';
import {FleetLoad} from './_fleet-load.ts';
import {runSweep} from './_fleet-sweep.ts';
import {bundleProgram, FleetDeployment} from './_fleet-deployment.ts';

type FleetBenchOptions = Readonly<{json?: boolean; sweep?: boolean; instances: string; targets: string; rate: string}>;

const maxInstances = 64;
const settleMs = 12_000;
const idleMs = 8000;

export function registerFleetBench(program: Command): void {
	program.command('fleet')
		.description('Publication of configurations, a draining target, idle resource usage and a rolling restart, with real processes on loopback.')
		.option('--json', 'write one JSON object')
		.option('--sweep', 'measure how idle resource usage grows with instances, targets, customers and cache events')
		.option('--instances <number>', `instances, at most ${maxInstances}`, '8')
		.option('--targets <number>', 'engines', '6')
		.option('--rate <number>', 'requests per second', '20')
		.action(runFleetBench);
}

async function runFleetBench(options: FleetBenchOptions): Promise<void> {
	if (options.sweep) {
		const sweeps = await runSweep(bundleProgram(), text => {
			if (!options.json) {
				process.stdout.write(text);
			}
		});
		writeMeasurements(options, sweeps);
	} else {
		writeMeasurements(options, await measureFleet(options));
	}

	process.exit(); // eslint-disable-line unicorn/no-process-exit
}

async function measureFleet(options: FleetBenchOptions): Promise<unknown> {
	const instances = Math.min(maxInstances, Number(options.instances));
	const deployment = new FleetDeployment(bundleProgram(), {
		instances, targets: Number(options.targets), customers: 8, eventsPerSecond: 0,
	});
	try {
		await deployment.start();
		await deployment.clock.sleep(settleMs);
		const idle = await measureIdleUsage(deployment, idleMs);
		const publishInForceMsMax = await measurePublication(deployment);
		const load = new FleetLoad(deployment, Number(options.rate));
		load.start();
		const restart = await measureRestart(deployment, load);
		const leavingStopsMsMax = await measureDraining(deployment);
		await load.stop();
		return {
			instances, publishInForceMsMax, leavingStopsMsMax, ...idle, restart,
		};
	} finally {
		await deployment.close();
	}
}

function writeMeasurements(options: FleetBenchOptions, measurements: unknown): void {
	process.stdout.write(`${JSON.stringify(measurements, undefined, options.json ? undefined : '\t')}\n`);
}
