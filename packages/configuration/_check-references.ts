/** Checks references between routes, pools and customers, also across service files. */
import {formatSuggestion} from './explain-issues.ts';
import type {ConfigurationFault, ParsedFragment} from './fragment.ts';

/** Finds references to pools and routes that do not exist. */
export function checkReferences(files: readonly ParsedFragment[]): readonly ConfigurationFault[] {
	const pools = new Set(files.flatMap(({service}) => service.pools.map(({name}) => name)));
	const routes = new Set(files.flatMap(({service}) => service.routes.map(({name}) => name)));
	const faults: ConfigurationFault[] = [];
	for (const {file, service} of files) {
		for (const [index, {pool}] of service.routes.entries()) {
			if (!pools.has(pool)) {
				faults.push({file, field: `routes.${index}.pool`, message: `no pool is named "${pool}"; ${formatSuggestion(pool, pools)}`});
			}
		}

		for (const [index, customer] of service.customers.entries()) {
			for (const [position, name] of customer.routes.entries()) {
				if (!routes.has(name)) {
					faults.push({file, field: `customers.${index}.routes.${position}`, message: `no route is named "${name}"; ${formatSuggestion(name, routes)}`});
				}
			}
		}
	}

	return faults;
}
