/**
 * Measures admission: eight instances in front of one pool on a manual clock,
 * so times are virtual and every run gives the same results.
 */
import process from 'node:process';
import type {Command} from 'commander';
import {measureOverload, type OverloadMeasurements} from './_admission-run.ts';

const factors = [1, 2, 3, 4, 5];
const greedyFactor = 10;

type AdmissionBenchOptions = Readonly<{json?: boolean; seed: string}>;

export function registerAdmissionBench(program: Command): void {
	program.command('admission')
		.description('Answers in time under overload, with admission and without.')
		.option('--json', 'write one JSON object')
		.option('--seed <number>', 'seed of arrivals', '1')
		.action(runAdmissionBench);
}

async function runAdmissionBench(options: AdmissionBenchOptions): Promise<void> {
	const seed = Number(options.seed);
	const rows: OverloadMeasurements[] = [];
	for (const isAdmitting of [false, true]) {
		for (const factor of factors) {
			rows.push(await measureOverload({
				seed, factor, greedyFactor: 1, isAdmitting,
			}));
		}

		rows.push(await measureOverload({
			seed, factor: 0.5, greedyFactor, isAdmitting,
		}));
	}

	process.stdout.write(options.json ? `${JSON.stringify(rows)}\n` : rows.map(row => renderRow(row)).join(''));
}

function renderRow(row: OverloadMeasurements): string {
	const mode = row.isAdmitting ? 'admission' : 'none     ';
	const greedy = row.greedyFactor > 1 ? ` one at ${row.greedyFactor}x its share` : '';
	return `${mode} ${row.factor}x${greedy}: goodput ${row.goodputPerSecond.toFixed(1)}/s, others in time ${(row.othersInTime * 100).toFixed(1)}%, `
		+ `refused ${row.refused}, late ${row.late}, slowest refusal after ${row.slowestRefusalMs} ms\n`;
}
