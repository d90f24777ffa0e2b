/** The timer service on the operating system's clocks. */
import {performance} from 'node:perf_hooks';
import type {Clock} from './clock.ts';
import {createSleep} from './_sleep.ts';

/**
 * Creates a clock that follows real time.
 *
 * One-shot timers keep the process alive. Repeating timers do so only with
 * `shouldKeepProcessAlive`.
 *
 * @example
 * ```ts
 * const clock = createSystemClock();
 * await clock.sleep(100);
 * ```
 */
export function createSystemClock(): Clock {
	const setSystemTimer: Clock['setTimer'] = (delayMs, handler) => {
		const timer = setTimeout(handler, Math.max(0, delayMs));
		return () => {
			clearTimeout(timer);
		};
	};

	return {
		now: () => performance.now(),
		getWallTimeMs: () => Date.now(),
		setTimer: setSystemTimer,
		subscribe(intervalMs, handler, options = {}) {
			const timer = setInterval(handler, intervalMs);
			if (!options.shouldKeepProcessAlive) {
				timer.unref();
			}

			return () => {
				clearInterval(timer);
			};
		},
		sleep: createSleep(setSystemTimer),
	};
}
