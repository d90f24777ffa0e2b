/**
 * Writes the entry by which other instances find this one, and again after the
 * store has come back from an older copy, which may lack it.
 */
import {waitForTick, type Clock} from '#clock';
import type {ObjectStore} from '#object-store';

export type RegistrationDependencies = Readonly<{store: ObjectStore; key: string; value: string; clock: Clock}>;

/** Minimum and maximum delay before the entry is written again after a failure, in milliseconds; the delay doubles with each failure. */
const minRetryDelayMs = 500;
const maxRetryDelayMs = 10_000;

/** Interval at which the epoch of the store is compared with the one in which the entry was written, in milliseconds. */
const compareIntervalMs = 1000;

/** Keeps the entry of this instance in the store until `signal` aborts. */
export async function registerInstance({store, key, value, clock}: RegistrationDependencies, signal: AbortSignal): Promise<void> {
	let failures = 0;
	/** Epoch of the store before the last write that it accepted. */
	let written: Readonly<{epoch: number | undefined}> | undefined;
	while (!signal.aborted) {
		const epoch = store.getEpoch?.();
		if (written && (written.epoch === epoch || written.epoch === undefined)) {
			written = {epoch};
			await waitForTick(clock, compareIntervalMs, signal);
			continue;
		}

		const put = await store.put(key, value);
		failures = put.ok ? 0 : failures + 1;
		if (put.ok) {
			written = {epoch};
		} else {
			await clock.sleep(put.error.retryAfterMs ?? Math.min(maxRetryDelayMs, minRetryDelayMs * (2 ** (failures - 1))), signal);
		}
	}
}
