/** Waiting for the end of a task's life. */

/** Resolves when `signal` aborts; at once when it already has. */
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
