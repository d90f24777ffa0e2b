/** The timer service over the operating system's clocks. */
import {performance} from 'node:perf_hooks';
import type {Clock} from './clock.ts';
import {makeSleep} from './_sleep.ts';

/**
 * Creates a clock that follows real time.
 *
 * @returns the clock; its timers do not keep the process alive by themselves
 * unless asked to, single-shot timers do
 * @example
 * ```ts
 * const clock = createSystemClock();
 * await clock.sleep(100);
 * ```
 */
export function createSystemClock(): Clock {
	const after: Clock['after'] = (delayMs, handler) => {
		const timer = setTimeout(handler, Math.max(0, delayMs));
		return () => {
			clearTimeout(timer);
		};
	};

	return {
		now: () => performance.now(),
		wall: () => Date.now(),
		after,
		subscribe(intervalMs, handler, options = {}) {
			const timer = setInterval(handler, intervalMs);
			if (!options.keepAlive) {
				timer.unref();
			}

			return () => {
				clearInterval(timer);
			};
		},
		sleep: makeSleep(after),
	};
}
