/** The configuration in force as operators see it: without digests of keys. */
import type {Configuration} from '#core';

/** Writes the configuration as JSON, with the number of each customer's keys in place of their digests. */
export function showConfiguration(configuration: Configuration): unknown {
	return {
		generation: configuration.generation,
		routes: [...configuration.routes.values()],
		pools: [...configuration.pools.values()],
		customers: [...configuration.customers.values()].map(({keyDigests, ...customer}) => ({...customer, keys: keyDigests.length})),
	};
}
