/**
 * Keeps a mirror in sync with the object store: lists the kind, then watches it
 * from the list's revision, and lists again if the store no longer has the
 * history after that revision or a call failed.
 */
import type {KindMirror} from './kind-mirror.ts';
import type {Clock} from '#clock';
import type {Random} from '#core';
import type {ObjectStore, StoreFailure} from '#object-store';
import type {Telemetry} from '#telemetry';

/** Dependencies of {@link syncMirror}. */
export type SyncMirrorDependencies = Readonly<{
	mirror: KindMirror;
	store: ObjectStore;
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	/** Called after each call with whether the store answered; on an instance that does not call the store, called repeatedly with whether it is available to those that do. */
	handleAvailability?: (isAnswered: boolean) => void;
	/** Decides which instances call the store. Default: this instance does. */
	watchers?: Watchers;
}>;

/** Decides whether this instance calls the store or receives its changes from peers. */
export type Watchers = Readonly<{
	/** Whether there are so many instances that only some of them call the store. */
	isLargeFleet: boolean;
	/** Returns whether this instance calls the store now. */
	isWatcher(): boolean;
	/** Returns whether the store is unavailable according to the instances that call it. */
	isStoreUnavailable(): boolean;
	/** Records whether the store answered a call of this instance. */
	recordAnswer(isAnswered: boolean): void;
}>;

/** Time between checks of whether this instance should call the store, in milliseconds. */
const watcherCheckIntervalMs = 300;

/** Pause between watches in a large fleet, in milliseconds. Without it, each change of any of hundreds of objects would cost a call. */
const largeFleetPauseMs = 200;

/** Delay before a retry after the first failed call, in milliseconds; doubled after each further failure. */
const minRetryDelayMs = 100;

/** Maximum delay between calls while the store does not answer, in milliseconds: half of the two seconds within which lapsed entries return after an outage. */
const maxRetryDelayMs = 1000;

/** Keeps one mirror in sync until `signal` aborts. One task for each kind. */
export async function syncMirror(dependencies: SyncMirrorDependencies, signal: AbortSignal): Promise<void> {
	const {
		mirror, clock, random, handleAvailability, watchers,
	} = dependencies;
	let isListed = false;
	let failures = 0;
	while (!signal.aborted) {
		if (watchers && !watchers.isWatcher()) {
			handleAvailability?.(!watchers.isStoreUnavailable());
			await clock.sleep(watcherCheckIntervalMs, signal);
			isListed = mirror.revision > 0;
			continue;
		}

		const failure = isListed ? await watch(dependencies, signal) : await list(dependencies);
		if (signal.aborted) {
			return;
		}

		const isAnswered = !failure || failure.kind === 'gone';
		watchers?.recordAnswer(isAnswered);
		handleAvailability?.(isAnswered);
		if (!failure) {
			isListed = true;
			failures = 0;
			if (watchers?.isLargeFleet) {
				await clock.sleep(largeFleetPauseMs, signal);
			}

			continue;
		}

		if (failure.kind === 'gone') {
			dependencies.telemetry.log('object store no longer has the history after the revision; listing the kind again', {kind: mirror.kind, revision: mirror.revision});
			isListed = false;
			continue;
		}

		// When the store is available again, it answers a list at once, but a watch only after the next change.
		isListed = false;
		failures++;
		const retryDelayMs = Math.min(maxRetryDelayMs, minRetryDelayMs * (2 ** Math.min(failures - 1, 10)));
		await clock.sleep(failure.retryAfterMs ?? retryDelayMs * (0.5 + (random.next() / 2)), signal);
	}
}

/** Replaces the mirror by a list of the kind. */
async function list({mirror, store}: SyncMirrorDependencies): Promise<StoreFailure | undefined> {
	const listed = await store.list(`${mirror.kind}/`);
	if (!listed.ok) {
		return listed.error;
	}

	mirror.replace(listed.value.objects, listed.value.revision);
	return undefined;
}

/** Waits for the next changes of the kind and applies them to the mirror. */
async function watch({mirror, store}: SyncMirrorDependencies, signal: AbortSignal): Promise<StoreFailure | undefined> {
	const since = mirror.revision;
	const batch = await store.watch(`${mirror.kind}/`, since, signal);
	if (!batch.ok) {
		return batch.error;
	}

	mirror.apply(batch.value, since);
	return undefined;
}
