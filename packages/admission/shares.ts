/**
 * Shares of limits that hold over all instances. Each instance owns an even
 * part and lends what it does not need to those that ask, for a time that ends
 * at the borrower before it ends at the lender. Shares therefore never add up
 * to more than the limit, whichever messages or instances are lost.
 * docs/design/admission.md gives the reasons.
 */
import {InstanceNames} from './_instance-names.ts';
import {Loans, type Amount} from './_loans.ts';
import type {Cancel, Clock} from '#clock';
import type {PeerBus, PeerMessageOf} from '#peer-protocol';

/** A limit over all instances, or a part of one. */
export type {Amount} from './_loans.ts';

/** What shares work with. */
export type SharesDeps = Readonly<{
	clock: Clock;
	bus: PeerBus;
	name: string;
	incarnation: string;
	/** The whole limit of a key, if there is one. */
	getLimit: (key: string) => Amount | undefined;
}>;

/** Options of {@link Shares}. */
export type SharesOptions = Readonly<{
	/** Instances that share until the platform's list is known. Default: 1. */
	expectedInstances?: number;
}>;

type Need = {arrivals: number; rate: number; concurrent: number; usedMs: number};

const exchangeMs = 500;
const idleMs = 30_000;
const rateSmoothing = 0.5;
const rateHeadroom = 1.25;
const keptPart = 0.1;
const maxAsked = 64;

/** Shares of one instance. */
export class Shares {
	readonly #deps: SharesDeps;
	readonly #names: InstanceNames;
	readonly #loans: Loans;
	readonly #needs = new Map<string, Need>();
	readonly #asked = new Map<string, Map<string, Amount & Readonly<{sentMs: number}>>>();
	readonly #cancels: readonly Cancel[];

	constructor(deps: SharesDeps, options: SharesOptions = {}) {
		const {clock, bus} = deps;
		this.#deps = deps;
		this.#names = new InstanceNames(clock, deps.name, options.expectedInstances ?? 1);
		this.#loans = new Loans(clock);
		this.#cancels = [
			bus.subscribe('demand', (message, from) => {
				this.#hear(message, from.incarnation);
			}),
			bus.subscribe('lend', (message, from) => {
				this.#borrow(message, from.incarnation);
			}),
			clock.subscribe(exchangeMs, () => {
				this.#exchange();
			}),
		];
	}

	/** Keys whose need is tracked. */
	get size(): number {
		return this.#needs.size;
	}

	/** Names of the live instances, from the platform's list. */
	readList(names: readonly string[]): void {
		this.#names.readList(names);
	}

	/** What this instance may use of a limit now. */
	read(key: string, limit: Amount): Amount {
		const base = this.#readBase(key, limit);
		const lent = this.#loans.sumLent(key);
		const borrowed = this.#loans.sumBorrowed(key);
		return {
			requestsPerSecond: Math.max(0, base.requestsPerSecond - lent.requestsPerSecond) + borrowed.requestsPerSecond,
			concurrent: Math.max(0, base.concurrent - lent.concurrent) + borrowed.concurrent,
		};
	}

	/** Records an arrival, and how many requests of the key run or wait with it. */
	record(key: string, concurrent: number): void {
		const need = this.#needs.get(key) ?? {
			arrivals: 0, rate: 0, concurrent: 0, usedMs: 0,
		};
		need.arrivals++;
		need.concurrent = Math.max(need.concurrent, concurrent);
		need.usedMs = this.#deps.clock.now();
		this.#needs.set(key, need);
	}

	close(): void {
		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	#readBase(key: string, limit: Amount): Amount {
		const {count, rank} = this.#names.place(key);
		return {
			requestsPerSecond: limit.requestsPerSecond / count,
			concurrent: Math.floor(limit.concurrent / count) + (rank < limit.concurrent % count ? 1 : 0),
		};
	}

	#exchange(): void {
		const {bus} = this.#deps;
		this.#names.see(bus.listPeers().map(peer => peer.name));
		this.#loans.forget();
		this.#updateNeeds();
		const limits = this.#listWants();
		if (limits.length > 0) {
			bus.sample({kind: 'demand', sentMs: this.#deps.clock.now(), limits});
		}

		const grants = this.#lend();
		if (grants.length > 0) {
			bus.sample({kind: 'lend', grants});
		}

		for (const need of this.#needs.values()) {
			need.concurrent = Math.floor(need.concurrent * rateSmoothing);
		}
	}

	#updateNeeds(): void {
		const now = this.#deps.clock.now();
		for (const [key, need] of this.#needs) {
			need.rate += ((need.arrivals * 1000 / exchangeMs) - need.rate) * rateSmoothing;
			need.arrivals = 0;
			if (now - need.usedMs > idleMs) {
				this.#needs.delete(key);
			}
		}
	}

	/** Needs beyond the own part, the largest first. */
	#listWants(): PeerMessageOf<'demand'>['limits'] {
		const wants: PeerMessageOf<'demand'>['limits'] = [];
		for (const [key, need] of this.#needs) {
			const limit = this.#deps.getLimit(key);
			if (!limit) {
				continue;
			}

			const base = this.#readBase(key, limit);
			const requestsPerSecond = Math.max(0, (need.rate * rateHeadroom) - base.requestsPerSecond);
			const concurrent = Math.max(0, need.concurrent + 1 - base.concurrent);
			if (requestsPerSecond > 0 || concurrent > 0) {
				wants.push({key, requestsPerSecond, concurrent});
			}
		}

		return wants.toSorted((a, b) => b.requestsPerSecond - a.requestsPerSecond).slice(0, maxAsked);
	}

	#hear({sentMs, limits}: PeerMessageOf<'demand'>, from: string): void {
		for (const {key, requestsPerSecond, concurrent} of limits) {
			const askers = this.#asked.get(key) ?? new Map<string, Amount & Readonly<{sentMs: number}>>();
			askers.set(from, {sentMs, requestsPerSecond, concurrent});
			this.#asked.set(key, askers);
		}
	}

	#lend(): PeerMessageOf<'lend'>['grants'] {
		const grants: PeerMessageOf<'lend'>['grants'] = [];
		for (const [key, askers] of this.#asked) {
			const spare = this.#readSpare(key);
			for (const [to, asked] of askers) {
				const wanted = {
					requestsPerSecond: Math.min(asked.requestsPerSecond, spare.requestsPerSecond / askers.size),
					concurrent: Math.min(asked.concurrent, Math.ceil(spare.concurrent / askers.size)),
				};
				const granted = this.#loans.lend(key, to, {wanted, spare});
				if (granted.requestsPerSecond > 0 || granted.concurrent > 0) {
					grants.push({
						key, to, askedMs: asked.sentMs, ...granted,
					});
				}
			}
		}

		this.#asked.clear();
		return grants;
	}

	#readSpare(key: string): Amount {
		const limit = this.#deps.getLimit(key);
		if (!limit) {
			return {requestsPerSecond: 0, concurrent: 0};
		}

		const base = this.#readBase(key, limit);
		const need = this.#needs.get(key);
		return {
			requestsPerSecond: Math.max(0, (base.requestsPerSecond * (1 - keptPart)) - ((need?.rate ?? 0) * rateHeadroom)),
			concurrent: Math.max(0, base.concurrent - (need ? need.concurrent + 1 : 0)),
		};
	}

	#borrow({grants}: PeerMessageOf<'lend'>, from: string): void {
		for (const grant of grants) {
			if (grant.to === this.#deps.incarnation) {
				this.#loans.borrow(grant.key, from, grant);
			}
		}
	}
}
