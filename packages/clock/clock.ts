/**
 * The interface of the timer service. The system clock and the manual clock
 * implement it.
 */

/** Cancels a timer; further calls have no effect. */
export type Cancel = () => void;

/** Options of {@link Clock.subscribe}. */
export type RepeatingTimerOptions = Readonly<{
	/** Whether the timer keeps the process alive when nothing else does. Default: `false`. */
	shouldKeepProcessAlive?: boolean;
}>;

/** A source of time and timers. */
export type Clock = Readonly<{
	/** Milliseconds on a monotonic clock with an arbitrary origin. */
	now(): number;
	/** Milliseconds since the Unix epoch; may step backwards. */
	getWallTimeMs(): number;
	/** Calls `handler` once after `delayMs`, or a little later; a negative delay counts as 0. */
	setTimer(delayMs: number, handler: () => void): Cancel;
	/** Calls `handler` every `intervalMs`, first after at most `intervalMs`, until cancelled. */
	subscribe(intervalMs: number, handler: () => void, options?: RepeatingTimerOptions): Cancel;
	/**
	 * Resolves after `delayMs`, or at once when `signal` aborts.
	 *
	 * @returns `true` when the whole delay passed, `false` when it was aborted
	 */
	sleep(delayMs: number, signal?: AbortSignal): Promise<boolean>;
}>;
