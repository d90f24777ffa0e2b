/**
 * The interface of the timer service, which the system clock and the manual
 * clock both implement.
 */

/** Ends a timer or subscription; calling it twice does nothing. */
export type Cancel = () => void;

/** Options of {@link Clock.subscribe}. */
export type SubscribeOptions = Readonly<{
	/** Whether the timer alone keeps the process alive. Default: `false`. */
	keepAlive?: boolean;
}>;

/** A source of time and timers. */
export type Clock = Readonly<{
	/** Milliseconds on a monotonic clock with an arbitrary origin. */
	now(): number;
	/** Milliseconds since the Unix epoch; may step backwards. */
	wall(): number;
	/** Calls `handler` once after `delayMs`. */
	after(delayMs: number, handler: () => void): Cancel;
	/** Calls `handler` every `intervalMs` until cancelled. */
	subscribe(intervalMs: number, handler: () => void, options?: SubscribeOptions): Cancel;
	/**
	 * Resolves after `delayMs`, or at once when `signal` aborts.
	 *
	 * @returns `true` when the whole delay passed, `false` when it was aborted
	 */
	sleep(delayMs: number, signal?: AbortSignal): Promise<boolean>;
}>;
