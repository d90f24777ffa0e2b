/**
 * Repeating timers whose ticks are due at multiples of their intervals, so that
 * timers of different intervals wake the process together. One timer of the
 * operating system serves all of them.
 */
import type {Cancel} from './clock.ts';

/** The time and the one-shot timer on which the ticks are based. */
export type TimerSource = Readonly<{
	/** Milliseconds on a monotonic clock. */
	now(): number;
	setTimer(delayMs: number, handler: () => void): Cancel;
}>;

type Entry = {readonly intervalMs: number; readonly handleTick: () => void; dueMs: number};

/** Time by which a tick may come early, in milliseconds: timers of Node.js have whole milliseconds. */
const toleranceMs = 1;

export class AlignedTicks {
	readonly #source: TimerSource;
	readonly #entries = new Set<Entry>();
	#timer: Readonly<{dueMs: number; cancel: Cancel}> | undefined;

	constructor(source: TimerSource) {
		this.#source = source;
	}

	/** Calls `handleTick` at each multiple of the interval until it is cancelled. */
	start(intervalMs: number, handleTick: () => void): Cancel {
		const entry = {intervalMs, handleTick, dueMs: computeNextMs(this.#source.now() + toleranceMs, intervalMs)};
		this.#entries.add(entry);
		this.#schedule();
		return () => {
			this.#entries.delete(entry);
			if (this.#entries.size === 0) {
				this.#timer?.cancel();
				this.#timer = undefined;
			}
		};
	}

	/** Sets the timer for the earliest tick, unless it fires before that. */
	#schedule(): void {
		let dueMs = Infinity;
		for (const entry of this.#entries) {
			dueMs = Math.min(dueMs, entry.dueMs);
		}

		if (dueMs === Infinity || (this.#timer && this.#timer.dueMs <= dueMs)) {
			return;
		}

		this.#timer?.cancel();
		this.#timer = {
			dueMs,
			cancel: this.#source.setTimer(Math.max(1, Math.ceil(dueMs - this.#source.now())), () => {
				this.#handleTimer();
			}),
		};
	}

	#handleTimer(): void {
		this.#timer = undefined;
		const nowMs = this.#source.now() + toleranceMs;
		const due = [...this.#entries].filter(({dueMs}) => dueMs <= nowMs);
		for (const entry of due) {
			entry.dueMs = computeNextMs(nowMs, entry.intervalMs);
		}

		for (const entry of due) {
			// An earlier handler may have cancelled it.
			if (this.#entries.has(entry)) {
				entry.handleTick();
			}
		}

		this.#schedule();
	}
}

/** Returns the first multiple of the interval after a time. */
function computeNextMs(nowMs: number, intervalMs: number): number {
	return (Math.floor(nowMs / intervalMs) + 1) * intervalMs;
}
