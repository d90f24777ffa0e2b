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
	/** Called with each outcome of a call; `false` where the store did not answer. */
	heard?: (isAnswered: boolean) => void;
}>;

/** Pause after a failed call, in milliseconds; doubled with each further one. */
const firstPauseMs = 100;

/** Longest pause between calls of a store that does not answer, in milliseconds: half of the two seconds in which lapsed entries return. */
const maxPauseMs = 1000;

/** Follows one kind until `signal` aborts. One task for each kind. */
export async function followKind(deps: FollowDeps, signal: AbortSignal): Promise<void> {
	const {mirror, clock, random, heard} = deps;
	let isListed = false;
	let failures = 0;
	while (!signal.aborted) {
		const failure = isListed ? await watch(deps, signal) : await list(deps);
		if (signal.aborted) {
			return;
		}

		const isAnswered = !failure || failure.kind === 'gone';
		heard?.(isAnswered);
		if (!failure) {
			isListed = true;
			failures = 0;
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
