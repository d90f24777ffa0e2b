/** Checks service files one by one and as a whole, and merges them into a configuration. */
import {serviceFileSchema, type ServiceFile} from './service-file.ts';
import {
	fail, succeed, toMessage, type Configuration, type Customer, type Result, type Route, type TargetPool,
} from '#core';

/** One service file, not yet checked. */
export type Fragment = Readonly<{
	/** File name, for messages. */
	file: string;
	/** JSON text. */
	text: string;
}>;

/** A fault, where it stands and how to mend it. */
export type ConfigurationFault = Readonly<{
	file: string;
	/** Path of the field, such as `routes.0.pool`; empty for the whole file. */
	field: string;
	message: string;
}>;

/** Checked service files by service, and the configuration that they make. */
export type CheckedFragments = Readonly<{
	files: ReadonlyMap<string, ServiceFile>;
	configuration: Configuration;
}>;

/**
 * Checks every fragment and all references between them.
 *
 * @param fragments the files of all services
 * @param generation number that the merged configuration gets
 * @returns the merged configuration, or every fault found
 */
export function checkFragments(fragments: readonly Fragment[], generation: number): Result<CheckedFragments, readonly ConfigurationFault[]> {
	const faults: ConfigurationFault[] = [];
	const files = new Map<string, ServiceFile>();
	const routes = new Map<string, Route>();
	const pools = new Map<string, TargetPool>();
	const customers = new Map<string, Customer>();

	for (const fragment of fragments) {
		const parsed = parseFragment(fragment);
		if (!parsed.ok) {
			faults.push(...parsed.error);
			continue;
		}

		const file = parsed.value;
		if (files.has(file.service)) {
			faults.push({file: fragment.file, field: 'service', message: `service "${file.service}" stands in another file too; merge the two files or rename one`});
			continue;
		}

		files.set(file.service, file);
		faults.push(
			...addAll(routes, file.routes, fragment.file, 'routes'),
			...addAll(pools, file.pools, fragment.file, 'pools'),
			...addAll(customers, file.customers, fragment.file, 'customers'),
		);
	}

	for (const fragment of fragments) {
		const file = [...files.values()].find(file => parsesAs(fragment, file.service));
		if (file) {
			faults.push(...checkReferences(fragment.file, file, routes, pools));
		}
	}

	return faults.length > 0
		? fail(faults)
		: succeed({
			files, configuration: {
				generation, routes, pools, customers,
			},
		});
}

function parseFragment(fragment: Fragment): Result<ServiceFile, readonly ConfigurationFault[]> {
	let json: unknown;
	try {
		json = JSON.parse(fragment.text);
	} catch (error) {
		return fail([{file: fragment.file, field: '', message: `is not JSON: ${toMessage(error)}`}]);
	}

	const parsed = serviceFileSchema.safeParse(json);
	if (parsed.success) {
		return succeed(parsed.data);
	}

	return fail(parsed.error.issues.map(issue => ({file: fragment.file, field: issue.path.join('.'), message: issue.message})));
}

function parsesAs(fragment: Fragment, service: string): boolean {
	const parsed = parseFragment(fragment);
	return parsed.ok && parsed.value.service === service;
}

function addAll<Item extends Readonly<{name: string}>>(into: Map<string, Item>, items: readonly Item[], file: string, field: string): ConfigurationFault[] {
	const faults: ConfigurationFault[] = [];
	for (const [index, item] of items.entries()) {
		if (into.has(item.name)) {
			faults.push({file, field: `${field}.${index}.name`, message: `"${item.name}" is already defined; choose another name`});
			continue;
		}

		into.set(item.name, item);
	}

	return faults;
}

function checkReferences(file: string, service: ServiceFile, routes: ReadonlyMap<string, Route>, pools: ReadonlyMap<string, TargetPool>): ConfigurationFault[] {
	const faults: ConfigurationFault[] = [];
	for (const [index, route] of service.routes.entries()) {
		if (!pools.has(route.pool)) {
			faults.push({file, field: `routes.${index}.pool`, message: `no pool is named "${route.pool}"; define it or name one of: ${[...pools.keys()].join(', ')}`});
		}
	}

	for (const [index, customer] of service.customers.entries()) {
		for (const [place, name] of customer.routes.entries()) {
			if (!routes.has(name)) {
				faults.push({file, field: `customers.${index}.routes.${place}`, message: `no route is named "${name}"; define it or name one of: ${[...routes.keys()].join(', ')}`});
			}
		}
	}

	return faults;
}
