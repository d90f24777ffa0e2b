/**
 * Determines which targets count as listed. If an entry disappears while the
 * store is available, its target no longer serves. Entries also expire during
 * an outage of the store, and live targets write them again soon after it;
 * until then, the expired entries are retained. A store that comes back from an
 * older copy also has entries as they were before: of targets that have drained
 * since then, and of targets that had left.
 */
import type {Clock} from '#clock';
import type {RelayTarget} from '#core';

/** Time after an outage of the store within which expired entries reappear, in milliseconds: two seconds, as the platform states, plus the time until the entries reach this instance. */
const relistingMs = 2300;

/** Time after the store has come back from an older copy for which an entry that had been removed is not listed, in milliseconds: by then, the copy's entries of targets that have left are removed again. */
const reappearanceMs = 5000;

/** Time for which a removed entry is remembered, in milliseconds: longer than the age of any copy. */
const removalRetentionMs = 60_000;

/** Tracks the entries and the outages of the store. */
export class TargetListing {
	readonly #clock: Clock;
	readonly #retained = new Map<string, RelayTarget>();
	#listed: ReadonlyMap<string, RelayTarget> = new Map();
	/** Time since which targets drain, by incarnation. */
	readonly #drainingMs = new Map<string, number>();
	/** Time of removal of entries that have not expired in an outage, by incarnation. */
	readonly #removedMs = new Map<string, number>();
	#restoredMs = Number.NEGATIVE_INFINITY;
	#isStoreDown = false;
	#storeRecoveredMs = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	 * Records whether the store answered a call.
	 *
	 * @returns whether the call ends an outage; retained entries are dropped a fixed time after that
	 */
	recordStoreCall(isAnswered: boolean): boolean {
		const hasRecovered = isAnswered && this.#isStoreDown;
		if (hasRecovered) {
			this.#storeRecoveredMs = this.#clock.now();
		}

		this.#isStoreDown = !isAnswered;
		return hasRecovered;
	}

	/** Records that the store has come back from an older copy: what was written since then is missing until it is written again. */
	recordRestore(): void {
		this.#restoredMs = this.#clock.now();
		this.#storeRecoveredMs = this.#restoredMs;
	}

	/** Replaces the entries with those that the store has now. */
	update(targets: readonly RelayTarget[]): void {
		const listed = new Map(targets.map(target => [target.id, this.#hasDrained(target) ? {...target, isDraining: true} : target]));
		for (const [id, target] of this.#listed) {
			if (!listed.has(id)) {
				this.#recordRemoval(id, target);
			}
		}

		this.#recordDraining([...listed.values()]);
		this.#listed = listed;
	}

	/** Lists the targets that count as listed now, including retained ones. */
	list(): readonly RelayTarget[] {
		if (!this.#isRetaining()) {
			this.#retained.clear();
		}

		const retained = [...this.#retained.values()].filter(({id}) => !this.#listed.has(id));
		return [...[...this.#listed.values()].filter(target => !this.#hasLeft(target)), ...retained];
	}

	/** Returns the time until {@link TargetListing.list} changes without an update, in milliseconds, or `undefined` if it does not. */
	computeRetentionMs(): number | undefined {
		const nowMs = this.#clock.now();
		if (this.#retained.size > 0 && !this.#isStoreDown) {
			return Math.max(0, this.#storeRecoveredMs + relistingMs - nowMs);
		}

		return [...this.#listed.values()].some(target => this.#hasLeft(target)) ? this.#restoredMs + reappearanceMs - nowMs : undefined;
	}

	#recordDraining(targets: readonly RelayTarget[]): void {
		const listed = new Map(targets.map(target => [target.incarnation, target]));
		for (const incarnation of this.#drainingMs.keys()) {
			if (listed.get(incarnation)?.isDraining === false || (!listed.has(incarnation) && !this.#removedMs.has(incarnation))) {
				this.#drainingMs.delete(incarnation);
			}
		}

		for (const {incarnation} of targets.filter(({isDraining}) => isDraining)) {
			this.#drainingMs.set(incarnation, this.#drainingMs.get(incarnation) ?? this.#clock.now());
		}
	}

	#recordRemoval(id: string, target: RelayTarget): void {
		const nowMs = this.#clock.now();
		if (!target.isDraining && !this.#hasLeft(target) && this.#isRetaining()) {
			this.#retained.set(id, target);
			return;
		}

		this.#removedMs.set(target.incarnation, nowMs);
		for (const [incarnation, removedMs] of this.#removedMs) {
			if (removedMs < nowMs - removalRetentionMs) {
				this.#removedMs.delete(incarnation);
			}
		}
	}

	/** Whether a target drained before the store came back from an older copy, which may have its entry as it was before. */
	#hasDrained({incarnation}: RelayTarget): boolean {
		return (this.#drainingMs.get(incarnation) ?? Number.POSITIVE_INFINITY) < this.#restoredMs;
	}

	/** Whether an entry is back only because the store came back from a copy that is older than its removal. */
	#hasLeft({incarnation}: RelayTarget): boolean {
		const removedMs = this.#removedMs.get(incarnation);
		return removedMs !== undefined && removedMs < this.#restoredMs && this.#clock.now() < this.#restoredMs + reappearanceMs;
	}

	#isRetaining(): boolean {
		return this.#isStoreDown || this.#clock.now() < this.#storeRecoveredMs + relistingMs;
	}
}
