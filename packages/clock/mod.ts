/**
 * The timer service. Every part that waits, times out or repeats subscribes
 * here, so that tests and benches can replace real time by a clock that they
 * step themselves.
 */
export type {Clock, Cancel, SubscribeOptions} from './clock.ts';
export {createSystemClock} from './system-clock.ts';
export {ManualClock} from './manual-clock.ts';
