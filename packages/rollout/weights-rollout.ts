/**
 * Updates engines to the newest published weights. Only the instance that holds
 * the lease sends orders. It updates a part of the engines at a time, while the
 * others serve requests. An engine skips versions that were superseded before
 * its update began.
 */
import type {EngineControl, EngineReport, OrderOutcome} from './engine-control.ts';
import type {Clock} from '#clock';
import type {RelayTarget} from '#core';
import type {Lease} from '#lease';
import type {Telemetry} from '#telemetry';

/** A step in the update of an engine's weights. */
export type WeightsProgress = Readonly<{
	/** Incarnation of the engine: identifies its process. */
	incarnation: string;
	model: string;
	version: number;
	/** `true` at the beginning of the update, before the engine loads the version; `false` after it has loaded the version. */
	isLoading: boolean;
}>;

/** Dependencies of {@link WeightsRollout}. */
export type RolloutDependencies = Readonly<{
	/** Name of this instance. */
	name: string;
	clock: Clock;
	telemetry: Telemetry;
	lease: Lease;
	control: EngineControl;
	/** Lists the engines that are not draining, with their weights as far as known. */
	listEngines: () => readonly RelayTarget[];
	/** Counts the requests in progress on an engine, as far as known. */
	countRequests: (target: RelayTarget) => number;
	/** Returns the newest published version of each model. */
	listNewestVersions: () => ReadonlyMap<string, number>;
	/** Returns the rank of this instance among those that may hold the lease; rank 0 tries to acquire it at once. */
	getRank: () => number;
	/** Returns whether this instance is among the next in rank after the holder, and therefore observes the lease. */
	isStandby: () => boolean;
	/** Minimum remaining term of the lease for sending an order, in milliseconds; 0 if engines refuse old fencing tokens. */
	minRemainingTermMs: number;
	/** Returns whether this instance reaches any engine, as far as known; without one, it leaves the lease to others. */
	canReachEngines: () => boolean;
	/** Called when an engine did not answer, which may be due to this instance's links. */
	handleUnanswered: (target: RelayTarget) => void;
	/** Called when another process has taken an engine's address. */
	handleReplaced: (target: RelayTarget) => void;
	/** Broadcasts a step of an engine to all instances. */
	broadcastProgress: (progress: WeightsProgress) => void;
}>;

/** An engine whose weights of `model` are older than the newest published `version`. */
type OutdatedEngine = Readonly<{target: RelayTarget; model: string; version: number}>;

/** Interval at which the holder checks the engines while an engine is outdated, in milliseconds. */
const holderIntervalMs = 50;

/** Interval at which the other instances check the engines while an engine is outdated, in milliseconds. */
const standbyIntervalMs = 250;

/** Interval of the checks while no engine is outdated, in milliseconds. {@link WeightsRollout.wake} starts a check at once. */
const idleIntervalMs = 2000;

/** Time that an instance waits per rank before it tries to acquire the lease while an engine is outdated, in milliseconds. The delay costs a successor little, because it has to wait for the lease term and its guard time anyway. */
const rankDelayMs = 1000;

/** Interval at which the report of an engine under update is read, in milliseconds. More frequent reads bring little, because a report itself can be this old. */
const reportIntervalMs = 120;

/** Interval between attempts to acquire a lease that another instance holds, in milliseconds. */
const acquireIntervalMs = 500;

/** Bounds of the time after an order until the first report is read, in milliseconds; the lower one holds until it is known how long loads take. */
const minLoadWaitMs = 250;
const maxLoadWaitMs = 1000;

/** Part of the time of the last load after which the first report is read. */
const loadWaitRatio = 0.9;

/** Interval at which the report of an engine is read while its running requests finish, in milliseconds. */
const drainIntervalMs = 250;

/** Maximum time for the update of one engine, in milliseconds. It includes the time in which running requests finish. */
const maxUpdateMs = 6000;

/** Delay before the update of an engine is retried, in milliseconds. */
const retryDelayMs = 300;

/** Maximum part of the engines that load at the same time. Loads slow each other down beyond a quarter to a third of the engines. */
const maxLoadingRatio = 0.25;

/** Maximum part of the engines that get no requests at the same time, because they load or will load next. */
const maxUnavailableRatio = 0.5;

/** Maximum time for which running requests may finish before an engine loads, in milliseconds. By then most have finished, and the others have little left to generate. */
const maxDrainMs = 500;

/** Change of the difference between wall and monotonic time above which the process counts as suspended, in milliseconds. */
const maxClockJumpMs = 400;

/**
 * The next step after each outcome of an order: poll the engine, retry later,
 * stop the update, or invalidate the lease. Every step but `poll` ends the
 * update. An engine that is still listed as outdated then gets a new update,
 * {@link retryDelayMs} later at the earliest.
 */
const stepsByOutcome: Readonly<Record<OrderOutcome, 'poll' | 'retry' | 'stop' | 'invalidate'>> = {
	accepted: 'poll', holds: 'poll', conflict: 'poll', unknown: 'poll', rejected: 'retry', replaced: 'stop', unreachable: 'retry', fenced: 'invalidate',
};

/** The roll-out as one instance runs it. */
export class WeightsRollout {
	readonly #dependencies: RolloutDependencies;
	/** Updates in progress, by incarnation of the engine. */
	readonly #activeUpdates = new Map<string, Promise<void>>();
	/** Incarnations of engines that were ordered to load and have not finished. */
	readonly #loadingIncarnations = new Set<string>();
	readonly #retryAtMs = new Map<string, number>();
	#leaseCheckedMs = -Infinity;
	#lastOrderMs = -Infinity;
	#outdatedSinceMs: number | undefined;
	#wallOffsetMs: number;
	#endIdleWait: (() => void) | undefined;
	/** Time after an order until the first report is read, in milliseconds. */
	#loadWaitMs = minLoadWaitMs;

	constructor(dependencies: RolloutDependencies) {
		this.#dependencies = dependencies;
		this.#wallOffsetMs = dependencies.clock.getWallTimeMs() - dependencies.clock.now();
	}

	/** Checks the engines at once if the roll-out is idle. */
	wake(): void {
		this.#endIdleWait?.();
	}

	/** Runs until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, lease} = this.#dependencies;
		while (!signal.aborted) {
			await this.#dependencies.lease.checkEpoch();
			const outdated = this.#listOutdated();
			if (outdated.length === 0) {
				this.#outdatedSinceMs = undefined;
				await (this.#canReleaseLease() ? lease.release() : this.#waitIdle(signal));
				continue;
			}

			this.#outdatedSinceMs ??= clock.now();
			this.#checkSuspension();
			await this.#updateLease();

			if (lease.isHeld && this.#dependencies.canReachEngines()) {
				this.#startUpdates(outdated, signal);
			}

			await clock.sleep(lease.isHeld ? holderIntervalMs : standbyIntervalMs, signal);
		}

		await Promise.all(this.#activeUpdates.values());
		if (this.#canReleaseLease()) {
			await lease.release();
		}
	}

	/** Waits for the idle interval, or until {@link WeightsRollout.wake} is called. */
	async #waitIdle(signal: AbortSignal): Promise<void> {
		const controller = new AbortController();
		this.#endIdleWait = () => {
			controller.abort();
		};

		await this.#dependencies.clock.sleep(idleIntervalMs, AbortSignal.any([signal, controller.signal]));
		this.#endIdleWait = undefined;
	}

	#listOutdated(): readonly OutdatedEngine[] {
		const newestVersions = this.#dependencies.listNewestVersions();
		return this.#dependencies.listEngines().flatMap(target => {
			const entry = [...target.weights].find(([model, version]) => (newestVersions.get(model) ?? 0) > version);
			return entry ? [{target, model: entry[0], version: newestVersions.get(entry[0])!}] : [];
		});
	}

	/**
	 * Returns whether this instance may acquire or renew the lease now. The last
	 * holder may, also after a restart, because it need not wait for the end of its
	 * own term. The others wait according to their rank. An instance that reaches no
	 * engine may not; its term then ends, and orders that it has sent are no longer
	 * in transit when a successor acquires the lease.
	 */
	#shouldHoldLease(): boolean {
		const {clock, getRank, lease, canReachEngines} = this.#dependencies;
		return canReachEngines() && (lease.isLastHolder || clock.now() - this.#outdatedSinceMs! >= getRank() * rankDelayMs);
	}

	/** Renews the lease or tries to acquire it. A standby, or an instance that does not know the holder, only reads it. */
	async #updateLease(): Promise<void> {
		const {clock, lease, isStandby} = this.#dependencies;
		const shouldHold = this.#shouldHoldLease();
		const intervalMs = shouldHold && !lease.isHeld ? acquireIntervalMs : lease.refreshIntervalMs;
		if (clock.now() - this.#leaseCheckedMs < intervalMs || !(shouldHold || isStandby() || !lease.isHolderKnown)) {
			return;
		}

		this.#leaseCheckedMs = clock.now();
		await (shouldHold ? lease.refresh(true) : lease.observe());
	}

	/** Returns whether the lease can be released. The holder keeps it for a term after its last order, so that the lease does not alternate between instances. */
	#canReleaseLease(): boolean {
		const {clock, lease} = this.#dependencies;
		return lease.isLastHolder && this.#activeUpdates.size === 0 && clock.now() - this.#lastOrderMs >= lease.termMs;
	}

	/** Invalidates the lease if the process may have been suspended, because its term may have ended in the meantime. */
	#checkSuspension(): void {
		const {clock, lease, telemetry} = this.#dependencies;
		const offsetMs = clock.getWallTimeMs() - clock.now();
		if (Math.abs(offsetMs - this.#wallOffsetMs) > maxClockJumpMs) {
			telemetry.log('wall clock jumped; invalidating the lease, as the process may have been suspended', {byMs: Math.round(offsetMs - this.#wallOffsetMs)});
			lease.invalidate();
		}

		this.#wallOffsetMs = offsetMs;
	}

	/** Starts updates of the engines with the oldest weights, of these first the ones with the fewest requests in progress. More updates run than engines may load at once: while some engines load, the next ones drain. */
	#startUpdates(outdated: readonly OutdatedEngine[], signal: AbortSignal): void {
		const {clock, listEngines, countRequests} = this.#dependencies;
		const maxUnavailable = Math.max(1, Math.floor(listEngines().length * maxUnavailableRatio));
		const candidates = outdated.filter(({target: {incarnation}}) => !this.#activeUpdates.has(incarnation) && (this.#retryAtMs.get(incarnation) ?? 0) <= clock.now())
			.map(engine => ({engine, loaded: engine.target.weights.get(engine.model) ?? 0, requests: countRequests(engine.target)}))
			.toSorted((a, b) => a.loaded - b.loaded || a.requests - b.requests);
		for (const {engine} of candidates.slice(0, Math.max(0, maxUnavailable - this.#activeUpdates.size))) {
			const {incarnation} = engine.target;
			this.#activeUpdates.set(incarnation, this.#updateEngine(engine, signal).finally(() => {
				this.#activeUpdates.delete(incarnation);
				this.#loadingIncarnations.delete(incarnation);
			}));
		}
	}

	/** Returns whether another engine may start to load now. */
	#canLoad(): boolean {
		return this.#loadingIncarnations.size < Math.max(1, Math.round(this.#dependencies.listEngines().length * maxLoadingRatio));
	}

	/** Runs the update of one engine: drains it, orders the load and waits until the weights are loaded. */
	async #updateEngine({target, model, version}: OutdatedEngine, signal: AbortSignal): Promise<void> {
		const {clock, lease, broadcastProgress, telemetry, control} = this.#dependencies;
		const {incarnation} = target;
		const startedMs = clock.now();
		/** Time of the last order that the engine may have accepted, in milliseconds. */
		let orderedMs: number | undefined;
		broadcastProgress({
			incarnation, model, version, isLoading: true,
		});
		while (!signal.aborted && clock.now() - startedMs < maxUpdateMs) {
			// Until another engine has loaded, the report would not change what happens next.
			if (!this.#loadingIncarnations.has(incarnation) && !this.#canLoad()) {
				await clock.sleep(reportIntervalMs, signal);
				continue;
			}

			const report = await control.readReport(target);
			if (!report) {
				this.#dependencies.handleUnanswered(target);
				break;
			}

			const loaded = report.weights.get(model) ?? 0;
			if (loaded >= version) {
				this.#recordLoad(orderedMs);
				telemetry.log('weights loaded', {
					target: target.id, model, version: loaded, ms: Math.round(clock.now() - startedMs),
				});
				broadcastProgress({
					incarnation, model, version: loaded, isLoading: false,
				});
				return;
			}

			const isDrained = report.running + report.waiting === 0 || clock.now() - startedMs >= maxDrainMs;
			if (!report.isBusy && isDrained && this.#canLoad()) {
				this.#checkSuspension();
				if (lease.remainingMs <= this.#dependencies.minRemainingTermMs || !await this.#sendOrder({target, model, version}, report)) {
					break;
				}

				orderedMs = clock.now();
				await clock.sleep(this.#loadWaitMs, signal);
				continue;
			}

			await clock.sleep(orderedMs === undefined ? drainIntervalMs : reportIntervalMs, signal);
		}

		this.#retryAtMs.set(incarnation, clock.now() + retryDelayMs);
	}

	/** Adapts the time until the first report to the shortest loads, as later reports are read at shorter intervals. */
	#recordLoad(orderedMs: number | undefined): void {
		if (orderedMs !== undefined) {
			const loadMs = this.#dependencies.clock.now() - orderedMs;
			this.#loadWaitMs = Math.min(maxLoadWaitMs, Math.max(minLoadWaitMs, (loadMs - reportIntervalMs) * loadWaitRatio));
		}
	}

	/** @returns whether to poll the engine, because it may execute the order */
	async #sendOrder({target, model, version}: OutdatedEngine, report: EngineReport): Promise<boolean> {
		const {name, lease, control, telemetry} = this.#dependencies;
		this.#loadingIncarnations.add(target.incarnation);
		const {fencing} = lease;
		this.#lastOrderMs = this.#dependencies.clock.now();
		const outcome = await control.sendOrder(target, {
			model, version, holder: name, fencing, expectedAcceptedOrders: report.acceptedOrders, shouldRetainRequests: report.running > 0,
		});
		telemetry.count('weights_orders_total', {outcome});
		telemetry.log('sent order to load weights', {
			target: target.id, model, version, fencing, running: report.running, waiting: report.waiting, outcome,
		});
		const step = stepsByOutcome[outcome];
		if (step === 'invalidate') {
			// The engine has seen a higher token, which it does not name.
			lease.recordFencing(fencing + 1);
			lease.invalidate();
		}

		if (outcome === 'replaced') {
			this.#dependencies.handleReplaced(target);
		}

		return step === 'poll';
	}
}
