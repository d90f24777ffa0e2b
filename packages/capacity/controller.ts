/** Keeps one pool's capacity: holds or awaits the lease, reads the engines, and sends orders. */
import type {DemandForecast} from './forecast.ts';
import {
	planCapacity, plannedUtilization, type EngineState, type PlannedOrder,
} from './plan.ts';
import type {Clock} from '#clock';
import type {
	EngineOrder, LoadReport, Random, Target, TargetLink, TargetPool,
} from '#core';
import type {Lease} from '#lease';
import type {Telemetry} from '#telemetry';

/** What a controller works with. */
export type ControllerDeps = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	lease: Lease;
	forecast: DemandForecast;
	/** The pool as it is configured now; nothing once it was removed. */
	getPool: () => TargetPool | undefined;
	getLink: (pool: TargetPool, target: Target) => TargetLink;
	/** Requests that wait at the instances for the pool. */
	countWaiting: () => number;
	/** Whether this instance should take the lease when it has lapsed. */
	isCandidate: () => boolean;
}>;

type Pending = Readonly<{kind: 'load' | 'unload'; weights: string; sentMs: number}>;
type Reading = Readonly<{target: Target; report: LoadReport | undefined; readMs: number}>;

const tickMs = 500;
const callTimeoutMs = 1000;
const pendingLimitMs = 30_000;

/** One pool's capacity. At most one instance's controller acts, by the lease. */
export class CapacityController {
	readonly #deps: ControllerDeps;
	readonly #pending = new Map<string, Pending>();
	#actingFencing = 0;

	constructor(deps: ControllerDeps) {
		this.#deps = deps;
	}

	/** Runs until `signal` aborts, then gives the lease up. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, lease, isCandidate} = this.#deps;
		let refreshedMs = -Infinity;
		while (!signal.aborted) {
			if (clock.now() - refreshedMs >= lease.refreshMs) {
				refreshedMs = clock.now();
				await lease.refresh(isCandidate());
			}

			if (lease.isHeld) {
				await this.#tick(signal);
			} else {
				this.#pending.clear();
			}

			await clock.sleep(tickMs, signal);
		}

		await lease.release();
	}

	async #tick(signal: AbortSignal): Promise<void> {
		const {telemetry, forecast, clock, countWaiting} = this.#deps;
		const pool = this.#deps.getPool();
		if (!pool) {
			return;
		}

		const readings = await Promise.all(pool.targets.map(async target => this.#read(pool, target, signal)));
		const engines = readings.map(reading => this.#makeState(reading));
		const demand = countWaiting() + engines.reduce((sum, engine) => sum + engine.requests, 0);
		this.#holdOnTakeover(pool, engines);
		forecast.add(clock.now(), demand);
		const plan = planCapacity({
			pool, engines, demand, forecast: forecast.estimate(),
		});
		telemetry.set('capacity_wanted', plan.wanted, {pool: pool.name});
		telemetry.set('capacity_serving', plan.serving, {pool: pool.name});
		await Promise.all(plan.orders.map(async order => this.#send(pool, order)));
	}

	/** A new holder knows no history: it keeps what it finds loaded for a window before it shrinks the pool. */
	#holdOnTakeover(pool: TargetPool, engines: readonly EngineState[]): void {
		const {clock, forecast, lease} = this.#deps;
		if (this.#actingFencing === lease.fencing) {
			return;
		}

		this.#actingFencing = lease.fencing;
		const loaded = engines.filter(engine => engine.weights !== undefined).length;
		forecast.hold(clock.now(), loaded * pool.slots * plannedUtilization);
	}

	async #read(pool: TargetPool, target: Target, signal: AbortSignal): Promise<Reading> {
		const {clock, getLink} = this.#deps;
		const report = await this.#limit(async limited => getLink(pool, target).readReport(limited), signal);
		return {target, report: report.ok ? report.value : undefined, readMs: clock.now()};
	}

	#makeState({target, report, readMs}: Reading): EngineState {
		const pending = this.#settle(target.name, report, readMs);
		return {
			name: target.name,
			weights: report?.weights,
			loading: report?.loading ?? false,
			usable: report !== undefined && !report.leaving,
			requests: (report?.running ?? 0) + (report?.queued ?? 0),
			pending: pending?.kind,
		};
	}

	/** Forgets an order once a report taken after it shows its effect, or when it never does. */
	#settle(name: string, report: LoadReport | undefined, readMs: number): Pending | undefined {
		const pending = this.#pending.get(name);
		if (!pending) {
			return undefined;
		}

		const isNewer = report !== undefined && readMs - report.ageMs > pending.sentMs;
		const wanted = pending.kind === 'load' ? pending.weights : undefined;
		const isDone = isNewer && !report.loading && report.weights === wanted;
		if (isDone || readMs - pending.sentMs > pendingLimitMs) {
			this.#pending.delete(name);
			return undefined;
		}

		return pending;
	}

	async #send(pool: TargetPool, planned: PlannedOrder): Promise<void> {
		const {clock, lease, random, telemetry, getLink} = this.#deps;
		const target = pool.targets.find(({name}) => name === planned.engine)!;
		if (!this.#maySend(pool)) {
			telemetry.count('capacity_orders_total', {pool: pool.name, kind: planned.kind, result: 'lease_too_short'});
			return;
		}

		const order: EngineOrder = {
			kind: planned.kind, model: pool.model ?? '', value: planned.weights, fencing: lease.fencing, orderId: random.id(),
		};
		this.#pending.set(target.name, {kind: planned.kind, weights: planned.weights, sentMs: clock.now()});
		const receipt = await this.#limit(async signal => getLink(pool, target).sendOrder(order, signal));
		const result = receipt.ok ? (receipt.value.accepted ? 'accepted' : 'superseded') : receipt.error.outcome;
		telemetry.count('capacity_orders_total', {pool: pool.name, kind: planned.kind, result});
		if (result === 'superseded') {
			lease.drop();
		}

		if (result === 'notSent' || result === 'refused' || result === 'superseded') {
			this.#pending.delete(target.name);
		}
	}

	/** Targets that ignore fencing numbers are sent orders only while a guard interval of the term is left. */
	#maySend(pool: TargetPool): boolean {
		const {lease} = this.#deps;
		return pool.checksFencing ? lease.isHeld : lease.remainingMs > Math.max(lease.guardMs, callTimeoutMs);
	}

	/** Runs a call that is aborted after its time. */
	async #limit<Value>(call: (signal: AbortSignal) => Promise<Value>, signal?: AbortSignal): Promise<Value> {
		const limit = new AbortController();
		const cancel = this.#deps.clock.after(callTimeoutMs, () => {
			limit.abort();
		});
		try {
			return await call(signal ? AbortSignal.any([signal, limit.signal]) : limit.signal);
		} finally {
			cancel();
		}
	}
}
