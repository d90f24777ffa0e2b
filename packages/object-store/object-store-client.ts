/**
 * The client through which an instance makes all calls to the platform. It
 * limits the instance to its share of the fleet's rates, grants calls by
 * priority, refuses calls during an outage, and counts calls by result.
 * docs/design/platform-use.md gives the reasons.
 */
import {Breaker} from './_breaker.ts';
import {InstanceCount} from './instance-count.ts';
import {RateBudget, type BudgetRule} from './_rate-budget.ts';
import type {ObjectStore, StoreFailure} from './object-store.ts';
import type {Clock} from '#clock';
import {fail, type Random, type Result} from '#core';
import type {Telemetry} from '#telemetry';

const budgetRules = {
	claims: {rank: 0, reservedShare: 0, maxWaitMs: 1000},
	leases: {rank: 1, reservedShare: 0.1, maxWaitMs: 1000},
	configuration: {rank: 2, reservedShare: 0.2, maxWaitMs: 2000},
	status: {rank: 3, reservedShare: 0.4, maxWaitMs: 5000},
} as const satisfies Readonly<Record<string, BudgetRule>>;

/** Purpose of a call, from highest to lowest priority. */
export type StoreCallKind = keyof typeof budgetRules;

/** Calls per second that the platform accepts from the whole fleet. */
export type StoreRates = Readonly<{writesPerSecond: number; readsPerSecond: number}>;

/** Dependencies of {@link createObjectStoreClient}. */
export type ObjectStoreClientDependencies = Readonly<{
	platform: ObjectStore;
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	/** Counts the instances believed to be live, including this one. */
	countInstances: () => number;
}>;

/** Options of {@link createObjectStoreClient}. */
export type ObjectStoreClientOptions = Readonly<{
	/** Rates of the whole fleet. Default: 300 writes and 2000 reads per second. */
	rates?: StoreRates;
	/** Number of instances assumed to share the rates until more are live or five minutes have passed. Default: 8. */
	expectedInstances?: number;
}>;

/** One view of the platform's object store for each kind of call. */
export type ObjectStoreClient = Readonly<Record<StoreCallKind, ObjectStore>>;

const defaultRates: StoreRates = {writesPerSecond: 300, readsPerSecond: 2000};
const defaultExpectedInstances = 8;
const rateLimitPauseMs = 200;
/** Share of the instance's read rate that remains for other calls, however many watches run. */
const minReadShare = 0.25;

/** What a failure says about the platform, for the breaker: that it answered, that it gave no usable answer, or nothing. */
const breakerEvidence: Readonly<Record<StoreFailure['kind'], 'answer' | 'failure' | 'none'>> = {
	conflict: 'answer', epoch_changed: 'answer', gone: 'answer', rate_limited: 'answer', too_large: 'answer', unavailable: 'failure', unknown: 'failure', interrupted: 'none',
};

/** Description of a call; only watches have a signal. */
type Call = Readonly<{kind: StoreCallKind; operation: 'read' | 'write'; signal?: AbortSignal}>;

/**
 * Creates the client.
 *
 * A call that was not sent fails with `unavailable` (the breaker is open) or
 * `rate_limited` (the rate budget granted no token in time). `retryAfterMs`
 * then states the delay before the next call may succeed.
 *
 * @example
 * ```ts
 * const client = createObjectStoreClient({platform, clock, random, telemetry, countInstances: () => 8});
 * await client.claims.put('claims/x', '{}', {ifVersion: 0});
 * ```
 */
export function createObjectStoreClient(dependencies: ObjectStoreClientDependencies, options: ObjectStoreClientOptions = {}): ObjectStoreClient {
	const {clock, random, telemetry, platform} = dependencies;
	const rates = options.rates ?? defaultRates;
	const instances = new InstanceCount(clock, dependencies.countInstances, options.expectedInstances ?? defaultExpectedInstances);
	const breaker = new Breaker(clock, random, isOpen => {
		telemetry.set('platform_breaker_open', isOpen ? 1 : 0);
		telemetry.log(isOpen ? 'platform does not answer; circuit breaker opened' : 'platform answers again; circuit breaker closed');
	});
	let runningWatches = 0;
	// Each running watch counts as one read per second.
	const getReadRate = () => {
		const share = rates.readsPerSecond / instances.getCount();
		return Math.max(share * minReadShare, share - runningWatches);
	};

	const budgets = {
		read: new RateBudget(clock, getReadRate),
		write: new RateBudget(clock, () => rates.writesPerSecond / instances.getCount()),
	};

	function refuse(kind: StoreCallKind, result: 'over_budget' | 'breaker_open', retryAfterMs: number): Result<never, StoreFailure> {
		telemetry.count('platform_calls_total', {kind, result});
		return result === 'breaker_open'
			? fail({kind: 'unavailable', detail: 'the platform did not answer earlier calls; the circuit breaker is open', retryAfterMs})
			: fail({kind: 'rate_limited', detail: 'this instance\'s share of the platform\'s rate limit is used up', retryAfterMs});
	}

	async function sendCall<Value>({kind, operation, signal}: Call, send: () => Promise<Result<Value, StoreFailure>>): Promise<Result<Value, StoreFailure>> {
		const permissionBeforeWait = breaker.getPermission();
		if (permissionBeforeWait.isRefused) {
			return refuse(kind, 'breaker_open', permissionBeforeWait.retryAfterMs);
		}

		const rule = budgetRules[kind];
		if (!await budgets[operation].acquire(rule)) {
			return refuse(kind, 'over_budget', rule.maxWaitMs);
		}

		// A watch may wait for a long time, so it must not be the breaker's probe.
		const permission = signal ? breaker.getPermission() : breaker.acquirePermission();
		if (permission.isRefused) {
			return refuse(kind, 'breaker_open', permission.retryAfterMs);
		}

		const result = await send();
		telemetry.count('platform_calls_total', {kind, result: result.ok ? 'ok' : result.error.kind});
		const evidence = result.ok ? 'answer' : breakerEvidence[result.error.kind];
		if (evidence === 'none' || signal?.aborted === true) {
			return result;
		}

		if (evidence === 'failure') {
			breaker.recordFailure();
			return result;
		}

		breaker.recordSuccess();
		if (!result.ok && result.error.kind === 'rate_limited') {
			budgets[operation].pause(rateLimitPauseMs * (0.5 + random.next()));
		}

		return result;
	}

	async function countWatch<Value>(watch: Promise<Value>): Promise<Value> {
		runningWatches++;
		const value = await watch;
		runningWatches--;
		return value;
	}

	const createStore = (kind: StoreCallKind): ObjectStore => ({
		get: async key => sendCall({kind, operation: 'read'}, async () => platform.get(key)),
		put: async (key, value, putOptions) => sendCall({kind, operation: 'write'}, async () => platform.put(key, value, putOptions)),
		remove: async (key, putOptions) => sendCall({kind, operation: 'write'}, async () => platform.remove(key, putOptions)),
		list: async prefix => sendCall({kind, operation: 'read'}, async () => platform.list(prefix)),
		watch: async (prefix, revision, signal, options) => sendCall({kind, operation: 'read', signal}, async () => countWatch(platform.watch(prefix, revision, signal, options))),
		listInstances: async () => sendCall({kind, operation: 'read'}, async () => platform.listInstances()),
		getEpoch: () => platform.getEpoch?.(),
	});
	return {
		claims: createStore('claims'), leases: createStore('leases'), configuration: createStore('configuration'), status: createStore('status'),
	};
}
