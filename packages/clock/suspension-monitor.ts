/**
 * Detects that the process did not run for a while, because it or its machine was
 * suspended: a repeating timer then fires late, or, where the monotonic clock stands
 * still meanwhile, the wall clock has advanced further than the monotonic one. A step
 * of the wall clock looks the same.
 */
import type {Cancel, Clock} from './clock.ts';

/** A time in which the process did not run, on its monotonic clock; pauses that follow each other closely are one. */
export type Suspension = Readonly<{
	/** Time at which the process was last known to run, in milliseconds. It lies before the end by the length of the suspension, also if the monotonic clock stood still. */
	startMs: number;
	/** Time at which it was found to run again, in milliseconds. */
	endMs: number;
}>;

/** Interval of the timer, in milliseconds. */
const intervalMs = 250;

/** Time without a tick from which on the process counts as suspended, in milliseconds; a busy event loop delays ticks, too. */
const minGapMs = 700;

/** Time between two suspensions within which they are one, in milliseconds: after a long one, the event loop is busy with what has arrived meanwhile. */
const mergeMs = 1000;

export class SuspensionMonitor {
	readonly #clock: Clock;
	readonly #cancel: Cancel;
	#tickMs: number;
	#tickWallMs: number;
	#last: Suspension | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#tickMs = clock.now();
		this.#tickWallMs = clock.getWallTimeMs();
		this.#cancel = clock.subscribe(intervalMs, () => {
			this.#update();
		});
	}

	/** Returns the last suspension, also if no timer has fired since its end. */
	getLast(): Suspension | undefined {
		this.#update();
		return this.#last;
	}

	close(): void {
		this.#cancel();
	}

	#update(): void {
		const nowMs = this.#clock.now();
		const wallMs = this.#clock.getWallTimeMs();
		const gapMs = Math.max(nowMs - this.#tickMs, wallMs - this.#tickWallMs);
		if (gapMs >= minGapMs) {
			const startMs = nowMs - gapMs;
			this.#last = {startMs: this.#last && startMs - this.#last.endMs < mergeMs ? Math.min(this.#last.startMs, startMs) : startMs, endMs: nowMs};
		}

		this.#tickMs = nowMs;
		this.#tickWallMs = wallMs;
	}
}
