/** The instances that a limit is divided among. */
import type {Clock} from '#clock';

const forgetMs = 60_000;
const freshListMs = 30_000;

/**
 * Names of instances from the platform's list and the live peers. A new name
 * counts at once. A name is dropped only when a fresh list has not had it for a
 * minute: a peer that is merely out of reach goes on using its part.
 */
export class InstanceNames {
	readonly #clock: Clock;
	readonly #self: string;
	readonly #expected: number;
	readonly #seenMs = new Map<string, number>();
	#listedMs: number | undefined;
	#sorted: readonly string[];

	/** @param expected instances until the first list */
	constructor(clock: Clock, self: string, expected: number) {
		this.#clock = clock;
		this.#self = self;
		this.#expected = expected;
		this.#sorted = [self];
	}

	/** Takes in the names of the live peers. */
	see(names: readonly string[]): void {
		const now = this.#clock.now();
		for (const name of [this.#self, ...names]) {
			this.#seenMs.set(name, now);
		}

		const isFresh = this.#listedMs !== undefined && now - this.#listedMs <= freshListMs;
		for (const [name, seenMs] of this.#seenMs) {
			if (isFresh && now - seenMs > forgetMs) {
				this.#seenMs.delete(name);
			}
		}

		this.#sorted = [...this.#seenMs.keys()].toSorted((a, b) => a < b ? -1 : 1);
	}

	/** Takes in the names on the platform's list. */
	readList(names: readonly string[]): void {
		this.#listedMs = this.#clock.now();
		this.see(names);
	}

	/** Number of instances, and this one's rank among them; the ranks of a key start at another instance than those of the next. */
	place(key: string): Readonly<{count: number; rank: number}> {
		const known = this.#sorted.length;
		const count = this.#listedMs === undefined ? Math.max(known, this.#expected) : known;
		let start = 0;
		for (let index = 0; index < key.length; index++) {
			start = ((start * 31) + key.codePointAt(index)!) % count;
		}

		return {count, rank: (this.#sorted.indexOf(this.#self) + start) % count};
	}
}
