/** References between routes, pools and customers, also across files. */
import {writeSuggestion} from './explain-issues.ts';
import type {ConfigurationFault, ParsedFragment} from './fragment.ts';

/** Finds names that lead nowhere. */
export function checkReferences(files: readonly ParsedFragment[]): readonly ConfigurationFault[] {
	const pools = new Set(files.flatMap(({service}) => service.pools.map(({name}) => name)));
	const routes = new Set(files.flatMap(({service}) => service.routes.map(({name}) => name)));
	const faults: ConfigurationFault[] = [];
	for (const {file, service} of files) {
		for (const [index, {pool}] of service.routes.entries()) {
			if (!pools.has(pool)) {
				faults.push({file, field: `routes.${index}.pool`, message: `no pool is named "${pool}"; ${writeSuggestion(pool, pools)}`});
			}
		}

		for (const [index, customer] of service.customers.entries()) {
			for (const [place, name] of customer.routes.entries()) {
				if (!routes.has(name)) {
					faults.push({file, field: `customers.${index}.routes.${place}`, message: `no route is named "${name}"; ${writeSuggestion(name, routes)}`});
				}
			}
		}
	}

	return faults;
}
