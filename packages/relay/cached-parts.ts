/**
 * Records which targets have lately read which parts of prompts and so have
 * them cached. A prompt is then sent to a target that holds its parts, or to
 * another target, which can fetch the parts from a holder.
 */
import type {Cancel} from '#clock';

/** Time after which a part counts as evicted, in milliseconds: by then, the engine has evicted it to make room for the last parts of other prompts, which are not shared. */
const retentionMs = 20_000;

/** Maximum number of recorded parts; the least recently used is dropped first. */
const maxParts = 20_000;

/** Maximum number of targets recorded per part; the least recently used is dropped first. */
const maxHolders = 4;

/** A part and the incarnation of a target that has it cached. The key consists of the scope, a slash and the part's own key. */
export type CachedPart = Readonly<{key: string; incarnation: string}>;

/** Parts by key, each with the targets that hold it. */
export class CachedParts {
	/** Times at which the parts were last read, in milliseconds, by key and by incarnation; the part and the holder used last are at the end. */
	readonly #parts = new Map<string, Map<string, number>>();

	/** Parts that have not been sent to the peers yet. */
	#newParts: CachedPart[] = [];
	readonly #newPartHandlers = new Set<() => void>();

	/** Number of recorded parts. */
	get size(): number {
		return this.#parts.size;
	}

	/**
	 * Records that a target reads a part at `nowMs`.
	 *
	 * @returns whether the target was not known to hold the part
	 */
	record(key: string, incarnation: string, nowMs: number): boolean {
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

	/** Records that this instance sends a part to a target, and queues the part for the peers if it is new. */
	recordSent(key: string, incarnation: string, nowMs: number): void {
		if (this.record(key, incarnation, nowMs)) {
			this.#newParts.push({key, incarnation});
			for (const handler of this.#newPartHandlers) {
				handler();
			}
		}
	}

	/** Calls `handler` for each new part that is queued for the peers, and at once if there are some already. */
	subscribeNewParts(handler: () => void): Cancel {
		this.#newPartHandlers.add(handler);
		if (this.#newParts.length > 0) {
			handler();
		}

		return () => {
			this.#newPartHandlers.delete(handler);
		};
	}

	/** Returns the new parts for the peers and clears the queue; parts beyond `maxCount` are dropped. */
	takeNewParts(maxCount: number): readonly CachedPart[] {
		const newParts = this.#newParts.slice(0, maxCount);
		this.#newParts = [];
		return newParts;
	}

	/** Whether a target is believed to have a part cached. */
	has(key: string, incarnation: string, nowMs: number): boolean {
		const recordedMs = this.#parts.get(key)?.get(incarnation);
		return recordedMs !== undefined && nowMs - recordedMs <= retentionMs;
	}

	/** Lists the incarnations of targets that are believed to have a part cached, the newest first. */
	listHolders(key: string, nowMs: number): readonly string[] {
		return [...this.#parts.get(key) ?? []].filter(([, recordedMs]) => nowMs - recordedMs <= retentionMs).map(([incarnation]) => incarnation).toReversed();
	}

	/** Records that a target holds a part, if the part is recorded for any target. */
	recordIfKnown(key: string, incarnation: string, nowMs: number): void {
		if (this.#parts.has(key)) {
			this.record(key, incarnation, nowMs);
		}
	}

	/** Removes a target from the holders of a part, for example after an eviction or a refusal. */
	remove(key: string, incarnation: string): void {
		this.#parts.get(key)?.delete(incarnation);
	}
}
