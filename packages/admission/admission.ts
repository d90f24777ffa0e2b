/**
 * Admits requests: within their customer's limits over all instances, and into
 * their pool in fair order while its promised time can be kept. A refusal comes
 * at once, before anything was sent, with a time to come back.
 */
import {PoolGate} from './_pool-gate.ts';
import {TokenBucket} from './_token-bucket.ts';
import {Shares, type Amount} from './shares.ts';
import type {Cancel, Clock} from '#clock';
import {
	fail, makeRefusal, succeed, type Configuration, type Customer, type Refusal, type Result, type RoutedRequest, type TargetPool,
} from '#core';
import type {PeerBus} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

/** What admission works with. */
export type AdmissionDeps = Readonly<{
	clock: Clock;
	bus: PeerBus;
	telemetry: Telemetry;
	/** This instance's name and incarnation, as the peers know them. */
	name: string;
	incarnation: string;
	getConfiguration: () => Configuration | undefined;
	/** Targets of a pool that take new requests. */
	countTargets: (pool: TargetPool) => number;
}>;

/** Options of {@link Admission}. */
export type AdmissionOptions = Readonly<{
	/** Instances that share limits until the platform's list is known. Default: 1. */
	expectedInstances?: number;
}>;

/** The right to run one request. */
export type Grant = Readonly<{
	/** Gives the right back; to be called once. */
	release(): void;
}>;

type Use = {readonly bucket: TokenBucket; inProgress: number; usedMs: number};

const serveMs = 50;
const pruneMs = 10_000;
const idleMs = 60_000;
const minRetryMs = 100;
const maxRetryMs = 10_000;
/** Requests that are let through for each slot, so that targets stay busy between reports. */
const overcommit = 2;

/** Admission of one instance. */
export class Admission {
	readonly #deps: AdmissionDeps;
	readonly #shares: Shares;
	readonly #uses = new Map<string, Use>();
	readonly #gates = new Map<string, PoolGate>();
	readonly #cancels: readonly Cancel[];

	constructor(deps: AdmissionDeps, options: AdmissionOptions = {}) {
		const {clock, bus, name, incarnation} = deps;
		this.#deps = deps;
		this.#shares = new Shares({
			clock, bus, name, incarnation, getLimit: key => this.#findLimit(key),
		}, options);
		this.#cancels = [
			clock.subscribe(serveMs, () => {
				this.#serveWaiters();
			}),
			clock.subscribe(pruneMs, () => {
				this.#pruneUses();
			}),
		];
	}

	/** Customers that were active lately. */
	get size(): number {
		return this.#uses.size;
	}

	/** Requests that wait for a pool. */
	countWaiting(pool: string): number {
		return this.#gates.get(pool)?.waiting ?? 0;
	}

	/** Takes in the names of the instances on the platform's list. */
	readList(names: readonly string[]): void {
		this.#shares.readList(names);
	}

	/** Waits for the right to run a request, or refuses it. */
	async admit(request: RoutedRequest, signal: AbortSignal): Promise<Result<Grant, Refusal>> {
		const {clock, telemetry} = this.#deps;
		const {customer, pool} = request;
		const gate = this.#findGate(pool);
		const use = this.#findUse(customer.name);
		const refusal = this.#checkLimits(customer, use, gate);
		if (refusal) {
			return fail(refusal);
		}

		use.inProgress++;
		this.#shares.record(makePoolKey(pool.name), gate.running + gate.waiting + 1);
		const entered = await gate.enter(request, signal);
		if (!entered.ok) {
			use.inProgress--;
			return entered;
		}

		telemetry.observe('admission_wait_ms', entered.value, {pool: pool.name});
		const startMs = clock.now();
		return succeed({
			release() {
				use.inProgress--;
				gate.leave(clock.now() - startMs);
			},
		});
	}

	/** Ends all exchange with peers. */
	close(): void {
		this.#shares.close();
		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	#checkLimits(customer: Customer, use: Use, gate: PoolGate): Refusal | undefined {
		const key = makeCustomerKey(customer.name);
		const {limit} = customer;
		this.#shares.record(key, use.inProgress + 1);
		use.usedMs = this.#deps.clock.now();
		const share = this.#shares.read(key, limit);
		if (use.inProgress >= share.concurrent) {
			return makeRefusal('concurrency_limited', {retryAfterMs: limitRetry(gate.serviceMs / Math.max(1, use.inProgress))});
		}

		const waitMs = use.bucket.take(share.requestsPerSecond, limit.burst * share.requestsPerSecond / limit.requestsPerSecond);
		return waitMs > 0 ? makeRefusal('rate_limited', {retryAfterMs: limitRetry(waitMs)}) : undefined;
	}

	#findUse(customer: string): Use {
		const use = this.#uses.get(customer) ?? {bucket: new TokenBucket(this.#deps.clock), inProgress: 0, usedMs: 0};
		this.#uses.set(customer, use);
		return use;
	}

	#findGate({name}: TargetPool): PoolGate {
		const key = makePoolKey(name);
		const gate = this.#gates.get(name) ?? new PoolGate(this.#deps.clock, () => {
			const limit = this.#findLimit(key);
			return limit ? Math.max(1, this.#shares.read(key, limit).concurrent) : 1;
		});
		this.#gates.set(name, gate);
		return gate;
	}

	#findLimit(key: string): Amount | undefined {
		const configuration = this.#deps.getConfiguration();
		const [kind, name] = key.split('/', 2) as [string, string]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- keys are made by makePoolKey and makeCustomerKey
		if (kind === 'customer') {
			return configuration?.customers.get(name)?.limit;
		}

		const pool = configuration?.pools.get(name);
		return pool && {requestsPerSecond: 0, concurrent: this.#deps.countTargets(pool) * pool.slots * overcommit};
	}

	#serveWaiters(): void {
		for (const [pool, gate] of this.#gates) {
			gate.serveWaiters();
			this.#deps.telemetry.set('admission_waiting', gate.waiting, {pool});
		}
	}

	#pruneUses(): void {
		const oldestMs = this.#deps.clock.now() - idleMs;
		for (const [customer, use] of this.#uses) {
			if (use.inProgress === 0 && use.usedMs < oldestMs) {
				this.#uses.delete(customer);
			}
		}
	}
}

function makeCustomerKey(customer: string): string {
	return `customer/${customer}`;
}

function makePoolKey(pool: string): string {
	return `pool/${pool}`;
}

function limitRetry(ms: number): number {
	return Math.min(maxRetryMs, Math.max(minRetryMs, Math.ceil(ms)));
}
