/**
 * Measures the request rates of prompt prefixes at this instance. A reported rate
 * rises at once with the measured rate and falls slowly, so that a frequently
 * requested prefix keeps its home targets during a pause.
 */

/** The rate of one key. */
type KeyRate = {
	/** Exponentially weighted rate, in requests per second, as of `updatedMs`. */
	rate: number;
	/** Slowly decaying maximum of `rate`. */
	peak: number;
	updatedMs: number;
};

/** Options of {@link KeyRates}. */
export type KeyRatesOptions = Readonly<{
	/** Time constant of the measured rate, in milliseconds. Default: 5000. */
	rateTimeConstantMs?: number;
	/** Time constant of the decay of the maximum, in milliseconds. Default: 60 000. */
	peakTimeConstantMs?: number;
	/** Maximum number of keys. Default: 4096. */
	maxKeys?: number;
}>;

/** Rates by key, bounded in number; evicts the least recently counted key first. */
export class KeyRates {
	readonly #rateTimeConstantMs: number;
	readonly #peakTimeConstantMs: number;
	readonly #maxKeys: number;
	readonly #entries = new Map<string, KeyRate>();

	constructor(options: KeyRatesOptions = {}) {
		this.#rateTimeConstantMs = options.rateTimeConstantMs ?? 5000;
		this.#peakTimeConstantMs = options.peakTimeConstantMs ?? 60_000;
		this.#maxKeys = options.maxKeys ?? 4096;
	}

	get size(): number {
		return this.#entries.size;
	}

	/** Counts a request. */
	add(key: string, nowMs: number): void {
		const entry = this.#decay(key, nowMs) ?? {rate: 0, peak: 0, updatedMs: nowMs};
		entry.rate += 1000 / this.#rateTimeConstantMs;
		entry.peak = Math.max(entry.peak, entry.rate);
		this.#entries.delete(key);
		this.#entries.set(key, entry);
		if (this.#entries.size > this.#maxKeys) {
			const [oldest] = this.#entries.keys();
			this.#entries.delete(oldest!);
		}
	}

	/** Returns the slowly decaying maximum of the rate of a key, in requests per second; 0 for an unknown key. */
	get(key: string, nowMs: number): number {
		return this.#decay(key, nowMs)?.peak ?? 0;
	}

	#decay(key: string, nowMs: number): KeyRate | undefined {
		const entry = this.#entries.get(key);
		if (entry) {
			const elapsedMs = Math.max(0, nowMs - entry.updatedMs);
			entry.rate *= Math.exp(-elapsedMs / this.#rateTimeConstantMs);
			entry.peak = Math.max(entry.rate, entry.peak * Math.exp(-elapsedMs / this.#peakTimeConstantMs));
			entry.updatedMs = nowMs;
		}

		return entry;
	}
}
