/** Tracks the names of the instances among which a limit is divided. */
import type {Clock} from '#clock';

/** Time for which a name is kept after it was last on the platform's list or among the live peers, in milliseconds. */
const nameRetentionMs = 60_000;

/** Age up to which the platform's list counts as fresh, in milliseconds. */
const maxListAgeMs = 30_000;

/**
 * Names of instances, from the platform's list and the live peers. A new name
 * counts at once. A name is removed after a minute in which neither the list nor
 * the peers contained it, and only while the list is fresh, because an instance
 * that is merely unreachable still uses its share.
 */
export class InstanceNames {
	readonly #clock: Clock;
	readonly #self: string;
	readonly #expectedCount: number;
	readonly #lastSeenMs = new Map<string, number>();
	#listUpdatedMs: number | undefined;
	#sortedNames: readonly string[];

	/** @param expectedCount number of instances assumed until the first list arrives */
	constructor(clock: Clock, self: string, expectedCount: number) {
		this.#clock = clock;
		this.#self = self;
		this.#expectedCount = expectedCount;
		this.#sortedNames = [self];
	}

	/** Records the names of live instances, and removes expired names while the list is fresh. */
	recordLive(names: readonly string[]): void {
		const now = this.#clock.now();
		for (const name of [this.#self, ...names]) {
			this.#lastSeenMs.set(name, now);
		}

		const isFresh = this.#listUpdatedMs !== undefined && now - this.#listUpdatedMs <= maxListAgeMs;
		for (const [name, lastSeenMs] of this.#lastSeenMs) {
			if (isFresh && now - lastSeenMs > nameRetentionMs) {
				this.#lastSeenMs.delete(name);
			}
		}

		this.#sortedNames = [...this.#lastSeenMs.keys()].toSorted((a, b) => a < b ? -1 : 1);
	}

	/** Records the names on the platform's list. */
	recordList(names: readonly string[]): void {
		this.#listUpdatedMs = this.#clock.now();
		this.recordLive(names);
	}

	/** Returns the number of instances and this one's rank among them, from 0. The rank is rotated by a hash of the key, so that remainders of different limits go to different instances. */
	computeRank(key: string): Readonly<{count: number; rank: number}> {
		const knownCount = this.#sortedNames.length;
		const count = this.#listUpdatedMs === undefined ? Math.max(knownCount, this.#expectedCount) : knownCount;
		let offset = 0;
		for (let index = 0; index < key.length; index++) {
			offset = ((offset * 31) + key.codePointAt(index)!) % count;
		}

		return {count, rank: (this.#sortedNames.indexOf(this.#self) + offset) % count};
	}
}
