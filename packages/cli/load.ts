/** `apricotdoor load`: sends a seeded workload to a running instance and prints a report. */
import {readFile} from 'node:fs/promises';
import * as z from 'zod';
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {formatFileError} from './_fragments.ts';
import type {CommandIo} from './io.ts';
import {createSystemClock} from '#clock';
import {explainIssues} from '#configuration';
import {
	fail, succeed, getErrorMessage, type Result,
} from '#core';
import {
	createHttpSender, createWorkload, runLoad, type LoadCustomer, type LoadReport, type LoadStatistics,
} from '#load';

/** Options of `apricotdoor load`. */
export type LoadCommandOptions = Readonly<{
	origin: string;
	route: string;
	/** Requests per second. */
	rate: number;
	seconds: number;
	seed: number;
	/** Path of the JSON file that lists the customers. */
	customers: string;
	/** Promised time to the first token, in milliseconds. */
	promisedMs: number;
	shiftSeconds: number;
	/** Number of dossiers of each customer. */
	dossiers: number;
	json?: boolean;
}>;

const customersSchema = z.array(z.strictObject({name: z.string(), key: z.string(), share: z.number().positive()})).min(1);
const msPerSecond = 1000;

/** Runs the load. The exit code is 0 if at least one request was answered completely. */
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
			shiftIntervalMs: options.shiftSeconds * msPerSecond, dossiersPerCustomer: options.dossiers,
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
		return fail(error instanceof SyntaxError ? `${file}: is not JSON: ${getErrorMessage(error)}` : formatFileError(error));
	}
}

const columns: ReadonlyArray<readonly [title: string, format: (statistics: LoadStatistics) => string]> = [
	['sent', statistics => String(statistics.sent)],
	['answered', statistics => String(statistics.answered)],
	['in time', statistics => String(statistics.inTime)],
	['hit rate', statistics => statistics.hitRate.toFixed(3)],
	['first p50', statistics => statistics.firstTokenMs.p50.toFixed(1)],
	['first p99', statistics => statistics.firstTokenMs.p99.toFixed(1)],
	['answer p50', statistics => statistics.answerMs.p50.toFixed(1)],
	['answer p99', statistics => statistics.answerMs.p99.toFixed(1)],
];
const nameWidth = 20;
const columnWidth = 11;

function printReport(io: CommandIo, report: LoadReport): void {
	io.write('customer'.padEnd(nameWidth) + columns.map(([title]) => title.padStart(columnWidth)).join(''));
	for (const [name, statistics] of [...Object.entries(report.customers), ['total', report.total] as const]) {
		io.write(name.padEnd(nameWidth) + columns.map(([, format]) => format(statistics).padStart(columnWidth)).join(''));
	}

	for (const [reason, count] of Object.entries(report.total.failures)) {
		io.write(`not answered: ${reason}: ${count}`);
	}

	io.write(`times in milliseconds; answers by target: ${Object.entries(report.targets).map(([name, count]) => `${name} ${count}`).join(', ')}`);
}
