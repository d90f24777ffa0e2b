/** Customers of a configuration that limits their work, as decisions on scarce capacity ask. */
import type {RelayCustomer} from '#core';

export const limitedCustomers: ReadonlyMap<string, RelayCustomer> = new Map([['key', {
	name: 'c', isIsolated: false, limit: {
		unit: 'tokens', perSecond: 1e9, burst: 1e9, plainTokens: 0,
	},
}]]);
