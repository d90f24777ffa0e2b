/** The abortable wait of tasks for an event. */
import {addAbortHandler} from './_abort-handlers.ts';
import type {Cancel} from './clock.ts';

/**
 * Waits for one event, or until `signal` aborts.
 *
 * @param subscribe subscribes to the event; may call the handler before it returns
 */
export async function waitForEvent(subscribe: (handler: () => void) => Cancel, signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	let cancel: Cancel | undefined;
	await new Promise<void>(resolve => {
		const cancelHandler = addAbortHandler(signal, resolve);
		const cancelEvent = subscribe(resolve);
		cancel = () => {
			cancelHandler();
			cancelEvent();
		};
	});
	cancel?.();
}
