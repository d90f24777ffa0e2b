/**
 * Keeps a mirror level with the store: a list first, then watches from the
 * list's revision, and a new list where the history is gone or a call failed.
 */
import type {KindMirror} from './kind-mirror.ts';
import type {Clock} from '#clock';
import type {Random} from '#core';
import type {ObjectStore, StoreFailure} from '#object-store';
import type {Telemetry} from '#telemetry';

/** What following works with. */
export type FollowDeps = Readonly<{
	mirror: KindMirror;
	store: ObjectStore;
	clock: Clock;
	random: Random;
	telemetry: Telemetry;
	/** Called with each outcome of a call, or with what the callers say; `false` where the store does not answer. */
	heard?: (isAnswered: boolean) => void;
	/** Which instances call the store; without it, this one does. */
	watchers?: Watchers;
}>;

/** Says whether this instance calls the store, or hears of its changes from others. */
export type Watchers = Readonly<{
	/** Whether the instances are so many that only some call. */
	isFleet: boolean;
	isWatcher(): boolean;
	/** Whether the store is away, as far as those that call it say. */
	isAway(): boolean;
	/** Takes in whether the store answered a call of this instance. */
	note(isAnswered: boolean): void;
}>;

/** Time between looks at whether this instance should call, in milliseconds. */
const idleMs = 300;

/** Pause between watches of a kind that changes often in a fleet, in milliseconds: each change of hundreds of objects would be a call. */
const fleetPauseMs = 200;

/** Pause after a failed call, in milliseconds; doubled with each further one. */
const firstPauseMs = 100;

/** Longest pause between calls of a store that does not answer, in milliseconds: half of the two seconds in which lapsed entries return. */
const maxPauseMs = 1000;

/** Follows one kind until `signal` aborts. One task for each kind. */
export async function followKind(deps: FollowDeps, signal: AbortSignal): Promise<void> {
	const {
		mirror, clock, random, heard, watchers,
	} = deps;
	let isListed = false;
	let failures = 0;
	while (!signal.aborted) {
		if (watchers && !watchers.isWatcher()) {
			heard?.(!watchers.isAway());
			await clock.sleep(idleMs, signal);
			isListed = mirror.revision > 0;
			continue;
		}

		const failure = isListed ? await watch(deps, signal) : await list(deps);
		if (signal.aborted) {
			return;
		}

		const isAnswered = !failure || failure.kind === 'gone';
		watchers?.note(isAnswered);
		heard?.(isAnswered);
		if (!failure) {
			isListed = true;
			failures = 0;
			if (watchers?.isFleet) {
				await clock.sleep(fleetPauseMs, signal);
			}

			continue;
		}

		if (failure.kind === 'gone') {
			deps.telemetry.log('history of the store is gone, listing again', {kind: mirror.kind, revision: mirror.revision});
			isListed = false;
			continue;
		}

		// A list is answered at once when the store is back; a watch only with the next change.
		isListed = false;
		failures++;
		const pauseMs = Math.min(maxPauseMs, firstPauseMs * (2 ** Math.min(failures - 1, 10)));
		await clock.sleep(failure.retryAfterMs ?? pauseMs * (0.5 + (random.next() / 2)), signal);
	}
}

async function list({mirror, store}: FollowDeps): Promise<StoreFailure | undefined> {
	const listed = await store.list(`${mirror.kind}/`);
	if (!listed.ok) {
		return listed.error;
	}

	mirror.replace(listed.value.objects, listed.value.revision);
	return undefined;
}

async function watch({mirror, store}: FollowDeps, signal: AbortSignal): Promise<StoreFailure | undefined> {
	const since = mirror.revision;
	const batch = await store.watch(`${mirror.kind}/`, since, signal);
	if (!batch.ok) {
		return batch.error;
	}

	mirror.apply(batch.value, since);
	return undefined;
}
