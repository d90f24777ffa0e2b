/**
 * The request rates of prompt prefixes at this instance: they rise with the
 * measured rate at once and fall slowly, so that a hot prefix keeps its
 * replicas through a pause.
 */

type Entry = {
	/** Exponentially weighted rate, in requests per second, as of `atMs`. */
	rate: number;
	/** Slowly falling maximum of `rate`. */
	peak: number;
	atMs: number;
};

/** Options of {@link KeyRates}. */
export type KeyRatesOptions = Readonly<{
	/** Time constant of the measured rate, in milliseconds. Default: 5000. */
	riseMs?: number;
	/** Time constant of the fall, in milliseconds. Default: 60 000. */
	fallMs?: number;
	/** Most keys kept. Default: 4096. */
	maxKeys?: number;
}>;

/** Rates by key, bounded; the key seen longest ago is dropped first. */
export class KeyRates {
	readonly #riseMs: number;
	readonly #fallMs: number;
	readonly #maxKeys: number;
	readonly #entries = new Map<string, Entry>();

	constructor(options: KeyRatesOptions = {}) {
		this.#riseMs = options.riseMs ?? 5000;
		this.#fallMs = options.fallMs ?? 60_000;
		this.#maxKeys = options.maxKeys ?? 4096;
	}

	get size(): number {
		return this.#entries.size;
	}

	/** Counts a request. */
	add(key: string, nowMs: number): void {
		const entry = this.#decay(key, nowMs) ?? {rate: 0, peak: 0, atMs: nowMs};
		entry.rate += 1000 / this.#riseMs;
		entry.peak = Math.max(entry.peak, entry.rate);
		this.#entries.delete(key);
		this.#entries.set(key, entry);
		if (this.#entries.size > this.#maxKeys) {
			const [oldest] = this.#entries.keys();
			this.#entries.delete(oldest!);
		}
	}

	/** Requests per second of a key: the measured rate, or its slowly falling maximum. */
	get(key: string, nowMs: number): number {
		return this.#decay(key, nowMs)?.peak ?? 0;
	}

	#decay(key: string, nowMs: number): Entry | undefined {
		const entry = this.#entries.get(key);
		if (entry) {
			const elapsedMs = Math.max(0, nowMs - entry.atMs);
			entry.rate *= Math.exp(-elapsedMs / this.#riseMs);
			entry.peak = Math.max(entry.rate, entry.peak * Math.exp(-elapsedMs / this.#fallMs));
			entry.atMs = nowMs;
		}

		return entry;
	}
}
