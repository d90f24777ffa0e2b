/** A prefix cache with least-recently-used eviction and a log of its changes. */
import type {CacheEvent} from '#core';

/** A change of the cache, and the time from which readers see it. */
type LoggedEvent = Readonly<{event: CacheEvent; visibleMs: number}>;

/** Maximum number of events in the log. Above it, only the newer half is retained. */
const maxLoggedEvents = 20_000;

/** Cached pieces by key, bounded by their total number of tokens. */
export class PrefixCache {
	readonly #capacityTokens: number;
	readonly #pieces = new Map<string, number>();
	#tokens = 0;
	#sequence = 0;
	#eventLog: LoggedEvent[] = [];

	constructor(capacityTokens: number) {
		this.#capacityTokens = capacityTokens;
	}

	/** Sequence number of the last change. */
	get sequence(): number {
		return this.#sequence;
	}

	get size(): number {
		return this.#pieces.size;
	}

	has(key: string): boolean {
		return this.#pieces.has(key);
	}

	/** Counts the tokens of the longest cached prefix of a chain. */
	countCachedTokens(keys: readonly string[]): number {
		let count = 0;
		for (const key of keys) {
			const tokens = this.#pieces.get(key);
			if (tokens === undefined) {
				break;
			}

			count += tokens;
		}

		return count;
	}

	/**
	 * Like {@link PrefixCache.countCachedTokens}, but also marks the matched pieces as
	 * used. Earlier pieces are marked last, so that a chain is evicted from its end.
	 */
	match(keys: readonly string[]): number {
		const firstMissingIndex = keys.findIndex(key => !this.#pieces.has(key));
		this.#touch(firstMissingIndex === -1 ? keys : keys.slice(0, firstMissingIndex));
		return this.countCachedTokens(keys);
	}

	/** Stores a chain and evicts pieces over the capacity. The events become visible at `visibleMs`. */
	store(keys: readonly string[], tokens: readonly number[], visibleMs: number): void {
		const stored: string[] = [];
		for (const [index, key] of keys.entries()) {
			if (!this.#pieces.has(key)) {
				this.#pieces.set(key, tokens[index]!);
				this.#tokens += tokens[index]!;
				stored.push(key);
			}
		}

		if (stored.length > 0) {
			this.#logEvent('stored', stored, visibleMs);
		}

		this.#touch(keys);
		this.#evict(visibleMs);
	}

	clear(visibleMs: number): void {
		this.#pieces.clear();
		this.#tokens = 0;
		this.#logEvent('cleared', [], visibleMs);
	}

	/** Lists the events after a sequence number, in order, up to the first that is not visible yet at `nowMs`. */
	listEvents(afterSequence: number, nowMs: number): readonly CacheEvent[] {
		const events: CacheEvent[] = [];
		const firstSequence = this.#eventLog[0]?.event.sequence ?? 0;
		for (let index = Math.max(0, afterSequence + 1 - firstSequence); index < this.#eventLog.length; index++) {
			const {event, visibleMs} = this.#eventLog[index]!;
			if (visibleMs > nowMs) {
				break;
			}

			events.push(event);
		}

		return events;
	}

	#touch(keys: readonly string[]): void {
		for (const key of keys.toReversed()) {
			const tokens = this.#pieces.get(key)!;
			this.#pieces.delete(key);
			this.#pieces.set(key, tokens);
		}
	}

	#evict(visibleMs: number): void {
		const evicted: string[] = [];
		for (const [key, tokens] of this.#pieces) {
			if (this.#tokens <= this.#capacityTokens) {
				break;
			}

			this.#pieces.delete(key);
			this.#tokens -= tokens;
			evicted.push(key);
		}

		if (evicted.length > 0) {
			this.#logEvent('evicted', evicted, visibleMs);
		}
	}

	#logEvent(kind: CacheEvent['kind'], keys: readonly string[], visibleMs: number): void {
		this.#sequence++;
		this.#eventLog.push({event: {sequence: this.#sequence, kind, keys}, visibleMs});
		if (this.#eventLog.length > maxLoggedEvents) {
			this.#eventLog = this.#eventLog.slice(-maxLoggedEvents / 2);
		}
	}
}
