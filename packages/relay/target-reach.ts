/**
 * Tells a target that fails from links of this instance that fail: whether it
 * reaches any target of a pool at all. After a failure that may be due to its own
 * links, a few targets of the pool are checked over new connections, since open
 * ones may outlive a cut. If none can be reached, all of the pool count as
 * unreachable, and requests need not try each in turn, until a check succeeds.
 */
import type {TargetSet} from './target-set.ts';
import type {TargetState} from './target-state.ts';
import {waitForTick, type Clock} from '#clock';
import type {Random, RelayPool, RelayTarget} from '#core';
import type {Telemetry} from '#telemetry';

/** Checks over a new connection whether this instance reaches a target, whatever the target answers. Takes a bounded time. */
export type CheckReach = (target: RelayTarget, pool: RelayPool) => Promise<boolean>;

export type TargetReachDependencies = Readonly<{
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	targets: TargetSet;
	/** Finds a pool in the configuration in force. */
	getPool: (name: string) => RelayPool | undefined;
	checkReach: CheckReach;
}>;

/** Number of targets of a pool that are checked at once. */
const checkedTargets = 4;

/** Number of targets of other pools that are checked if none of the pool is reached. */
const checkedOtherTargets = 2;

/** Time for which a successful check of a pool stands for another one, in milliseconds. */
const validityMs = 200;

/** Interval at which unreachable pools are checked again, in milliseconds. */
const recheckIntervalMs = 250;

export class TargetReach {
	readonly #dependencies: TargetReachDependencies;
	/** Checks in progress, by pool: whether a target is reached. */
	readonly #checks = new Map<string, Promise<boolean>>();
	/** Pools of which a check has just reached a target. */
	readonly #recentlyReached = new Set<string>();

	constructor(dependencies: TargetReachDependencies) {
		this.#dependencies = dependencies;
	}

	/** Waits for the check of a pool, if one is in progress; this takes a bounded time. */
	async waitForCheck(pool: string): Promise<void> {
		await this.#checks.get(pool);
	}

	/** Whether all targets of a pool that could be tried count as unreachable. */
	isUnreachable(pool: string): boolean {
		let hasUsable = false;
		for (const state of this.#dependencies.targets.listPool(pool)) {
			if (isUsable(state)) {
				if (!state.isUnreachable) {
					return false;
				}

				hasUsable = true;
			}
		}

		return hasUsable;
	}

	/** Whether an attempt may start on a target of a pool: it counts as reachable, or a connection to it is open. */
	canStart(pool: string, excluded: ReadonlySet<string>): boolean {
		return !this.isUnreachable(pool) || this.#listUsable(pool).some(({target, connections}) => connections.hasIdle && !excluded.has(target.id));
	}

	listUnreachablePools(): readonly string[] {
		return this.#dependencies.targets.listPools().filter(pool => this.isUnreachable(pool));
	}

	/** Records that an exchange with a target of a pool has failed in a way that may be due to this instance's links. */
	recordFailure(pool: string): void {
		if (!this.#recentlyReached.has(pool)) {
			void this.#check(pool);
		}
	}

	/**
	 * Checks whether a target which no longer answers has failed, rather than this
	 * instance's links: another target is reached. Without any other target there
	 * is nothing to compare with, and the target counts as failed.
	 */
	async checkTargetFailure({target}: TargetState): Promise<boolean> {
		const others = this.#dependencies.targets.list().filter(state => state.target.id !== target.id && isUsable(state));
		if (others.length === 0 || await this.#check(target.pool)) {
			return true;
		}

		return this.#checkAny(this.#chooseSome(others.filter(state => state.target.pool !== target.pool), checkedOtherTargets));
	}

	/** Checks unreachable pools again until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await Promise.all(this.listUnreachablePools().map(async pool => this.#check(pool)));
			await waitForTick(this.#dependencies.clock, recheckIntervalMs, signal);
		}
	}

	#listUsable(pool: string): readonly TargetState[] {
		return this.#dependencies.targets.listPool(pool).filter(state => isUsable(state));
	}

	/** Checks a pool, unless a check is in progress. Returns whether a target was reached. */
	async #check(pool: string): Promise<boolean> {
		const known = this.#checks.get(pool);
		if (known) {
			return known;
		}

		const check = this.#checkPool(pool);
		this.#checks.set(pool, check);
		const isReached = await check.finally(() => {
			this.#checks.delete(pool);
		});
		if (isReached) {
			this.#recentlyReached.add(pool);
			this.#dependencies.clock.setTimer(validityMs, () => {
				this.#recentlyReached.delete(pool);
			});
		}

		return isReached;
	}

	async #checkPool(pool: string): Promise<boolean> {
		const {clock, telemetry} = this.#dependencies;
		const states = this.#listUsable(pool);
		const wasUnreachable = this.isUnreachable(pool);
		const isReached = await this.#checkAny(this.#chooseSome(states, checkedTargets));
		for (const state of states) {
			state.setUnreachable(!isReached, clock.now());
		}

		if (states.length > 0 && wasUnreachable === isReached) {
			telemetry.log(isReached ? 'targets of a pool are reachable again' : 'no target of a pool can be reached from this instance', {pool, targets: states.length});
			telemetry.set('pools_unreachable', this.listUnreachablePools().length);
		}

		return isReached;
	}

	/** Whether at least one of these targets is reached. */
	async #checkAny(states: readonly TargetState[]): Promise<boolean> {
		const {getPool, checkReach} = this.#dependencies;
		let pending = states.length;
		return new Promise(resolve => {
			const handleChecked = (isReached: boolean) => {
				pending--;
				if (isReached || pending <= 0) {
					resolve(isReached);
				}
			};

			if (pending === 0) {
				resolve(false);
			}

			for (const {target} of states) {
				const pool = getPool(target.pool);
				void (pool ? checkReach(target, pool) : Promise.resolve(false)).then(handleChecked);
			}
		});
	}

	/** Chooses some states at random, first those that are not suspected themselves. */
	#chooseSome(states: readonly TargetState[], count: number): readonly TargetState[] {
		const {clock, random} = this.#dependencies;
		const keyed = states.map(state => ({state, key: random.next() + (state.suspectUntilMs > clock.now() ? 1 : 0)})).toSorted((a, b) => a.key - b.key);
		return keyed.slice(0, count).map(({state}) => state);
	}
}

function isUsable({isLeaving, isReplaced}: TargetState): boolean {
	return !isLeaving && !isReplaced;
}
