/**
 * Maps priorities to the urgency levels 0 to 9 that engines accept: the customer's
 * priority decides first, or the route's if the customer has none, and the route's
 * between requests that are equal by that. The levels follow from the priorities that the configuration in force
 * holds, so all instances with the same configuration use the same ones. Requests
 * that will be late have levels of their own if there are enough.
 */
import type {RelayConfiguration, RelayCustomer, RelayRoute} from '#core';

/** Number of levels that engines accept. */
const levelCount = 10;

/** A customer's priority, or the route's if the customer has none, and the route's priority. */
type Rank = readonly [first: number, route: number];

/** The urgency levels of one configuration. */
export class UrgencyScale {
	/** Distinct ranks of requests, the most urgent first. */
	readonly #ranks: readonly Rank[];

	constructor(configuration: Pick<RelayConfiguration, 'customers' | 'routes'> | undefined) {
		const {customers, routes} = configuration ?? {routes: []};
		const priorities = new Set([...customers?.values() ?? []].map(({priority}) => priority));
		if (!customers || routes.some(({isPublic}) => isPublic)) {
			priorities.add(undefined);
		}

		const ranks = [...priorities].flatMap(priority => routes.map(route => [priority ?? route.priority, route.priority] as const)).toSorted(compareRanks);
		this.#ranks = ranks.filter((rank, index) => index === 0 || compareRanks(rank, ranks[index - 1]!) !== 0);
	}

	/** Returns the urgency of a request; 0 is the most urgent. If there are more ranks than levels, neighbouring ranks share a level. */
	get(customer: Pick<RelayCustomer, 'priority'> | undefined, route: Pick<RelayRoute, 'priority'>): number {
		const index = this.#findIndex([customer?.priority ?? route.priority, route.priority]);
		return this.#ranks.length > levelCount ? Math.floor(index * levelCount / this.#ranks.length) : index * this.#levelsPerRank;
	}

	/** Returns the urgency of a request that will be late: a level of its own behind requests that are as urgent and in time, if there are enough levels, but before less urgent ones. */
	getLate(customer: Pick<RelayCustomer, 'priority'> | undefined, route: Pick<RelayRoute, 'priority'>): number {
		return this.get(customer, route) + this.#levelsPerRank - 1;
	}

	/** Number of levels of each rank: a second one for late requests, if there are enough. */
	get #levelsPerRank(): number {
		return this.#ranks.length * 2 <= levelCount ? 2 : 1;
	}

	/** Finds the index of a rank. One that is not listed, as a request may have been accepted by another configuration, has that of the next less urgent one. */
	#findIndex([first, route]: Rank): number {
		const listedFirst = this.#ranks.find(rank => rank[0] >= first)?.[0] ?? this.#ranks.at(-1)?.[0];
		const index = this.#ranks.findIndex(rank => rank[0] === listedFirst && rank[1] >= route);
		return Math.max(0, index === -1 ? this.#ranks.findLastIndex(rank => rank[0] === listedFirst) : index);
	}
}

function compareRanks(a: Rank, b: Rank): number {
	return a[0] - b[0] || a[1] - b[1];
}
