/**
 * A clock whose time changes only when a test or bench advances it. Timers fire
 * by due time, then by order of creation. All pending promise callbacks run
 * after each timer, which makes runs reproducible.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {Cancel, Clock, RepeatingTimerOptions} from './clock.ts';
import {createSleep} from './_sleep.ts';
import {TimerHeap, type Timer} from './_timer-heap.ts';

/**
 * A {@link Clock} driven by {@link ManualClock.advance}.
 *
 * @example
 * ```ts
 * const clock = new ManualClock();
 * const done = clock.sleep(1000);
 * await clock.advance(1000);
 * await done;
 * ```
 */
export class ManualClock implements Clock {
	readonly sleep: Clock['sleep'];
	#nowMs = 0;
	#nextCreationOrder = 0;
	readonly #epochMs: number;
	readonly #timers = new TimerHeap();

	/** @param epochMs wall time at the clock's origin, in Unix milliseconds */
	constructor(epochMs = 1_800_000_000_000) {
		this.#epochMs = epochMs;
		this.sleep = createSleep((delayMs, handler) => this.setTimer(delayMs, handler));
	}

	now(): number {
		return this.#nowMs;
	}

	getWallTimeMs(): number {
		return this.#epochMs + this.#nowMs;
	}

	setTimer(delayMs: number, handler: () => void): Cancel {
		const timer: Timer = {
			dueMs: this.#nowMs + Math.max(0, delayMs), creationOrder: this.#nextCreationOrder++, handler, isCancelled: false,
		};
		this.#timers.push(timer);
		return () => {
			timer.isCancelled = true;
		};
	}

	subscribe(intervalMs: number, handler: () => void, _options: RepeatingTimerOptions = {}): Cancel {
		let isCancelled = false;
		let cancelNext: Cancel;
		const schedule = () => {
			cancelNext = this.setTimer(intervalMs, () => {
				handler();
				if (!isCancelled) {
					schedule();
				}
			});
		};

		schedule();
		return () => {
			isCancelled = true;
			cancelNext();
		};
	}

	/** Runs all pending promise callbacks without advancing time. */
	async runPendingCallbacks(): Promise<void> {
		await nextTurn();
	}

	/**
	 * Moves time forward without firing timers, as for a process that is suspended.
	 * Those that are due fire late, in the next {@link ManualClock.advance}.
	 *
	 * @param ms length of the suspension, in milliseconds
	 */
	suspend(ms: number): void {
		this.#nowMs += ms;
	}

	/**
	 * Advances time and fires each timer at its due time.
	 *
	 * @param ms how far to advance, in milliseconds
	 */
	async advance(ms: number): Promise<void> {
		const endMs = this.#nowMs + ms;
		await this.runPendingCallbacks();
		for (let timer = this.#timers.peek(); timer && timer.dueMs <= endMs; timer = this.#timers.peek()) {
			this.#timers.pop();
			if (timer.isCancelled) {
				continue;
			}

			this.#nowMs = Math.max(this.#nowMs, timer.dueMs);
			timer.handler();
			await this.runPendingCallbacks();
		}

		this.#nowMs = endMs;
	}

	/**
	 * Advances in steps until `condition` holds.
	 *
	 * @param condition checked before each step
	 * @param timeoutMs maximum time to advance, in milliseconds
	 * @param stepMs size of a step, in milliseconds
	 * @returns `false` when the condition did not hold within `timeoutMs`
	 */
	async advanceUntil(condition: () => boolean, timeoutMs: number, stepMs = 1): Promise<boolean> {
		const endMs = this.#nowMs + timeoutMs;
		await this.runPendingCallbacks();
		while (!condition()) {
			if (this.#nowMs >= endMs) {
				return false;
			}

			await this.advance(stepMs);
		}

		return true;
	}
}
