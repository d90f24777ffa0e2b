/** `apricotdoor check`: says every fault of the configuration by file, field and mend. */
import process from 'node:process';
import {readFragments} from './_fragments.ts';
import {checkFragments, type ConfigurationFault} from '#configuration';

/** Checks folders of service files. */
export async function runCheck(folders: readonly string[]): Promise<void> {
	const checked = checkFragments(await readFragments(folders), 1);
	if (!checked.ok) {
		printFaults(checked.error);
		process.exitCode = 1;
		return;
	}

	const {configuration, files} = checked.value;
	console.log(`ok: ${files.size} services, ${configuration.routes.size} routes, ${configuration.pools.size} pools, ${configuration.customers.size} customers`);
}

/** Prints faults, one a line. */
export function printFaults(faults: readonly ConfigurationFault[]): void {
	for (const {file, field, message} of faults) {
		console.error(field === '' ? `${file}: ${message}` : `${file}: ${field}: ${message}`);
	}
}
