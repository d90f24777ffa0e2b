/**
 * The timer service. All code that waits, times out or repeats work uses a
 * {@link Clock}, so that tests and benches can run it on a clock that they
 * advance themselves.
 */
export type {Clock, Cancel, RepeatingTimerOptions} from './clock.ts';
export {createSystemClock} from './system-clock.ts';
export {ManualClock} from './manual-clock.ts';
export {SuspensionMonitor, type Suspension} from './suspension-monitor.ts';
export {waitForEvent} from './wait-for-event.ts';
export {waitForTick} from './wait-for-tick.ts';
