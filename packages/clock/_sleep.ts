/** The abortable sleep that both clocks share. */
import type {Clock} from './clock.ts';

/** Builds `sleep` on top of a clock's `after`. */
export function makeSleep(after: Clock['after']): Clock['sleep'] {
	return async (delayMs, signal) => {
		if (signal?.aborted) {
			return false;
		}

		return new Promise<boolean>(resolve => {
			const abort = () => {
				cancel();
				resolve(false);
			};

			const cancel = after(delayMs, () => {
				signal?.removeEventListener('abort', abort);
				resolve(true);
			});
			signal?.addEventListener('abort', abort, {once: true});
		});
	};
}
