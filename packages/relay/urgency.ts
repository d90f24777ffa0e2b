/**
 * Maps priorities to the urgency levels 0 to 9 that engines accept: the customer's
 * priority decides first, and the route's between requests of equal customer
 * priority. The levels follow from the priorities that the configuration in force
 * holds, so all instances with the same configuration use the same ones. Requests
 * that will be late have levels of their own if there are enough.
 */
import type {RelayConfiguration, RelayCustomer, RelayRoute} from '#core';

/** Number of levels that engines accept. */
const levelCount = 10;

/** Priority of a customer that has none, and of requests without a customer; routes without one have the same. */
const defaultPriority = 0;

/** The urgency levels of one configuration. */
export class UrgencyScale {
	/** Distinct priorities, the most urgent first. */
	readonly #customers: readonly number[];
	readonly #routes: readonly number[];

	constructor(configuration: Pick<RelayConfiguration, 'customers' | 'routes'> | undefined) {
		const {customers, routes} = configuration ?? {routes: []};
		const stated = [...customers?.values() ?? []].map(({priority = defaultPriority}) => priority);
		const hasAnonymous = !customers || routes.some(({isPublic}) => isPublic);
		this.#customers = listDistinct(hasAnonymous ? [...stated, defaultPriority] : stated);
		this.#routes = listDistinct(routes.map(({priority}) => priority));
	}

	/**
	 * Returns the urgency of a request; 0 is the most urgent. Each customer priority
	 * has an equal number of levels, and routes share levels if there are too few.
	 */
	get(customer: Pick<RelayCustomer, 'priority'> | undefined, route: Pick<RelayRoute, 'priority'>): number {
		const groupCount = Math.max(1, this.#customers.length);
		const routeCount = Math.max(1, this.#routes.length);
		const group = findRank(this.#customers, customer?.priority ?? defaultPriority);
		if (groupCount > levelCount) {
			return Math.floor(group * levelCount / groupCount);
		}

		const groupLevels = Math.min(Math.floor(levelCount / groupCount), routeCount * this.#levelsPerRank);
		const routeRank = findRank(this.#routes, route.priority);
		return (group * groupLevels) + Math.floor(routeRank * groupLevels / routeCount);
	}

	/** Returns the urgency of a request that will be late: a level of its own behind requests that are as urgent and in time, if there are enough levels, but before less urgent ones. */
	getLate(customer: Pick<RelayCustomer, 'priority'> | undefined, route: Pick<RelayRoute, 'priority'>): number {
		return this.get(customer, route) + this.#levelsPerRank - 1;
	}

	/** Number of levels of each pair of priorities: a second one for late requests, if there are enough. */
	get #levelsPerRank(): number {
		return Math.max(1, this.#customers.length) * Math.max(1, this.#routes.length) * 2 <= levelCount ? 2 : 1;
	}
}

function listDistinct(priorities: readonly number[]): readonly number[] {
	return [...new Set(priorities)].toSorted((a, b) => a - b);
}

/** Finds the rank of a priority. One that is not listed, as a request may have been accepted by another configuration, has the rank of the next less urgent one. */
function findRank(priorities: readonly number[], priority: number): number {
	const rank = priorities.findIndex(listed => listed >= priority);
	return rank === -1 ? Math.max(0, priorities.length - 1) : rank;
}
