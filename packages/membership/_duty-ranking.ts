/**
 * Ranks the instances for shared duties by rendezvous hash. Instances that agree
 * on which ones are live therefore also agree on which ones perform a duty.
 * Ranks are cached until a member record changes, because callers read them many
 * times a second.
 */
import {hash64} from '#core';

/** Maximum number of cached ranks; all are dropped when it is reached. */
const maxCachedRanks = 4096;

/** Ranks of instances, by duty. */
export class DutyRanking {
	readonly #self: string;
	readonly #listOthers: () => readonly string[];
	readonly #ownRanks = new Map<string, number>();
	readonly #firstIncarnations = new Map<string, readonly string[]>();

	/**
	 * @param self this instance's incarnation
	 * @param listOthers returns the incarnations of the other instances that are neither gone nor leaving
	 */
	constructor(self: string, listOthers: () => readonly string[]) {
		this.#self = self;
		this.#listOthers = listOthers;
	}

	/** Returns the rank of this instance; 0 is the first. */
	getRank(duty: string): number {
		let rank = this.#ownRanks.get(duty);
		if (rank === undefined) {
			const ownHash = computeRankHash(duty, this.#self);
			rank = this.#listOthers().filter(incarnation => computeRankHash(duty, incarnation) < ownHash).length;
			if (this.#ownRanks.size >= maxCachedRanks) {
				this.#ownRanks.clear();
			}

			this.#ownRanks.set(duty, rank);
		}

		return rank;
	}

	/** Returns the incarnations of the `count` instances that rank first; this one may be among them. */
	listFirst(duty: string, count: number): readonly string[] {
		const key = `${duty} ${count}`;
		let first = this.#firstIncarnations.get(key);
		if (!first) {
			first = [this.#self, ...this.#listOthers()]
				.map(incarnation => ({incarnation, hash: computeRankHash(duty, incarnation)}))
				.toSorted((a, b) => a.hash < b.hash ? -1 : 1)
				.slice(0, count)
				.map(({incarnation}) => incarnation);
			this.#firstIncarnations.set(key, first);
		}

		return first;
	}

	/** Clears the cached ranks; called after a member record has changed. */
	clear(): void {
		this.#ownRanks.clear();
		this.#firstIncarnations.clear();
	}
}

function computeRankHash(duty: string, incarnation: string): string {
	return hash64(`${duty} ${incarnation}`);
}
