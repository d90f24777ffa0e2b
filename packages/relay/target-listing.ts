/**
 * Which targets count as listed. An entry that goes while the store is sound
 * means that its target leaves. Entries also lapse while the store is away, and
 * live targets then write them again soon after its return; until then they
 * are held.
 */
import type {Clock} from '#clock';
import type {RelayTarget} from '#core';

/** Time after the store's return in which lapsed entries come back, in milliseconds: two seconds, as the platform states, and their way here. */
const returnMs = 2300;

/** Follows the entries and the store's outages. */
export class TargetListing {
	readonly #clock: Clock;
	readonly #held = new Map<string, RelayTarget>();
	#listed: ReadonlyMap<string, RelayTarget> = new Map();
	#isAway = false;
	#returnedMs = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	 * Takes in whether the store answered a call.
	 *
	 * @returns whether it has returned by this: what is held now has a time at which it is given up
	 */
	noteStore(isAnswered: boolean): boolean {
		const hasReturned = isAnswered && this.#isAway;
		if (hasReturned) {
			this.#returnedMs = this.#clock.now();
		}

		this.#isAway = !isAnswered;
		return hasReturned;
	}

	/** Takes in the entries as they are now. */
	update(targets: readonly RelayTarget[]): void {
		const listed = new Map(targets.map(target => [target.id, target]));
		for (const [id, target] of this.#listed) {
			if (!listed.has(id) && !target.isLeaving && this.#holds()) {
				this.#held.set(id, target);
			}
		}

		this.#listed = listed;
	}

	/** Targets that count as listed now. */
	list(): readonly RelayTarget[] {
		if (!this.#holds()) {
			this.#held.clear();
		}

		const held = [...this.#held.values()].filter(({id}) => !this.#listed.has(id));
		return [...this.#listed.values(), ...held];
	}

	/** Time until held entries are given up, in milliseconds; nothing while none is held or the store is away. */
	readHoldMs(): number | undefined {
		return this.#held.size > 0 && !this.#isAway ? Math.max(0, this.#returnedMs + returnMs - this.#clock.now()) : undefined;
	}

	#holds(): boolean {
		return this.#isAway || this.#clock.now() < this.#returnedMs + returnMs;
	}
}
