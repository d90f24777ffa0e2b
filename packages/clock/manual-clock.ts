/**
 * A clock that stands still until a test or bench advances it. Timers fire in
 * order of their due time, then of their creation; after each one all pending
 * promise callbacks run, so a run is the same each time.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {Cancel, Clock, SubscribeOptions} from './clock.ts';
import {makeSleep} from './_sleep.ts';
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
	#order = 0;
	readonly #epochMs: number;
	readonly #timers = new TimerHeap();

	/** @param epochMs wall time at the clock's origin, in Unix milliseconds */
	constructor(epochMs = 1_800_000_000_000) {
		this.#epochMs = epochMs;
		this.sleep = makeSleep((delayMs, handler) => this.after(delayMs, handler));
	}

	now(): number {
		return this.#nowMs;
	}

	wall(): number {
		return this.#epochMs + this.#nowMs;
	}

	after(delayMs: number, handler: () => void): Cancel {
		const timer: Timer = {
			dueMs: this.#nowMs + Math.max(0, delayMs), order: this.#order++, handler, cancelled: false,
		};
		this.#timers.push(timer);
		return () => {
			timer.cancelled = true;
		};
	}

	subscribe(intervalMs: number, handler: () => void, _options: SubscribeOptions = {}): Cancel {
		let cancelled = false;
		let cancelNext: Cancel;
		const schedule = () => {
			cancelNext = this.after(intervalMs, () => {
				handler();
				if (!cancelled) {
					schedule();
				}
			});
		};

		schedule();
		return () => {
			cancelled = true;
			cancelNext();
		};
	}

	/** Runs every pending promise callback without moving time. */
	async settle(): Promise<void> {
		await nextTurn();
	}

	/**
	 * Moves time forward, firing each timer at its own due time.
	 *
	 * @param ms how far to move, in milliseconds
	 */
	async advance(ms: number): Promise<void> {
		const endMs = this.#nowMs + ms;
		await this.settle();
		for (let timer = this.#timers.peek(); timer && timer.dueMs <= endMs; timer = this.#timers.peek()) {
			this.#timers.pop();
			if (timer.cancelled) {
				continue;
			}

			this.#nowMs = timer.dueMs;
			timer.handler();
			await this.settle();
		}

		this.#nowMs = endMs;
	}

	/**
	 * Advances in steps until `condition` holds.
	 *
	 * @param condition checked before each step
	 * @param limitMs gives up after this much time
	 * @param stepMs size of a step
	 * @returns whether the condition held in time
	 */
	async advanceUntil(condition: () => boolean, limitMs: number, stepMs = 1): Promise<boolean> {
		const endMs = this.#nowMs + limitMs;
		await this.settle();
		while (!condition()) {
			if (this.#nowMs >= endMs) {
				return false;
			}

			await this.advance(stepMs);
		}

		return true;
	}
}
