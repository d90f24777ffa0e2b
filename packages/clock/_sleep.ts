/** The abortable sleep that both clocks share. */
import type {Clock} from './clock.ts';

/** Creates a clock's `sleep` from its one-shot timer. */
export function createSleep(setTimer: Clock['setTimer']): Clock['sleep'] {
	return async (delayMs, signal) => {
		if (signal?.aborted) {
			return false;
		}

		return new Promise<boolean>(resolve => {
			const handleAbort = () => {
				cancel();
				resolve(false);
			};

			const cancel = setTimer(delayMs, () => {
				signal?.removeEventListener('abort', handleAbort);
				resolve(true);
			});
			signal?.addEventListener('abort', handleAbort, {once: true});
		});
	};
}
