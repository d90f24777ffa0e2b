/** `apricotdoor load`: sends a seeded workload to a running instance and reports. */
import {readFile} from 'node:fs/promises';
import * as z from 'zod';
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {explainFileError} from './_fragments.ts';
import type {CommandIo} from './io.ts';
import {createSystemClock} from '#clock';
import {explainIssues} from '#configuration';
import {
	fail, succeed, toMessage, type Result,
} from '#core';
import {
	createHttpSender, createWorkload, runLoad, type LoadCustomer, type LoadFigures, type LoadReport,
} from '#load';

/** Options of the verb. */
export type LoadCommandOptions = Readonly<{
	origin: string;
	route: string;
	rate: number;
	seconds: number;
	seed: number;
	customers: string;
	promisedMs: number;
	shiftSeconds: number;
	dossiers: number;
	json?: boolean;
}>;

const customersSchema = z.array(z.strictObject({name: z.string(), key: z.string(), share: z.number().positive()})).min(1);
const msPerSecond = 1000;

/** Runs the load; the exit code is 0 when at least one request was answered in full. */
export async function runLoadCommand(io: CommandIo, options: LoadCommandOptions): Promise<ExitCode> {
	const customers = await readCustomers(options.customers);
	if (!customers.ok) {
		io.warn(customers.error);
		return exitCodes.usage;
	}

	const clock = createSystemClock();
	const report = await runLoad({
		clock, durationMs: options.seconds * msPerSecond, promisedMs: options.promisedMs,
		workload: createWorkload({
			seed: options.seed, requestsPerSecond: options.rate, customers: customers.value,
			shiftEveryMs: options.shiftSeconds * msPerSecond, dossiers: options.dossiers,
		}),
		send: createHttpSender({origin: options.origin, route: options.route, clock}),
		showProgress(sent, answered, elapsedMs) {
			io.warn(`${Math.round(elapsedMs / msPerSecond)} s: ${sent} sent, ${answered} answered`);
		},
	});
	if (options.json) {
		io.write(JSON.stringify(report));
	} else {
		printReport(io, report);
	}

	const {answered, failures} = report.total;
	if (answered > 0) {
		return exitCodes.ok;
	}

	return failures.connection_failed === undefined ? exitCodes.failed : exitCodes.unreachable;
}

async function readCustomers(file: string): Promise<Result<readonly LoadCustomer[], string>> {
	try {
		const parsed = customersSchema.safeParse(JSON.parse(await readFile(file, 'utf8')));
		return parsed.success
			? succeed(parsed.data)
			: fail(explainIssues(customersSchema, parsed.error).map(({field, message}) => `${file}: ${field}: ${message}`).join('\n'));
	} catch (error) {
		return fail(error instanceof SyntaxError ? `${file}: is not JSON: ${toMessage(error)}` : explainFileError(error));
	}
}

const columns: ReadonlyArray<readonly [title: string, write: (figures: LoadFigures) => string]> = [
	['sent', figures => String(figures.sent)],
	['answered', figures => String(figures.answered)],
	['in time', figures => String(figures.inTime)],
	['hit rate', figures => figures.hitRate.toFixed(3)],
	['first p50', figures => figures.firstTokenMs.p50.toFixed(1)],
	['first p99', figures => figures.firstTokenMs.p99.toFixed(1)],
	['answer p50', figures => figures.answerMs.p50.toFixed(1)],
	['answer p99', figures => figures.answerMs.p99.toFixed(1)],
];
const nameWidth = 20;
const columnWidth = 11;

function printReport(io: CommandIo, report: LoadReport): void {
	io.write('customer'.padEnd(nameWidth) + columns.map(([title]) => title.padStart(columnWidth)).join(''));
	for (const [name, figures] of [...Object.entries(report.customers), ['total', report.total] as const]) {
		io.write(name.padEnd(nameWidth) + columns.map(([, write]) => write(figures).padStart(columnWidth)).join(''));
	}

	for (const [reason, count] of Object.entries(report.total.failures)) {
		io.write(`not answered: ${reason}: ${count}`);
	}

	io.write(`times in milliseconds; answers by target: ${Object.entries(report.targets).map(([name, count]) => `${name} ${count}`).join(', ')}`);
}
