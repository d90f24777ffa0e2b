/** Prepares the configuration in force for operators, without the digests of customers' keys. */
import type {Configuration} from '#core';

/** Returns the configuration as a JSON value in which the number of a customer's keys replaces their digests. */
export function redactConfiguration(configuration: Configuration): unknown {
	return {
		generation: configuration.generation,
		routes: [...configuration.routes.values()],
		pools: [...configuration.pools.values()],
		customers: [...configuration.customers.values()].map(({keyDigests, ...customer}) => ({...customer, keys: keyDigests.length})),
	};
}
