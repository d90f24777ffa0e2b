/** The abortable wait of tasks that repeat work in the background. */
import type {Clock} from './clock.ts';
import {waitForEvent} from './wait-for-event.ts';

/**
 * Waits for the next tick of an interval, which may come sooner than after the
 * whole interval, or until `signal` aborts. Tasks that wait for ticks wake the
 * process together, unlike those that sleep.
 *
 * @param intervalMs interval of the ticks, in milliseconds
 */
export async function waitForTick(clock: Pick<Clock, 'subscribe'>, intervalMs: number, signal: AbortSignal): Promise<void> {
	await waitForEvent(handler => clock.subscribe(intervalMs, handler), signal);
}
