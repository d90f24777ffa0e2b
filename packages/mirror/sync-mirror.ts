/**
 * Keeps a mirror in sync with the object store: lists the kind, then watches it
 * from the list's revision. Lists the kind again if the store no longer has the
 * history after that revision or has come back from an older copy, which shows in
 * its epoch, or if a call failed. A watch whose connection ended
 * says nothing about the store, so a watch that hardly waits follows it, and a list
 * if that is interrupted, too: their outcome shows whether the store answers. In a large fleet, only some instances,
 * the watchers, call the store; the mirrors of the others are updated by peers.
 */
import type {KindMirror} from './kind-mirror.ts';
import {waitForTick, type Clock} from '#clock';
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

/** Time between checks of whether this instance has become a watcher, in milliseconds. */
const watcherCheckIntervalMs = 250;

/** Delay before a retry after the first failed call, in milliseconds; doubled after each further failure. */
const minRetryDelayMs = 100;

/** Maximum delay between calls while the store does not answer, in milliseconds. After an outage, targets write their expired entries again within two seconds; the delay is half of that. */
const maxRetryDelayMs = 1000;

/** Wait of a watch that returns the changes so far at once, in milliseconds: the least that is more than none. */
const checkWaitMs = 1;

/** Minimum duration of an interrupted watch that another one may follow without a delay, in milliseconds. */
const minWatchMs = 1000;

/** The next call: a list, a watch, or a watch that returns at once, after an interrupted one. */
type Step = 'list' | 'watch' | 'check';

/** Why a step had no effect; `outdated` means that the store answered with a list that is older than the mirror. */
type StepFailure = StoreFailure | Readonly<{kind: 'outdated'; retryAfterMs?: undefined}>;

const steps: Readonly<Record<Step, (dependencies: SyncMirrorDependencies, signal: AbortSignal) => Promise<StepFailure | undefined>>> = {
	list,
	watch: async (dependencies, signal) => watch(dependencies, signal, dependencies.watchers?.isLargeFleet ? dependencies.watchers.getPace().waitMs : undefined),
	check: async (dependencies, signal) => watch(dependencies, signal, checkWaitMs),
};

/** What the end of a call means for the next one; `over_share` means that this instance has used up its share of the store's rate. */
type Outcome = 'done' | 'gone' | 'outdated' | 'interrupted' | 'over_share' | 'failed';

/** Keeps one mirror in sync until `signal` aborts. One task for each kind. */
export async function syncMirror(dependencies: SyncMirrorDependencies, signal: AbortSignal): Promise<void> {
	await new MirrorSync(dependencies).run(signal);
}

/** The calls for one mirror. */
class MirrorSync {
	readonly #dependencies: SyncMirrorDependencies;
	readonly #handlers: Readonly<Record<Outcome, (failure: StepFailure | undefined) => number>> = {
		done: () => this.#handleAnswer(),
		gone: () => this.#handleGone(),
		outdated: () => this.#handleOutdated(),
		interrupted: () => this.#handleInterruption(),
		over_share: failure => failure?.retryAfterMs ?? minRetryDelayMs,
		failed: failure => this.#handleFailure(failure),
	};

	#step: Step = 'list';
	#startedMs = 0;
	/** Number of calls that have failed since the last one that was answered. */
	#failures = 0;
	/** Number of watches that were interrupted soon after their start since the last one that was answered or lasted. */
	#interruptions = 0;
	/** Number of watches that the store could not continue since the last one that it answered. */
	#losses = 0;

	constructor(dependencies: SyncMirrorDependencies) {
		this.#dependencies = dependencies;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, watchers} = this.#dependencies;
		while (!signal.aborted) {
			if (watchers && !watchers.isWatcher()) {
				await this.#waitAsReceiver(watchers, signal);
				continue;
			}

			this.#startedMs = clock.now();
			const failure = await steps[this.#step](this.#dependencies, signal);
			const delayMs = signal.aborted ? 0 : this.#handlers[classifyOutcome(failure)](failure);
			if (delayMs > 0) {
				await clock.sleep(delayMs, signal);
			}
		}
	}

	/** Waits while this instance receives the changes from peers. */
	async #waitAsReceiver(watchers: Watchers, signal: AbortSignal): Promise<void> {
		const {clock, mirror, handleAvailability} = this.#dependencies;
		mirror.setFollowingStore(false);
		handleAvailability?.(!watchers.isStoreUnavailable());
		await waitForTick(clock, watcherCheckIntervalMs, signal);
		// Peers may have filled the mirror meanwhile; a watch can then continue from its revision, unless the store is in another epoch.
		this.#step = mirror.revision > 0 ? 'check' : 'list';
	}

	// The handlers choose the next step and return the delay before it, in milliseconds.

	#handleAnswer(): number {
		const {watchers} = this.#dependencies;
		this.#recordAvailability(true);
		const step = this.#step;
		this.#interruptions = step === 'watch' ? 0 : this.#interruptions;
		this.#losses = step === 'list' ? this.#losses : 0;
		this.#failures = 0;
		this.#step = 'watch';
		return watchers?.isLargeFleet && step !== 'check' ? watchers.getPace().pauseMs : 0;
	}

	#handleGone(): number {
		const {telemetry, mirror} = this.#dependencies;
		this.#recordAvailability(true);
		telemetry.log('object store no longer has the history after the revision; listing the kind again', {kind: mirror.kind, revision: mirror.revision, epoch: mirror.epoch});
		this.#step = 'list';
		this.#losses++;
		return this.#losses > 1 ? this.#computeRetryDelayMs(this.#losses - 1) : 0;
	}

	/** A late answer, or a store that has lost changes and names no epoch. Changes after the mirror's revision still come by watches. */
	#handleOutdated(): number {
		this.#recordAvailability(true);
		this.#step = 'watch';
		return this.#computeRetryDelayMs(Math.max(1, this.#losses));
	}

	#handleInterruption(): number {
		const hasLasted = this.#dependencies.clock.now() - this.#startedMs >= minWatchMs;
		this.#interruptions = hasLasted ? 0 : this.#interruptions + 1;
		this.#step = this.#step === 'watch' ? 'check' : 'list';
		return hasLasted ? 0 : this.#computeRetryDelayMs(this.#interruptions);
	}

	/** When the store is available again, it answers a list at once, but a watch only after the next change. */
	#handleFailure(failure: StepFailure | undefined): number {
		this.#recordAvailability(false);
		this.#failures++;
		this.#step = 'list';
		return failure?.retryAfterMs ?? this.#computeRetryDelayMs(this.#failures);
	}

	#recordAvailability(isAvailable: boolean): void {
		const {mirror, watchers, handleAvailability} = this.#dependencies;
		mirror.setFollowingStore(isAvailable);
		watchers?.recordAnswer(isAvailable);
		handleAvailability?.(isAvailable);
	}

	/** Returns the delay after the given number of attempts in a row, in milliseconds. */
	#computeRetryDelayMs(attempts: number): number {
		const {random} = this.#dependencies;
		return Math.min(maxRetryDelayMs, minRetryDelayMs * (2 ** Math.min(attempts - 1, 10))) * (0.5 + (random.next() / 2));
	}
}

/**
 * Brings a mirror up to date at once, besides the task that keeps it in sync.
 *
 * @returns whether the mirror has all changes that the store had when this was called
 */
export async function refreshMirror(mirror: KindMirror, store: ObjectStore, signal: AbortSignal): Promise<boolean> {
	const failure = mirror.revision > 0 ? await watch({mirror, store}, signal, checkWaitMs) : await list({mirror, store});
	return !failure || (failure.kind === 'gone' && !await list({mirror, store}));
}

function classifyOutcome(failure: StepFailure | undefined): Outcome {
	if (!failure) {
		return 'done';
	}

	if (failure.kind === 'gone' || failure.kind === 'outdated' || failure.kind === 'interrupted') {
		return failure.kind;
	}

	return failure.kind === 'rate_limited' && failure.retryAfterMs !== undefined ? 'over_share' : 'failed';
}

/** Lists the kind and replaces the mirror's objects. */
async function list({mirror, store}: MirroredKind): Promise<StepFailure | undefined> {
	const listed = await store.list(`${mirror.kind}/`);
	if (!listed.ok) {
		return listed.error;
	}

	const {objects, revision, epoch} = listed.value;
	return mirror.replace(objects, revision, epoch) ? undefined : {kind: 'outdated'};
}

/** Waits for the next changes of the kind and applies them to the mirror. Changes of another epoch than the mirror's are not complete after its revision. */
async function watch({mirror, store}: MirroredKind, signal: AbortSignal, waitMs: number | undefined): Promise<StepFailure | undefined> {
	const {epoch, revision: since} = mirror;
	const batch = await store.watch(`${mirror.kind}/`, since, signal, {waitMs});
	if (!batch.ok) {
		return batch.error;
	}

	const isSameEpoch = batch.value.epoch === undefined || batch.value.epoch === epoch;
	return isSameEpoch && mirror.apply(batch.value, since) ? undefined : {kind: 'gone', detail: 'the object store is in another epoch'};
}
