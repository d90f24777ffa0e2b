/**
 * The one client through which an instance calls the platform: a share of the
 * fleet's rates, priorities by kind of call, a breaker, and counters.
 * docs/design/platform-use.md gives the reasons.
 */
import {Breaker} from './_breaker.ts';
import {InstanceCount} from './instance-count.ts';
import {RateBudget, type BudgetRule} from './_rate-budget.ts';
import type {ObjectStore, StoreFailure} from './object-store.ts';
import type {Clock} from '#clock';
import {fail, type Random, type Result} from '#core';
import type {Telemetry} from '#telemetry';

const kindRules = {
	claims: {rank: 0, reserve: 0, maxWaitMs: 1000},
	leases: {rank: 1, reserve: 0.1, maxWaitMs: 1000},
	configuration: {rank: 2, reserve: 0.2, maxWaitMs: 2000},
	status: {rank: 3, reserve: 0.4, maxWaitMs: 5000},
} as const satisfies Readonly<Record<string, BudgetRule>>;

/** What a call is for; earlier kinds go first. */
export type StoreCallKind = keyof typeof kindRules;

/** Calls per second that the platform takes from the whole fleet. */
export type StoreRates = Readonly<{writesPerSecond: number; readsPerSecond: number}>;

/** What a client works with. */
export type ObjectStoreClientDeps = Readonly<{
	platform: ObjectStore;
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	/** Instances believed to be live, this one included. */
	countInstances: () => number;
}>;

/** Options of {@link createObjectStoreClient}. */
export type ObjectStoreClientOptions = Readonly<{
	/** Default: 300 writes and 2000 reads. */
	rates?: StoreRates;
	/** Instances that share the rates until five minutes of peers are known. Default: 8. */
	expectedInstances?: number;
}>;

/** The platform as seen by each kind of call. */
export type ObjectStoreClient = Readonly<Record<StoreCallKind, ObjectStore>>;

const defaultRates: StoreRates = {writesPerSecond: 300, readsPerSecond: 2000};
const defaultInstances = 8;
const limitedPauseMs = 200;
const minReadShare = 0.25;

const isUnanswered: Readonly<Record<StoreFailure['kind'], boolean>> = {
	conflict: false, gone: false, rate_limited: false, too_large: false, unavailable: true, unknown: true,
};

/** A call; only a watch has a signal. */
type Call = Readonly<{kind: StoreCallKind; use: 'read' | 'write'; signal?: AbortSignal}>;

/**
 * Creates the client.
 *
 * A call that was not sent fails as `unavailable` (the breaker is open) or
 * `rate_limited` (no share of the rate came in time), with the time after which
 * the next one has a chance.
 *
 * @example
 * ```ts
 * const client = createObjectStoreClient({platform, clock, random, telemetry, countInstances: () => 8});
 * await client.claims.put('claims/x', '{}', {ifVersion: 0});
 * ```
 */
export function createObjectStoreClient(deps: ObjectStoreClientDeps, options: ObjectStoreClientOptions = {}): ObjectStoreClient {
	const {clock, random, telemetry, platform} = deps;
	const rates = options.rates ?? defaultRates;
	const instances = new InstanceCount(clock, deps.countInstances, options.expectedInstances ?? defaultInstances);
	const breaker = new Breaker(clock, random, isOpen => {
		telemetry.set('platform_breaker_open', isOpen ? 1 : 0);
		telemetry.log(isOpen ? 'platform unavailable' : 'platform available');
	});
	let watches = 0;
	const readReads = () => {
		const share = rates.readsPerSecond / instances.read();
		return Math.max(share * minReadShare, share - watches);
	};

	const budgets = {
		read: new RateBudget(clock, readReads),
		write: new RateBudget(clock, () => rates.writesPerSecond / instances.read()),
	};

	function refuse(kind: StoreCallKind, result: 'over_budget' | 'breaker_open', retryAfterMs: number): Result<never, StoreFailure> {
		telemetry.count('platform_calls_total', {kind, result});
		return result === 'breaker_open'
			? fail({kind: 'unavailable', detail: 'the platform did not answer; calls are held back', retryAfterMs})
			: fail({kind: 'rate_limited', detail: 'nothing was left in this instance\'s share of the platform\'s rate', retryAfterMs});
	}

	async function call<Value>({kind, use, signal}: Call, send: () => Promise<Result<Value, StoreFailure>>): Promise<Result<Value, StoreFailure>> {
		const before = breaker.check();
		if (before.isOpen) {
			return refuse(kind, 'breaker_open', before.retryAfterMs);
		}

		const rule = kindRules[kind];
		if (!await budgets[use].take(rule)) {
			return refuse(kind, 'over_budget', rule.maxWaitMs);
		}

		// A watch waits too long to be the call that tries out an open breaker.
		const passage = signal ? breaker.check() : breaker.enter();
		if (passage.isOpen) {
			return refuse(kind, 'breaker_open', passage.retryAfterMs);
		}

		const result = await send();
		telemetry.count('platform_calls_total', {kind, result: result.ok ? 'ok' : result.error.kind});
		if (signal?.aborted) {
			return result;
		}

		if (!result.ok && isUnanswered[result.error.kind]) {
			breaker.fail();
			return result;
		}

		breaker.succeed();
		if (!result.ok && result.error.kind === 'rate_limited') {
			budgets[use].stop(limitedPauseMs * (0.5 + random.next()));
		}

		return result;
	}

	async function countWatch<Value>(watch: Promise<Value>): Promise<Value> {
		watches++;
		const value = await watch;
		watches--;
		return value;
	}

	const makeView = (kind: StoreCallKind): ObjectStore => ({
		get: async key => call({kind, use: 'read'}, async () => platform.get(key)),
		put: async (key, value, put) => call({kind, use: 'write'}, async () => platform.put(key, value, put)),
		remove: async (key, put) => call({kind, use: 'write'}, async () => platform.remove(key, put)),
		list: async prefix => call({kind, use: 'read'}, async () => platform.list(prefix)),
		watch: async (prefix, revision, signal) => call({kind, use: 'read', signal}, async () => countWatch(platform.watch(prefix, revision, signal))),
		listInstances: async () => call({kind, use: 'read'}, async () => platform.listInstances()),
	});
	return {
		claims: makeView('claims'), leases: makeView('leases'), configuration: makeView('configuration'), status: makeView('status'),
	};
}
