/**
 * Divides limits that hold over all instances. All instances have equal base
 * shares, and an instance lends the unused part of its share to instances that
 * need more. A loan expires at the borrower before it expires at the lender, so
 * the shares never add up to more than the limit, whichever messages or
 * instances are lost.
 * docs/design/admission.md gives the reasons.
 */
import {InstanceNames} from './_instance-names.ts';
import {Loans, type LimitAmount} from './_loans.ts';
import type {Cancel, Clock} from '#clock';
import type {PeerBus, PeerMessageOf} from '#peer-protocol';

/** A limit over all instances, or a part of one. */
export type {LimitAmount} from './_loans.ts';

/** Dependencies of {@link Shares}. */
export type SharesDependencies = Readonly<{
	clock: Clock;
	bus: PeerBus;
	/** Name of this instance, as its peers know it. */
	name: string;
	/** Identifies the process of this instance, as its peers know it. */
	incarnation: string;
	/** Finds the limit of a key over all instances. {@link Admission} uses the keys `customer/NAME` and `pool/NAME`. */
	findLimit: (key: string) => LimitAmount | undefined;
}>;

/** Options of {@link Shares}. */
export type SharesOptions = Readonly<{
	/** Number of instances assumed to share the limits until the platform's list is known. Default: 1. */
	expectedInstances?: number;
}>;

/** This instance's demand for one limit: arrivals since the last exchange, smoothed rate per second, recent peak of concurrent requests. */
type Demand = {arrivals: number; rate: number; concurrent: number; lastUsedMs: number};

/** Interval at which instances exchange demands and loans, in milliseconds. */
const exchangeIntervalMs = 500;

/** Time after which an unused limit is no longer tracked, in milliseconds. */
const maxIdleMs = 30_000;

/** Weight of the newest rate in the moving average; also the factor by which the peak of concurrent requests decays at each exchange. */
const demandSmoothing = 0.5;

/** Factor by which the rate that an instance keeps or requests exceeds its measured rate. */
const rateHeadroomFactor = 1.25;

/** Part of the base rate that an instance never lends. */
const reservedRatio = 0.1;

/** Maximum number of limits in one demand message. */
const maxDemandedLimits = 64;

/** The shares that one instance has of all limits. */
export class Shares {
	readonly #dependencies: SharesDependencies;
	readonly #instances: InstanceNames;
	readonly #loans: Loans;
	readonly #demands = new Map<string, Demand>();
	readonly #peerDemands = new Map<string, Map<string, LimitAmount & Readonly<{sentMs: number}>>>();
	readonly #cancels: readonly Cancel[];

	constructor(dependencies: SharesDependencies, options: SharesOptions = {}) {
		const {clock, bus} = dependencies;
		this.#dependencies = dependencies;
		this.#instances = new InstanceNames(clock, dependencies.name, options.expectedInstances ?? 1);
		this.#loans = new Loans(clock);
		this.#cancels = [
			bus.subscribe('demand', (message, from) => {
				this.#handleDemand(message, from.incarnation);
			}),
			bus.subscribe('lend', (message, from) => {
				this.#handleLend(message, from.incarnation);
			}),
			clock.subscribe(exchangeIntervalMs, () => {
				this.#exchange();
			}),
		];
	}

	/** Number of limits whose demand is tracked. */
	get size(): number {
		return this.#demands.size;
	}

	/** Updates the instances among which limits are divided, from the names on the platform's list. */
	updateInstances(names: readonly string[]): void {
		this.#instances.recordList(names);
	}

	/** Computes the part of a limit that this instance may use now. */
	computeShare(key: string, limit: LimitAmount): LimitAmount {
		const base = this.#computeBaseShare(key, limit);
		const lent = this.#loans.sumLent(key);
		const borrowed = this.#loans.sumBorrowed(key);
		return {
			requestsPerSecond: Math.max(0, base.requestsPerSecond - lent.requestsPerSecond) + borrowed.requestsPerSecond,
			concurrent: Math.max(0, base.concurrent - lent.concurrent) + borrowed.concurrent,
		};
	}

	/**
	 * Records the arrival of a request.
	 *
	 * @param concurrent number of requests of the key that run or wait, including this one
	 */
	recordArrival(key: string, concurrent: number): void {
		const demand = this.#demands.get(key) ?? {
			arrivals: 0, rate: 0, concurrent: 0, lastUsedMs: 0,
		};
		demand.arrivals++;
		demand.concurrent = Math.max(demand.concurrent, concurrent);
		demand.lastUsedMs = this.#dependencies.clock.now();
		this.#demands.set(key, demand);
	}

	close(): void {
		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	#computeBaseShare(key: string, limit: LimitAmount): LimitAmount {
		const {count, rank} = this.#instances.computeRank(key);
		return {
			requestsPerSecond: limit.requestsPerSecond / count,
			concurrent: Math.floor(limit.concurrent / count) + (rank < limit.concurrent % count ? 1 : 0),
		};
	}

	/**
	 * Sends demands and grants to a bounded sample of the peers. A grant that does
	 * not reach its borrower leaves the lent part unused until the loan expires.
	 */
	#exchange(): void {
		const {bus} = this.#dependencies;
		this.#instances.recordLive(bus.listPeers().map(peer => peer.name));
		this.#loans.removeExpired();
		this.#updateDemands();
		const limits = this.#listShortfalls();
		if (limits.length > 0) {
			bus.sendToSample({kind: 'demand', sentMs: this.#dependencies.clock.now(), limits});
		}

		const grants = this.#lendSpare();
		if (grants.length > 0) {
			bus.sendToSample({kind: 'lend', grants});
		}

		for (const demand of this.#demands.values()) {
			demand.concurrent = Math.floor(demand.concurrent * demandSmoothing);
		}
	}

	#updateDemands(): void {
		const now = this.#dependencies.clock.now();
		for (const [key, demand] of this.#demands) {
			demand.rate += ((demand.arrivals * 1000 / exchangeIntervalMs) - demand.rate) * demandSmoothing;
			demand.arrivals = 0;
			if (now - demand.lastUsedMs > maxIdleMs) {
				this.#demands.delete(key);
			}
		}
	}

	/** Lists the demands beyond the base share, the largest rate first. Adds one concurrent request to each demand as headroom. */
	#listShortfalls(): PeerMessageOf<'demand'>['limits'] {
		const shortfalls: PeerMessageOf<'demand'>['limits'] = [];
		for (const [key, demand] of this.#demands) {
			const limit = this.#dependencies.findLimit(key);
			if (!limit) {
				continue;
			}

			const base = this.#computeBaseShare(key, limit);
			const requestsPerSecond = Math.max(0, (demand.rate * rateHeadroomFactor) - base.requestsPerSecond);
			const concurrent = Math.max(0, demand.concurrent + 1 - base.concurrent);
			if (requestsPerSecond > 0 || concurrent > 0) {
				shortfalls.push({key, requestsPerSecond, concurrent});
			}
		}

		return shortfalls.toSorted((a, b) => b.requestsPerSecond - a.requestsPerSecond).slice(0, maxDemandedLimits);
	}

	#handleDemand({sentMs, limits}: PeerMessageOf<'demand'>, from: string): void {
		for (const {key, requestsPerSecond, concurrent} of limits) {
			const borrowers = this.#peerDemands.get(key) ?? new Map<string, LimitAmount & Readonly<{sentMs: number}>>();
			borrowers.set(from, {sentMs, requestsPerSecond, concurrent});
			this.#peerDemands.set(key, borrowers);
		}
	}

	#lendSpare(): PeerMessageOf<'lend'>['grants'] {
		const grants: PeerMessageOf<'lend'>['grants'] = [];
		for (const [key, borrowers] of this.#peerDemands) {
			const spare = this.#computeSpare(key);
			for (const [to, demand] of borrowers) {
				const desired = {
					requestsPerSecond: Math.min(demand.requestsPerSecond, spare.requestsPerSecond / borrowers.size),
					concurrent: Math.min(demand.concurrent, Math.ceil(spare.concurrent / borrowers.size)),
				};
				const granted = this.#loans.lend(key, to, {desired, spare});
				if (granted.requestsPerSecond > 0 || granted.concurrent > 0) {
					grants.push({
						key, to, askedMs: demand.sentMs, ...granted,
					});
				}
			}
		}

		this.#peerDemands.clear();
		return grants;
	}

	#computeSpare(key: string): LimitAmount {
		const limit = this.#dependencies.findLimit(key);
		if (!limit) {
			return {requestsPerSecond: 0, concurrent: 0};
		}

		const base = this.#computeBaseShare(key, limit);
		const demand = this.#demands.get(key);
		return {
			requestsPerSecond: Math.max(0, (base.requestsPerSecond * (1 - reservedRatio)) - ((demand?.rate ?? 0) * rateHeadroomFactor)),
			concurrent: Math.max(0, base.concurrent - (demand ? demand.concurrent + 1 : 0)),
		};
	}

	#handleLend({grants}: PeerMessageOf<'lend'>, from: string): void {
		for (const grant of grants) {
			if (grant.to === this.#dependencies.incarnation) {
				this.#loans.borrow(grant.key, from, grant);
			}
		}
	}
}
