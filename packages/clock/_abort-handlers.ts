/**
 * Handlers of abort signals. All handlers of one signal share a listener, as many
 * tasks wait again and again on one signal, and adding and removing a listener costs
 * more than a timer.
 */
import type {Cancel} from './clock.ts';

type Handlers = Readonly<{handlers: Set<() => void>; handleAbort: () => void}>;

const handlersBySignal = new WeakMap<AbortSignal, Handlers>();

/** Calls `handler` once when `signal` aborts, unless it is cancelled before. */
export function addAbortHandler(signal: AbortSignal, handler: () => void): Cancel {
	const {handlers, handleAbort} = handlersBySignal.get(signal) ?? createHandlers(signal);
	const subscriber = () => {
		handler();
	};

	handlers.add(subscriber);
	return () => {
		handlers.delete(subscriber);
		// A combined signal with a listener is kept in memory.
		if (handlers.size === 0 && handlersBySignal.get(signal)?.handlers === handlers) {
			signal.removeEventListener('abort', handleAbort);
			handlersBySignal.delete(signal);
		}
	};
}

function createHandlers(signal: AbortSignal): Handlers {
	const handlers = new Set<() => void>();
	const handleAbort = () => {
		handlersBySignal.delete(signal);
		for (const handler of handlers) {
			handler();
		}
	};

	const created = {handlers, handleAbort};
	handlersBySignal.set(signal, created);
	signal.addEventListener('abort', handleAbort, {once: true});
	return created;
}
