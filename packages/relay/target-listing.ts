/**
 * Determines which targets count as listed. If an entry disappears while the
 * store is available, its target no longer serves. Entries also expire during
 * an outage of the store, and live targets write them again soon after it;
 * until then, the expired entries are retained.
 */
import type {Clock} from '#clock';
import type {RelayTarget} from '#core';

/** Time after an outage of the store within which expired entries reappear, in milliseconds: two seconds, as the platform states, plus the time until the entries reach this instance. */
const relistingMs = 2300;

/** Tracks the entries and the outages of the store. */
export class TargetListing {
	readonly #clock: Clock;
	readonly #retained = new Map<string, RelayTarget>();
	#listed: ReadonlyMap<string, RelayTarget> = new Map();
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

	/** Replaces the entries with those that the store has now. */
	update(targets: readonly RelayTarget[]): void {
		const listed = new Map(targets.map(target => [target.id, target]));
		for (const [id, target] of this.#listed) {
			if (!listed.has(id) && !target.isDraining && this.#isRetaining()) {
				this.#retained.set(id, target);
			}
		}

		this.#listed = listed;
	}

	/** Lists the targets that count as listed now, including retained ones. */
	list(): readonly RelayTarget[] {
		if (!this.#isRetaining()) {
			this.#retained.clear();
		}

		const retained = [...this.#retained.values()].filter(({id}) => !this.#listed.has(id));
		return [...this.#listed.values(), ...retained];
	}

	/** Returns the time until retained entries are dropped, in milliseconds, or `undefined` if none is retained or the store is unavailable. */
	computeRetentionMs(): number | undefined {
		return this.#retained.size > 0 && !this.#isStoreDown ? Math.max(0, this.#storeRecoveredMs + relistingMs - this.#clock.now()) : undefined;
	}

	#isRetaining(): boolean {
		return this.#isStoreDown || this.#clock.now() < this.#storeRecoveredMs + relistingMs;
	}
}
