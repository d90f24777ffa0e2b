/** The timer service on the operating system's clocks. */
import {performance} from 'node:perf_hooks';
import {alignDelay} from './_align-delay.ts';
import {AlignedTicks} from './_aligned-ticks.ts';
import type {Clock} from './clock.ts';
import {SharedTicks} from './_shared-ticks.ts';
import {createSleep} from './_sleep.ts';

/**
 * Creates a clock that follows real time.
 *
 * One-shot timers keep the process alive. Repeating timers do so only with
 * `shouldKeepProcessAlive`. To save wake-ups, a one-shot timer may fire an eighth
 * of its delay late, at most 64 ms, and repeating timers fire together, at multiples
 * of their intervals.
 *
 * @example
 * ```ts
 * const clock = createSystemClock();
 * await clock.sleep(100);
 * ```
 */
export function createSystemClock(): Clock {
	const setSystemTimer: Clock['setTimer'] = (delayMs, handler) => {
		const timer = setTimeout(handler, Math.max(0, alignDelay(delayMs, performance.now())));
		return () => {
			clearTimeout(timer);
		};
	};

	const ticks = createTicks(false);
	const ticksKeepingAlive = createTicks(true);
	return {
		now: () => performance.now(),
		getWallTimeMs: () => Date.now(),
		setTimer: setSystemTimer,
		subscribe: (intervalMs, handler, {shouldKeepProcessAlive = false} = {}) => (shouldKeepProcessAlive ? ticksKeepingAlive : ticks).add(intervalMs, handler),
		sleep: createSleep(setSystemTimer),
	};
}

function createTicks(shouldKeepProcessAlive: boolean): SharedTicks {
	const alignedTicks = new AlignedTicks({
		now: () => performance.now(),
		setTimer(delayMs, handler) {
			const timer = setTimeout(handler, delayMs);
			if (!shouldKeepProcessAlive) {
				timer.unref();
			}

			return () => {
				clearTimeout(timer);
			};
		},
	});
	return new SharedTicks((intervalMs, handleTick) => alignedTicks.start(intervalMs, handleTick));
}
