/**
 * Keeps a mirror in sync with the object store: lists the kind, then watches it
 * from the list's revision. Lists the kind again if the store no longer has the
 * history after that revision, or if a call failed. In a large fleet, only some
 * instances, the watchers, call the store; the mirrors of the others are updated
 * by peers.
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
	/**
	 * Called repeatedly with whether the store is available: on a watcher, whether
	 * the store answered its last call; on any other instance, whether the store is
	 * available according to the watchers.
	 */
	handleAvailability?: (isAvailable: boolean) => void;
	/** Determines whether this instance is a watcher. Default: it is. */
	watchers?: Watchers;
}>;

/** How often a watcher watches. */
export type WatchPace = Readonly<{
	/** See {@link WatchOptions.waitMs}. */
	waitMs?: number;
	/** Pause between watches, in milliseconds. Changes are collected in the pause; without it, each change of any of hundreds of objects would cost a call. */
	pauseMs: number;
}>;

/** Determines whether this instance calls the store or receives changes from peers. */
export type Watchers = Readonly<{
	/** Whether the fleet is so large that only some instances call the store. */
	isLargeFleet: boolean;
	/** Returns whether this instance should call the store now. */
	isWatcher(): boolean;
	/** Returns how often this instance watches in a large fleet. */
	getPace(): WatchPace;
	/** Returns whether the store is unavailable according to the watchers. */
	isStoreUnavailable(): boolean;
	/** Records whether the store answered a call of this instance. */
	recordAnswer(isAnswered: boolean): void;
}>;

type MirroredKind = Pick<SyncMirrorDependencies, 'mirror' | 'store'>;

/** Waiting time of a watch that returns at once, with or without changes, in milliseconds. */
const noWaitMs = 1;

/** Time between checks of whether this instance has become a watcher, in milliseconds. */
const watcherCheckIntervalMs = 300;

/** Delay before a retry after the first failed call, in milliseconds; doubled after each further failure. */
const minRetryDelayMs = 100;

/** Maximum delay between calls while the store does not answer, in milliseconds. After an outage, targets write their expired entries again within two seconds; the delay is half of that. */
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
			// Peers may have filled the mirror meanwhile; a watch can then continue from its revision.
			isListed = mirror.revision > 0;
			continue;
		}

		const failure = isListed ? await watch(dependencies, signal, watchers?.isLargeFleet ? watchers.getPace().waitMs : undefined) : await list(dependencies);
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
				await clock.sleep(watchers.getPace().pauseMs, signal);
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

/**
 * Brings a mirror up to date at once, besides the task that keeps it in sync.
 *
 * @returns whether the mirror has all changes that the store had when this was called
 */
export async function refreshMirror(mirror: KindMirror, store: ObjectStore, signal: AbortSignal): Promise<boolean> {
	const failure = mirror.revision > 0 ? await watch({mirror, store}, signal, noWaitMs) : await list({mirror, store});
	return !failure || (failure.kind === 'gone' && !await list({mirror, store}));
}

/** Lists the kind and replaces the mirror's objects. */
async function list({mirror, store}: MirroredKind): Promise<StoreFailure | undefined> {
	const listed = await store.list(`${mirror.kind}/`);
	if (!listed.ok) {
		return listed.error;
	}

	mirror.replace(listed.value.objects, listed.value.revision);
	return undefined;
}

/** Waits for the next changes of the kind and applies them to the mirror. */
async function watch({mirror, store}: MirroredKind, signal: AbortSignal, waitMs: number | undefined): Promise<StoreFailure | undefined> {
	const since = mirror.revision;
	const batch = await store.watch(`${mirror.kind}/`, since, signal, {waitMs});
	if (!batch.ok) {
		return batch.error;
	}

	mirror.apply(batch.value, since);
	return undefined;
}
