/** `apricotdoor check`: reports every fault of the configuration with its file, field and remedy. */
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {readFragments} from './_fragments.ts';
import type {CommandIo} from './io.ts';
import {checkFragments, type ConfigurationFault} from '#configuration';

/** Options of `apricotdoor check`. */
export type CheckOptions = Readonly<{json?: boolean}>;

/** Checks the service files at the given paths. */
export async function runCheck(io: CommandIo, paths: readonly string[], options: CheckOptions): Promise<ExitCode> {
	const fragments = await readFragments(paths);
	if (!fragments.ok) {
		io.warn(fragments.error);
		return exitCodes.usage;
	}

	// The number of the generation is a placeholder, because nothing is published.
	const checked = checkFragments(fragments.value, 1);
	if (options.json) {
		const warnings = checked.ok ? checked.value.warnings : [];
		io.write(JSON.stringify({ok: checked.ok, faults: checked.ok ? [] : checked.error, warnings}));
	}

	if (!checked.ok) {
		printFaults(io, checked.error);
		return exitCodes.failed;
	}

	const {configuration, files, warnings} = checked.value;
	printFaults(io, warnings, 'warning: ');
	if (!options.json) {
		io.write(`ok: ${files.size} services, ${configuration.routes.size} routes, ${configuration.pools.size} pools, ${configuration.customers.size} customers`);
	}

	return exitCodes.ok;
}

/** Prints one line for each fault. */
export function printFaults(io: CommandIo, faults: readonly ConfigurationFault[], prefix = ''): void {
	for (const {file, field, message} of faults) {
		io.warn(field === '' ? `${prefix}${file}: ${message}` : `${prefix}${file}: ${field}: ${message}`);
	}
}
