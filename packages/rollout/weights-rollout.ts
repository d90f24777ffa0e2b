/**
 * Brings engines to the newest weights that are named. One instance acts, by a
 * lease; it orders a part of the engines at a time, the rest serve meanwhile.
 * Versions that were superseded before an engine came to them are skipped.
 */
import type {EngineControl, EngineReport, OrderOutcome} from './engine-control.ts';
import type {Clock} from '#clock';
import type {RelayTarget} from '#core';
import type {Lease} from '#lease';
import type {Telemetry} from '#telemetry';

/** News of one engine's weights. */
export type WeightsNews = Readonly<{
	/** Incarnation of the engine. */
	incarnation: string;
	model: string;
	version: number;
	/** Whether the engine is only beginning to load them. */
	isLoading: boolean;
}>;

/** What a roll-out works with. */
export type RolloutDeps = Readonly<{
	/** Name of this instance. */
	name: string;
	clock: Clock;
	telemetry: Telemetry;
	lease: Lease;
	control: EngineControl;
	/** Engines that are listed and not leaving, with their weights as far as known. */
	listEngines: () => readonly RelayTarget[];
	/** Requests in progress on an engine, as far as known. */
	countRequests: (target: RelayTarget) => number;
	/** Newest version named for each model. */
	listNamed: () => ReadonlyMap<string, number>;
	/** Place of this instance among those that may act; 0 acts at once. */
	readRank: () => number;
	/** Whether this instance is among the first to follow the holder, and therefore watches the lease. */
	isStandby: () => boolean;
	/** Least time of the lease's term that must be left for an order, in milliseconds; 0 where engines refuse old fencing tokens. */
	leastTermMs: number;
	/** Called when another process has taken an engine's address. */
	replaced: (target: RelayTarget) => void;
	/** Called with each step of an engine, to be told to all instances. */
	tell: (news: WeightsNews) => void;
}>;

type Behind = Readonly<{target: RelayTarget; model: string; version: number}>;

/** Time between looks of the holder while an engine is behind, in milliseconds. */
const tickMs = 50;

/** Time between looks of the other instances, in milliseconds. */
const standbyTickMs = 250;

/** Time between looks while none is, in milliseconds; news wakes the loop at once. */
const restMs = 2000;

/** Time after which the next instance in rank acts where nothing moves, in milliseconds: a lease term and its guard would pass anyway. */
const rankDelayMs = 1000;

/** Time between reports of an engine that loads, in milliseconds: reports are that old themselves. */
const pollMs = 120;

/** Time between tries to take a lease that another instance holds, in milliseconds. */
const retakeMs = 500;

/** Longest time for one engine's order, in milliseconds: its running requests finish first. */
const orderLimitMs = 6000;

/** Pause before an engine is tried again that did not take its order, in milliseconds. */
const retryMs = 300;

/** Part of the engines that load at the same time: loads slow each other down beyond a quarter to a third of them. */
const loadShare = 0.25;

/** Part of the engines that get no requests at the same time, because they load or will load next. */
const awayShare = 0.5;

/** Longest time for which running requests are waited for before an engine loads, in milliseconds: most have ended, and what the others still make is little. */
const drainMs = 500;

/** Difference between wall and monotonic time that shows that the process was suspended, in milliseconds. */
const suspendMs = 400;

/** Decides what follows from an order's outcome. */
const outcomeSteps: Readonly<Record<OrderOutcome, 'poll' | 'retry' | 'stop' | 'drop'>> = {
	accepted: 'poll', holds: 'poll', conflict: 'poll', unknown: 'poll', rejected: 'retry', replaced: 'stop', unreachable: 'retry', fenced: 'drop',
};

/** The roll-out of one instance. */
export class WeightsRollout {
	readonly #deps: RolloutDeps;
	readonly #active = new Map<string, Promise<void>>();
	/** Engines that were ordered to load and have not finished. */
	readonly #loading = new Set<string>();
	readonly #retryAtMs = new Map<string, number>();
	#refreshedMs = -Infinity;
	#orderedMs = -Infinity;
	#behindSinceMs: number | undefined;
	#wallOffsetMs: number;
	#wake: (() => void) | undefined;

	constructor(deps: RolloutDeps) {
		this.#deps = deps;
		this.#wallOffsetMs = deps.clock.wall() - deps.clock.now();
	}

	/** Looks at once whether there is something to do. */
	wake(): void {
		this.#wake?.();
	}

	/** Runs until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, lease} = this.#deps;
		while (!signal.aborted) {
			const behind = this.#listBehind();
			if (behind.length === 0) {
				this.#behindSinceMs = undefined;
				await (this.#mayRelease() ? lease.release() : this.#rest(signal));
				continue;
			}

			this.#behindSinceMs ??= clock.now();
			this.#checkSuspension();
			await this.#followLease();

			if (lease.isHeld) {
				this.#startOrders(behind, signal);
			}

			await clock.sleep(lease.isHeld ? tickMs : standbyTickMs, signal);
		}

		await Promise.all(this.#active.values());
		if (this.#mayRelease()) {
			await lease.release();
		}
	}

	/** Sleeps until news or the end of the rest. */
	async #rest(signal: AbortSignal): Promise<void> {
		const rested = new AbortController();
		this.#wake = () => {
			rested.abort();
		};

		await this.#deps.clock.sleep(restMs, AbortSignal.any([signal, rested.signal]));
		this.#wake = undefined;
	}

	#listBehind(): readonly Behind[] {
		const named = this.#deps.listNamed();
		return this.#deps.listEngines().flatMap(target => {
			const entry = [...target.weights].find(([model, version]) => (named.get(model) ?? 0) > version);
			return entry ? [{target, model: entry[0], version: named.get(entry[0])!}] : [];
		});
	}

	/** Whether this instance should hold the lease now. One that held it last goes on, also after a restart: nobody has to wait for its term. */
	#isDue(): boolean {
		const {clock, readRank, lease} = this.#deps;
		return lease.isOwn || clock.now() - this.#behindSinceMs! >= readRank() * rankDelayMs;
	}

	/** Holds the lease or tries to take it; one that is next after the holder, or does not know who that is, reads it. */
	async #followLease(): Promise<void> {
		const {clock, lease, isStandby} = this.#deps;
		const isDue = this.#isDue();
		const everyMs = isDue && !lease.isHeld ? retakeMs : lease.refreshMs;
		if (clock.now() - this.#refreshedMs < everyMs || !(isDue || isStandby() || !lease.isKnown)) {
			return;
		}

		this.#refreshedMs = clock.now();
		await (isDue ? lease.refresh(true) : lease.observe());
	}

	/** Whether the lease can be given up. Within a term of its last order the holder keeps it, so that holders do not take turns. */
	#mayRelease(): boolean {
		const {clock, lease} = this.#deps;
		return lease.isOwn && this.#active.size === 0 && clock.now() - this.#orderedMs >= lease.termMs;
	}

	/** A process that was suspended does not know how long: its term may be over. */
	#checkSuspension(): void {
		const {clock, lease, telemetry} = this.#deps;
		const offsetMs = clock.wall() - clock.now();
		if (Math.abs(offsetMs - this.#wallOffsetMs) > suspendMs) {
			telemetry.log('time has jumped, giving up the lease', {byMs: Math.round(offsetMs - this.#wallOffsetMs)});
			lease.drop();
		}

		this.#wallOffsetMs = offsetMs;
	}

	/** Starts with the engines that have least to finish; while one part of them loads, the next one already gets no new requests. */
	#startOrders(behind: readonly Behind[], signal: AbortSignal): void {
		const {clock, listEngines, countRequests} = this.#deps;
		const most = Math.max(1, Math.floor(listEngines().length * awayShare));
		const waiting = behind.filter(({target: {incarnation}}) => !this.#active.has(incarnation) && (this.#retryAtMs.get(incarnation) ?? 0) <= clock.now())
			.map(one => ({one, requests: countRequests(one.target)}))
			.toSorted((a, b) => a.requests - b.requests);
		for (const {one} of waiting.slice(0, Math.max(0, most - this.#active.size))) {
			const {incarnation} = one.target;
			this.#active.set(incarnation, this.#bring(one, signal).finally(() => {
				this.#active.delete(incarnation);
				this.#loading.delete(incarnation);
			}));
		}
	}

	/** Whether one more engine may load now. */
	#mayLoad(): boolean {
		return this.#loading.size < Math.max(1, Math.round(this.#deps.listEngines().length * loadShare));
	}

	/** Brings one engine to its weights. */
	async #bring({target, model, version}: Behind, signal: AbortSignal): Promise<void> {
		const {clock, lease, tell, telemetry, control} = this.#deps;
		const {incarnation} = target;
		const startedMs = clock.now();
		tell({
			incarnation, model, version, isLoading: true,
		});
		while (!signal.aborted && clock.now() - startedMs < orderLimitMs) {
			const report = await control.readReport(target);
			if (!report) {
				break;
			}

			const loaded = report.weights.get(model) ?? 0;
			if (loaded >= version) {
				telemetry.log('weights loaded', {
					target: target.id, model, version: loaded, ms: Math.round(clock.now() - startedMs),
				});
				tell({
					incarnation, model, version: loaded, isLoading: false,
				});
				return;
			}

			const isDrained = report.running + report.waiting === 0 || clock.now() - startedMs >= drainMs;
			if (!report.isBusy && isDrained && this.#mayLoad()) {
				this.#checkSuspension();
				if (lease.remainingMs <= this.#deps.leastTermMs || !await this.#order({target, model, version}, report)) {
					break;
				}
			}

			await clock.sleep(pollMs, signal);
		}

		this.#retryAtMs.set(incarnation, clock.now() + retryMs);
	}

	/** @returns whether it is worth looking whether the engine loads */
	async #order({target, model, version}: Behind, report: EngineReport): Promise<boolean> {
		const {name, lease, control, telemetry} = this.#deps;
		this.#loading.add(target.incarnation);
		const {fencing} = lease;
		this.#orderedMs = this.#deps.clock.now();
		const outcome = await control.sendOrder(target, {
			model, version, holder: name, fencing, ifAcceptedOrders: report.acceptedOrders, keepsRuns: report.running > 0,
		});
		telemetry.count('weights_orders_total', {outcome});
		telemetry.log('weights ordered', {
			target: target.id, model, version, fencing, running: report.running, waiting: report.waiting, outcome,
		});
		const step = outcomeSteps[outcome];
		if (step === 'drop') {
			lease.drop();
		}

		if (outcome === 'replaced') {
			this.#deps.replaced(target);
		}

		return step === 'poll';
	}
}
