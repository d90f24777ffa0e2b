/** Runs a background task so that an error does not end it for good. */
import type {Clock} from '#clock';
import {recordEscapedError, type Telemetry} from '#telemetry';

export type TaskDependencies = Readonly<{clock: Clock; telemetry: Telemetry}>;

/** Delay before a task that has failed is started again, in milliseconds. */
const restartDelayMs = 1000;

/** Runs a task until it returns or `signal` aborts; one that fails is started again after a delay. */
export async function runTask(task: string, run: (signal: AbortSignal) => Promise<void>, {clock, telemetry}: TaskDependencies, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		try {
			await run(signal);
			return;
		} catch (error) {
			recordEscapedError(telemetry, 'task', error, {task});
		}

		await clock.sleep(restartDelayMs, signal);
	}
}
