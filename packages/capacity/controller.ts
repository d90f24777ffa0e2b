/**
 * Control loop of one pool's capacity: renews the pool's lease or waits for it,
 * reads the engines' load reports, and sends load and unload orders.
 */
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

export type ControllerDependencies = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	lease: Lease;
	forecast: DemandForecast;
	/** Returns the pool as it is configured now, or `undefined` after its removal. */
	getPool: () => TargetPool | undefined;
	getLink: (pool: TargetPool, target: Target) => TargetLink;
	/** Counts the requests that wait for the pool at this instance and at the peers that reported recently. */
	countWaiting: () => number;
	/** Returns whether this instance should acquire the lease once it has lapsed. */
	isCandidate: () => boolean;
}>;

type PendingOrder = Readonly<{
	kind: 'load' | 'unload';
	weights: string;
	sentMs: number;
	/** The engine's process when the order was planned; absent if it had not answered. */
	incarnation: string | undefined;
}>;
type EngineReading = Readonly<{target: Target; report: LoadReport | undefined; readMs: number}>;

const tickIntervalMs = 500;
const callTimeoutMs = 1000;
const pendingTimeoutMs = 30_000;

/** Controls one pool's capacity. The lease ensures that at most one instance's controller sends orders. */
export class CapacityController {
	readonly #dependencies: ControllerDependencies;
	readonly #pendingOrders = new Map<string, PendingOrder>();
	/** Fencing token of the latest term for which `#recordTakeoverPeak` has recorded a peak. */
	#takeoverFencing = 0;

	constructor(dependencies: ControllerDependencies) {
		this.#dependencies = dependencies;
	}

	/** Runs until `signal` aborts, then releases the lease. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, lease, isCandidate} = this.#dependencies;
		let refreshedMs = -Infinity;
		while (!signal.aborted) {
			if (clock.now() - refreshedMs >= lease.refreshIntervalMs) {
				refreshedMs = clock.now();
				await lease.refresh(isCandidate());
			}

			if (lease.isHeld) {
				await this.#tick(signal);
			} else {
				this.#pendingOrders.clear();
			}

			await clock.sleep(tickIntervalMs, signal);
		}

		await lease.release();
	}

	async #tick(signal: AbortSignal): Promise<void> {
		const {telemetry, forecast, clock, countWaiting} = this.#dependencies;
		const pool = this.#dependencies.getPool();
		if (!pool) {
			return;
		}

		const readings = await Promise.all(pool.targets.map(async target => this.#readEngine(pool, target, signal)));
		const engines = readings.map(reading => this.#createEngineState(reading));
		const demand = countWaiting() + engines.reduce((sum, engine) => sum + engine.requestCount, 0);
		this.#recordTakeoverPeak(pool, engines);
		forecast.record(clock.now(), demand);
		const plan = planCapacity({
			pool, engines, demand, forecast: forecast.estimate(),
		});
		telemetry.set('capacity_wanted', plan.desired, {pool: pool.name});
		telemetry.set('capacity_serving', plan.serving, {pool: pool.name});
		const incarnations = new Map(readings.map(({target, report}) => [target.name, report?.incarnation]));
		await Promise.all(plan.orders.map(async order => this.#sendOrder(pool, order, incarnations.get(order.engine))));
	}

	/**
	 * Records the loaded capacity as a demand peak when a new term begins. A new
	 * holder has no demand history, so it must not shrink the pool before one
	 * peak window has passed.
	 */
	#recordTakeoverPeak(pool: TargetPool, engines: readonly EngineState[]): void {
		const {clock, forecast, lease} = this.#dependencies;
		if (this.#takeoverFencing === lease.fencing) {
			return;
		}

		this.#takeoverFencing = lease.fencing;
		const loaded = engines.filter(engine => engine.weights !== undefined).length;
		forecast.recordPeak(clock.now(), loaded * pool.slots * plannedUtilization);
	}

	async #readEngine(pool: TargetPool, target: Target, signal: AbortSignal): Promise<EngineReading> {
		const {clock, getLink} = this.#dependencies;
		const report = await this.#runWithTimeout(async callSignal => getLink(pool, target).readReport(callSignal), signal);
		return {target, report: report.ok ? report.value : undefined, readMs: clock.now()};
	}

	#createEngineState({target, report, readMs}: EngineReading): EngineState {
		const pending = this.#updatePending(target.name, report, readMs);
		return {
			name: target.name,
			weights: report?.weights,
			isLoading: report?.loading ?? false,
			isUsable: report !== undefined && !report.leaving,
			requestCount: (report?.running ?? 0) + (report?.queued ?? 0),
			pendingOrder: pending?.kind,
		};
	}

	/**
	 * Removes an engine's pending order once a report measured after the order
	 * shows its effect or another process, or once the order has timed out.
	 *
	 * @returns the order that is still pending
	 */
	#updatePending(name: string, report: LoadReport | undefined, readMs: number): PendingOrder | undefined {
		const pending = this.#pendingOrders.get(name);
		if (!pending) {
			return undefined;
		}

		const isNewer = report !== undefined && readMs - report.ageMs > pending.sentMs;
		const expectedWeights = pending.kind === 'load' ? pending.weights : undefined;
		const isRestarted = isNewer && pending.incarnation !== undefined && report.incarnation !== pending.incarnation;
		const isDone = isNewer && !report.loading && report.weights === expectedWeights;
		if (isDone || isRestarted || readMs - pending.sentMs > pendingTimeoutMs) {
			this.#pendingOrders.delete(name);
			return undefined;
		}

		return pending;
	}

	async #sendOrder(pool: TargetPool, planned: PlannedOrder, incarnation: string | undefined): Promise<void> {
		const {clock, lease, random, telemetry, getLink} = this.#dependencies;
		const target = pool.targets.find(({name}) => name === planned.engine)!;
		if (!this.#canSend(pool)) {
			telemetry.count('capacity_orders_total', {pool: pool.name, kind: planned.kind, result: 'lease_too_short'});
			return;
		}

		const order: EngineOrder = {
			kind: planned.kind, model: pool.model ?? '', value: planned.weights, fencing: lease.fencing, orderId: random.createId(),
		};
		this.#pendingOrders.set(target.name, {
			kind: planned.kind, weights: planned.weights, sentMs: clock.now(), incarnation,
		});
		const receipt = await this.#runWithTimeout(async callSignal => getLink(pool, target).sendOrder(order, callSignal));
		const result = receipt.ok ? (receipt.value.accepted ? 'accepted' : 'superseded') : receipt.error.outcome;
		telemetry.count('capacity_orders_total', {pool: pool.name, kind: planned.kind, result});
		if (result === 'superseded') {
			lease.invalidate();
		}

		if (result === 'notSent' || result === 'refused' || result === 'superseded') {
			this.#pendingOrders.delete(target.name);
		}
	}

	/**
	 * Returns whether the lease permits an order. A target that ignores fencing
	 * tokens cannot refuse a late order, so the remaining term must exceed both
	 * the guard interval and the call's time-out.
	 */
	#canSend(pool: TargetPool): boolean {
		const {lease} = this.#dependencies;
		return pool.checksFencing ? lease.isHeld : lease.remainingMs > Math.max(lease.guardMs, callTimeoutMs);
	}

	/** Runs a call and aborts it after {@link callTimeoutMs}. */
	async #runWithTimeout<Value>(call: (signal: AbortSignal) => Promise<Value>, signal?: AbortSignal): Promise<Value> {
		const timeout = new AbortController();
		const cancelTimer = this.#dependencies.clock.setTimer(callTimeoutMs, () => {
			timeout.abort();
		});
		try {
			return await call(signal ? AbortSignal.any([signal, timeout.signal]) : timeout.signal);
		} finally {
			cancelTimer();
		}
	}
}
