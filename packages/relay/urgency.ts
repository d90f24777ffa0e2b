/**
 * Maps priorities to the urgency levels 0 to 9 that engines accept: the customer's
 * priority decides first, and the route's between requests of equal customer
 * priority. The levels follow from the priorities that the configuration in force
 * holds, so all instances with the same configuration use the same ones.
 */
import type {RelayConfiguration, RelayCustomer, RelayRoute} from '#core';

/** The least urgent level that engines accept. */
export const lowestUrgency = 9;

const levelCount = lowestUrgency + 1;

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
	 * Returns the urgency of a request; 0 is the most urgent. If all customers have
	 * the same priority, it is that of the route. Else each customer priority has an
	 * equal number of levels, and routes share levels if there are too few.
	 */
	get(customer: Pick<RelayCustomer, 'priority'> | undefined, route: Pick<RelayRoute, 'priority'>): number {
		const groupCount = this.#customers.length;
		if (groupCount <= 1) {
			return Math.min(lowestUrgency, Math.max(0, Math.floor(route.priority)));
		}

		const group = findRank(this.#customers, customer?.priority ?? defaultPriority);
		if (groupCount > levelCount) {
			return Math.floor(group * levelCount / groupCount);
		}

		const groupLevels = Math.floor(levelCount / groupCount);
		const routeCount = Math.max(1, this.#routes.length);
		const routeRank = findRank(this.#routes, route.priority);
		return (group * groupLevels) + Math.floor(routeRank * Math.min(groupLevels, routeCount) / routeCount);
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
