/** The abortable sleep that both clocks share. */
import {addAbortHandler} from './_abort-handlers.ts';
import type {Clock} from './clock.ts';

/** Creates a clock's `sleep` from its one-shot timer. */
export function createSleep(setTimer: Clock['setTimer']): Clock['sleep'] {
	return async (delayMs, signal) => {
		if (signal?.aborted) {
			return false;
		}

		return new Promise<boolean>(resolve => {
			const cancelTimer = setTimer(delayMs, () => {
				cancelHandler?.();
				resolve(true);
			});
			const cancelHandler = signal && addAbortHandler(signal, () => {
				cancelTimer();
				resolve(false);
			});
		});
	};
}
