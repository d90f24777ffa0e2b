/**
 * Admits requests. A request must be within its customer's limits, which hold
 * over all instances. It then gets a slot of its pool in fair order, if the
 * route's promised time to the first token can be kept. A refused request has not
 * been sent to any target, and its refusal gives the time after which to retry.
 */
import {PoolLimiter} from './_pool-limiter.ts';
import {TokenBucket} from './_token-bucket.ts';
import {Shares, type LimitAmount} from './shares.ts';
import type {Cancel, Clock} from '#clock';
import {
	fail, createRefusal, succeed, type Configuration, type Customer, type Refusal, type Result, type RoutedRequest, type TargetPool,
} from '#core';
import type {PeerBus} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

/** Dependencies of {@link Admission}. */
export type AdmissionDependencies = Readonly<{
	clock: Clock;
	bus: PeerBus;
	telemetry: Telemetry;
	/** Name of this instance, as its peers know it. */
	name: string;
	/** Identifies the process of this instance, as its peers know it. */
	incarnation: string;
	getConfiguration: () => Configuration | undefined;
	/** Counts the targets of a pool that accept new requests. */
	countTargets: (pool: TargetPool) => number;
}>;

/** Options of {@link Admission}. */
export type AdmissionOptions = Readonly<{
	/** Number of instances assumed to share the limits until the platform's list is known. Default: 1. */
	expectedInstances?: number;
}>;

/** Permission to run one request. */
export type Grant = Readonly<{
	/** Releases the slot. Call it exactly once. */
	release(): void;
}>;

/** Rate limit and requests in progress of one customer on this instance. */
type CustomerUsage = {readonly bucket: TokenBucket; inProgress: number; lastUsedMs: number};

/** Interval at which queued requests are admitted if the capacity of their pool has risen, in milliseconds. */
const admitIntervalMs = 50;

const pruneIntervalMs = 10_000;

/** Time after which the state of an inactive customer is removed, in milliseconds. */
const maxIdleMs = 60_000;

/** Bounds of the retry time in refusals for a customer's limits, in milliseconds. */
const minRetryAfterMs = 100;
const maxRetryAfterMs = 10_000;

/** Requests admitted for each slot of a target. More than one keeps targets busy between load reports. */
const overcommitFactor = 2;

/** Admission of one instance. */
export class Admission {
	readonly #dependencies: AdmissionDependencies;
	readonly #shares: Shares;
	readonly #usages = new Map<string, CustomerUsage>();
	readonly #limiters = new Map<string, PoolLimiter>();
	readonly #cancels: readonly Cancel[];

	constructor(dependencies: AdmissionDependencies, options: AdmissionOptions = {}) {
		const {clock, bus, name, incarnation} = dependencies;
		this.#dependencies = dependencies;
		this.#shares = new Shares({
			clock, bus, name, incarnation, findLimit: key => this.#findLimit(key),
		}, options);
		this.#cancels = [
			clock.subscribe(admitIntervalMs, () => {
				this.#admitWaiting();
			}),
			clock.subscribe(pruneIntervalMs, () => {
				this.#pruneUsages();
			}),
		];
	}

	/** Number of customers whose state is kept. */
	get size(): number {
		return this.#usages.size;
	}

	/** Counts the requests queued for a pool. */
	countWaiting(pool: string): number {
		return this.#limiters.get(pool)?.waiting ?? 0;
	}

	/** Updates the instances among which limits are divided, from the names on the platform's list. */
	updateInstances(names: readonly string[]): void {
		this.#shares.updateInstances(names);
	}

	/** Waits until the request may run, or refuses it. */
	async admit(request: RoutedRequest, signal: AbortSignal): Promise<Result<Grant, Refusal>> {
		const {clock, telemetry} = this.#dependencies;
		const {customer, pool} = request;
		const limiter = this.#getLimiter(pool);
		const usage = this.#getUsage(customer.name);
		const refusal = this.#checkLimits(customer, usage, limiter);
		if (refusal) {
			return fail(refusal);
		}

		usage.inProgress++;
		this.#shares.recordArrival(formatPoolKey(pool.name), limiter.running + limiter.waiting + 1);
		const acquired = await limiter.acquire(request, signal);
		if (!acquired.ok) {
			usage.inProgress--;
			return acquired;
		}

		telemetry.observe('admission_wait_ms', acquired.value, {pool: pool.name});
		const startMs = clock.now();
		return succeed({
			release() {
				usage.inProgress--;
				limiter.release(clock.now() - startMs);
			},
		});
	}

	/** Refuses all requests that wait for their pool. */
	refuseWaiting(refusal: Refusal): void {
		for (const limiter of this.#limiters.values()) {
			limiter.refuseWaiting(refusal);
		}
	}

	/** Stops the timers and the exchange with peers. */
	close(): void {
		this.#shares.close();
		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	#checkLimits(customer: Customer, usage: CustomerUsage, limiter: PoolLimiter): Refusal | undefined {
		const key = formatCustomerKey(customer.name);
		const {limit} = customer;
		this.#shares.recordArrival(key, usage.inProgress + 1);
		usage.lastUsedMs = this.#dependencies.clock.now();
		const share = this.#shares.computeShare(key, limit);
		if (usage.inProgress >= share.concurrent) {
			return createRefusal('concurrency_limited', {retryAfterMs: clampRetryAfterMs(limiter.serviceMs / Math.max(1, usage.inProgress))});
		}

		const waitMs = usage.bucket.take(share.requestsPerSecond, limit.burst * share.requestsPerSecond / limit.requestsPerSecond);
		return waitMs > 0 ? createRefusal('rate_limited', {retryAfterMs: clampRetryAfterMs(waitMs)}) : undefined;
	}

	#getUsage(customer: string): CustomerUsage {
		const usage = this.#usages.get(customer) ?? {bucket: new TokenBucket(this.#dependencies.clock), inProgress: 0, lastUsedMs: 0};
		this.#usages.set(customer, usage);
		return usage;
	}

	#getLimiter({name}: TargetPool): PoolLimiter {
		const key = formatPoolKey(name);
		const limiter = this.#limiters.get(name) ?? new PoolLimiter(this.#dependencies.clock, () => {
			const limit = this.#findLimit(key);
			return limit ? Math.max(1, this.#shares.computeShare(key, limit).concurrent) : 1;
		});
		this.#limiters.set(name, limiter);
		return limiter;
	}

	/** Finds the limit of a customer or a pool. A pool limits concurrent requests only; admission does not check its rate, which is 0. */
	#findLimit(key: string): LimitAmount | undefined {
		const configuration = this.#dependencies.getConfiguration();
		const [kind, name] = key.split('/', 2) as [string, string]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- formatPoolKey and formatCustomerKey create all keys
		if (kind === 'customer') {
			return configuration?.customers.get(name)?.limit;
		}

		const pool = configuration?.pools.get(name);
		return pool && {requestsPerSecond: 0, concurrent: this.#dependencies.countTargets(pool) * pool.slots * overcommitFactor};
	}

	#admitWaiting(): void {
		for (const [pool, limiter] of this.#limiters) {
			limiter.admitWaiting();
			this.#dependencies.telemetry.set('admission_waiting', limiter.waiting, {pool});
		}
	}

	#pruneUsages(): void {
		const minLastUsedMs = this.#dependencies.clock.now() - maxIdleMs;
		for (const [customer, usage] of this.#usages) {
			if (usage.inProgress === 0 && usage.lastUsedMs < minLastUsedMs) {
				this.#usages.delete(customer);
			}
		}
	}
}

function formatCustomerKey(customer: string): string {
	return `customer/${customer}`;
}

function formatPoolKey(pool: string): string {
	return `pool/${pool}`;
}

function clampRetryAfterMs(ms: number): number {
	return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, Math.ceil(ms)));
}
