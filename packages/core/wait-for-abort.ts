/** Waits until a task is aborted. */

/** Resolves when `signal` aborts; at once if it is already aborted. */
export async function waitForAbort(signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		}, {once: true});
	});
}
