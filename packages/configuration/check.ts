/** Checks service files one by one and together, and merges them into a configuration. */
import {
	parseFragment, type ConfigurationFault, type Fragment, type ParsedFragment,
} from './fragment.ts';
import {checkReferences} from './_check-references.ts';
import {checkRules} from './_check-rules.ts';
import {checkUnique} from './_check-unique.ts';
import type {ServiceFile} from './service-file.ts';
import {
	fail, succeed, type Configuration, type Result,
} from '#core';

/** Checked service files by service, and the configuration into which they were merged. */
export type CheckedFragments = Readonly<{
	files: ReadonlyMap<string, ServiceFile>;
	configuration: Configuration;
	/** Entries that are allowed but have no effect, such as a pool that no route uses. */
	warnings: readonly ConfigurationFault[];
}>;

/** Checks that apply to all files together. */
const checks = [checkUnique, checkReferences, checkRules];

/**
 * Checks every fragment, and all fragments together.
 *
 * @param fragments the files of all services
 * @param generation generation number of the merged configuration
 * @returns the merged configuration, or every fault found
 */
export function checkFragments(fragments: readonly Fragment[], generation: number): Result<CheckedFragments, readonly ConfigurationFault[]> {
	const faults: ConfigurationFault[] = [];
	const files: ParsedFragment[] = [];
	for (const fragment of fragments) {
		const parsed = parseFragment(fragment);
		if (parsed.ok) {
			files.push(parsed.value);
		} else {
			faults.push(...parsed.error);
		}
	}

	// References are not checked: each reference into a file that cannot be parsed would be reported as a further fault.
	if (faults.length > 0) {
		return fail([...faults, ...checkUnique(files)]);
	}

	return checkParsedFragments(files, generation);
}

/** Checks parsed files together, and merges them. */
export function checkParsedFragments(files: readonly ParsedFragment[], generation: number): Result<CheckedFragments, readonly ConfigurationFault[]> {
	const faults = checks.flatMap(check => check(files));
	if (faults.length > 0) {
		return fail(faults);
	}

	const configuration = mergeFiles(files, generation);
	return succeed({
		files: new Map(files.map(({service}) => [service.service, service])),
		configuration,
		warnings: findUnused(files, configuration),
	});
}

function mergeFiles(files: readonly ParsedFragment[], generation: number): Configuration {
	const indexByName = <Item extends Readonly<{name: string}>>(items: readonly Item[]): ReadonlyMap<string, Item> =>
		new Map(items.map(item => [item.name, item]));
	return {
		generation,
		routes: indexByName(files.flatMap(({service}) => service.routes)),
		pools: indexByName(files.flatMap(({service}) => service.pools)),
		customers: indexByName(files.flatMap(({service}) => service.customers)),
	};
}

function findUnused(files: readonly ParsedFragment[], configuration: Configuration): readonly ConfigurationFault[] {
	const usedPools = new Set([...configuration.routes.values()].map(route => route.pool));
	const usedRoutes = new Set([...configuration.customers.values()].flatMap(customer => customer.routes));
	const warnings: ConfigurationFault[] = [];
	for (const {file, service} of files) {
		for (const [index, {name}] of service.pools.entries()) {
			if (!usedPools.has(name)) {
				warnings.push({file, field: `pools.${index}`, message: `no route leads to pool "${name}"; add one or remove the pool`});
			}
		}

		for (const [index, {name}] of service.routes.entries()) {
			if (!usedRoutes.has(name)) {
				warnings.push({file, field: `routes.${index}`, message: `no customer may call route "${name}"; add it to a customer's routes`});
			}
		}
	}

	return warnings;
}
