/** Handlers of abort signals. */
import type {Cancel} from './clock.ts';

/** Calls `handler` once when `signal` aborts, unless it is cancelled before. */
export function addAbortHandler(signal: AbortSignal, handler: () => void): Cancel {
	signal.addEventListener('abort', handler, {once: true});
	return () => {
		signal.removeEventListener('abort', handler);
	};
}
