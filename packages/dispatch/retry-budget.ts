/**
 * Retry budgets: one token bucket per target pool that fills with first
 * attempts, so that retries stay a share of the load and cannot multiply it in
 * an outage. Half of the bucket is kept for streams that have begun.
 */

/** Options of {@link RetryBudget}. */
export type RetryBudgetOptions = Readonly<{
	/** Tokens added by each first attempt. Default: 0.2. */
	perAttempt?: number;
	/** Size of a full bucket, in retries; buckets start full. Default: 32. */
	capacity?: number;
}>;

/** Token buckets by pool name. */
export class RetryBudget {
	readonly #tokens = new Map<string, number>();
	readonly #perAttempt: number;
	readonly #capacity: number;

	constructor(options: RetryBudgetOptions = {}) {
		this.#perAttempt = options.perAttempt ?? 0.2;
		this.#capacity = options.capacity ?? 32;
	}

	/** Records a first attempt, which earns a share of a retry. */
	recordAttempt(pool: string): void {
		this.#tokens.set(pool, Math.min(this.#capacity, this.read(pool) + this.#perAttempt));
	}

	/**
	 * Takes one retry out of the pool's bucket.
	 *
	 * @param begun whether a part of the answer was delivered already; only such requests may use the reserved half
	 * @returns `false` when nothing is left
	 */
	take(pool: string, begun: boolean): boolean {
		const tokens = this.read(pool);
		const reserved = begun ? 0 : this.#capacity / 2;
		if (tokens - 1 < reserved) {
			return false;
		}

		this.#tokens.set(pool, tokens - 1);
		return true;
	}

	/** Retries that the pool's bucket holds. */
	read(pool: string): number {
		return this.#tokens.get(pool) ?? this.#capacity;
	}
}
