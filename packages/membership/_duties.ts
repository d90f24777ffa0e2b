/**
 * Which instances do a shared duty, by rendezvous hash: all instances that
 * agree on who is live agree on it. Places are kept as long as no record
 * changes, because parts ask for them many times a second.
 */
import {hash64} from '#core';

/** Places of instances for duties. */
export class Duties {
	readonly #self: string;
	readonly #listOthers: () => readonly string[];
	readonly #ranks = new Map<string, number>();
	readonly #firsts = new Map<string, readonly string[]>();

	/**
	 * @param self this instance's incarnation
	 * @param listOthers incarnations of the other instances that are live and not leaving
	 */
	constructor(self: string, listOthers: () => readonly string[]) {
		this.#self = self;
		this.#listOthers = listOthers;
	}

	/** Place of this instance; 0 is the first. */
	readRank(duty: string): number {
		let rank = this.#ranks.get(duty);
		if (rank === undefined) {
			const own = makePlace(duty, this.#self);
			rank = this.#listOthers().filter(incarnation => makePlace(duty, incarnation) < own).length;
			this.#ranks.set(duty, rank);
		}

		return rank;
	}

	/** Incarnations of the `count` instances that come first; this one may be among them. */
	listFirst(duty: string, count: number): readonly string[] {
		const key = `${duty} ${count}`;
		let first = this.#firsts.get(key);
		if (!first) {
			first = [this.#self, ...this.#listOthers()]
				.map(incarnation => ({incarnation, place: makePlace(duty, incarnation)}))
				.toSorted((a, b) => a.place < b.place ? -1 : 1)
				.slice(0, count)
				.map(({incarnation}) => incarnation);
			this.#firsts.set(key, first);
		}

		return first;
	}

	/** Forgets all places, as after a record has changed. */
	forget(): void {
		this.#ranks.clear();
		this.#firsts.clear();
	}
}

function makePlace(duty: string, incarnation: string): string {
	return hash64(`${duty} ${incarnation}`);
}
