/**
 * Remembers on which targets parts of prompts were lately read, so that a
 * prompt goes where its parts are, or its target can fetch them from there.
 */

/** Time after which a part counts as evicted, in milliseconds: own parts of other prompts push it out. */
const keptMs = 20_000;

/** Parts kept; the one used longest ago is forgotten first. */
const maxParts = 20_000;

/** Targets remembered for a part. */
const maxHolders = 4;

/** A part and a target that holds it. */
export type PlacedPart = Readonly<{key: string; incarnation: string}>;

/** Parts by key, each with its holders. */
export class PlacedParts {
	readonly #parts = new Map<string, Map<string, number>>();

	#news: PlacedPart[] = [];

	/** Parts kept. */
	get size(): number {
		return this.#parts.size;
	}

	/**
	 * Records that a target reads a part now.
	 *
	 * @returns whether it was not known to hold the part
	 */
	note(key: string, incarnation: string, nowMs: number): boolean {
		const isNew = !this.has(key, incarnation, nowMs);
		const holders = this.#parts.get(key) ?? new Map<string, number>();
		this.#parts.delete(key);
		this.#parts.set(key, holders);
		holders.delete(incarnation);
		holders.set(incarnation, nowMs);
		if (holders.size > maxHolders) {
			const [oldest] = holders.keys();
			holders.delete(oldest!);
		}

		if (this.#parts.size > maxParts) {
			const [oldest] = this.#parts.keys();
			this.#parts.delete(oldest!);
		}

		return isNew;
	}

	/** Records that this instance sends a part to a target, and keeps it for the peers where that is news. */
	place(key: string, incarnation: string, nowMs: number): void {
		if (this.note(key, incarnation, nowMs)) {
			this.#news.push({key, incarnation});
		}
	}

	/** Takes what is news for the peers; what is more than `most` is dropped. */
	takeNews(most: number): readonly PlacedPart[] {
		const news = this.#news.slice(0, most);
		this.#news = [];
		return news;
	}

	/** Whether a target is believed to have a part cached. */
	has(key: string, incarnation: string, nowMs: number): boolean {
		const atMs = this.#parts.get(key)?.get(incarnation);
		return atMs !== undefined && nowMs - atMs <= keptMs;
	}

	/** Targets that are believed to have a part cached, the newest first. */
	listHolders(key: string, nowMs: number): readonly string[] {
		return [...this.#parts.get(key) ?? []].filter(([, atMs]) => nowMs - atMs <= keptMs).map(([incarnation]) => incarnation).toReversed();
	}

	/** Renews that a target holds a part, where the part is one that this instance knows. */
	confirm(key: string, incarnation: string, nowMs: number): void {
		if (this.#parts.has(key)) {
			this.note(key, incarnation, nowMs);
		}
	}

	/** Forgets what a target holds, as after it crashed or refused. */
	forget(key: string, incarnation: string): void {
		this.#parts.get(key)?.delete(incarnation);
	}
}
