/** A prefix cache with least-recently-used eviction and a log of its changes. */
import type {CacheEvent} from '#core';

type LoggedEvent = Readonly<{event: CacheEvent; visibleMs: number}>;

const maxLoggedEvents = 20_000;

/** Cached piece keys, bounded by their tokens. */
export class PrefixCache {
	readonly #capacityTokens: number;
	readonly #pieces = new Map<string, number>();
	#tokens = 0;
	#sequence = 0;
	#log: LoggedEvent[] = [];

	constructor(capacityTokens: number) {
		this.#capacityTokens = capacityTokens;
	}

	get sequence(): number {
		return this.#sequence;
	}

	get size(): number {
		return this.#pieces.size;
	}

	has(key: string): boolean {
		return this.#pieces.has(key);
	}

	/** Tokens of the longest cached prefix of a chain. */
	measure(keys: readonly string[]): number {
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

	/** Like {@link PrefixCache.measure}, and touches what it matches: upper levels last, so that they stay longest. */
	match(keys: readonly string[]): number {
		const missing = keys.findIndex(key => !this.#pieces.has(key));
		this.#touch(missing === -1 ? keys : keys.slice(0, missing));
		return this.measure(keys);
	}

	/** Stores a chain and evicts what no longer fits; events become visible at `visibleMs`. */
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
			this.#append('stored', stored, visibleMs);
		}

		this.#touch(keys);
		this.#evict(visibleMs);
	}

	clear(visibleMs: number): void {
		this.#pieces.clear();
		this.#tokens = 0;
		this.#append('cleared', [], visibleMs);
	}

	/** Events after a sequence number that are visible at `nowMs`, in order without the later ones. */
	read(after: number, nowMs: number): readonly CacheEvent[] {
		const events: CacheEvent[] = [];
		const first = this.#log[0]?.event.sequence ?? 0;
		for (let index = Math.max(0, after + 1 - first); index < this.#log.length; index++) {
			const {event, visibleMs} = this.#log[index]!;
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
			this.#append('evicted', evicted, visibleMs);
		}
	}

	#append(kind: CacheEvent['kind'], keys: readonly string[], visibleMs: number): void {
		this.#sequence++;
		this.#log.push({event: {sequence: this.#sequence, kind, keys}, visibleMs});
		if (this.#log.length > maxLoggedEvents) {
			this.#log = this.#log.slice(-maxLoggedEvents / 2);
		}
	}
}
