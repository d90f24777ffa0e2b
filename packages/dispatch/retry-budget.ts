/**
 * Retry budgets: in any window of time, a target pool gets at most a share of
 * its first attempts as retries, and some beyond, so that retries cannot
 * multiply the load in an outage. Half of those beyond is kept for streams that
 * have begun. Shares of several instances add up to the budget of all.
 */
import type {Clock} from '#clock';

/** Options of {@link RetryBudget}. */
export type RetryBudgetOptions = Readonly<{
	/** Retries for each first attempt. Default: 0.2. */
	ratio?: number;
	/** Retries beyond that. Default: 32. */
	slack?: number;
	/** Length of the window, in milliseconds. Default: 10 000. */
	windowMs?: number;
	/** Instances that share the retries beyond the ratio. Default: one. */
	countInstances?: () => number;
}>;

/** What happened in one part of the window. */
type Slot = {readonly startMs: number; attempts: number; retries: number};

const slotsPerWindow = 20;

/** Sliding windows by pool name. */
export class RetryBudget {
	readonly #clock: Clock;
	readonly #pools = new Map<string, Slot[]>();
	readonly #ratio: number;
	readonly #slack: number;
	readonly #countInstances: () => number;
	readonly #windowMs: number;

	constructor(clock: Clock, options: RetryBudgetOptions = {}) {
		this.#clock = clock;
		this.#ratio = options.ratio ?? 0.2;
		this.#slack = options.slack ?? 32;
		this.#countInstances = options.countInstances ?? (() => 1);
		this.#windowMs = options.windowMs ?? 10_000;
	}

	/** Records a first attempt, which earns a share of a retry. */
	recordAttempt(pool: string): void {
		this.#getSlot(pool).attempts++;
	}

	/**
	 * Takes one retry out of the pool's budget.
	 *
	 * @param begun whether a part of the answer was delivered already; only such requests may use the reserved half
	 * @returns `false` when nothing is left
	 */
	take(pool: string, begun: boolean): boolean {
		const reserved = begun ? 0 : this.#readSlack() / 2;
		if (this.read(pool) - 1 < reserved) {
			return false;
		}

		this.#getSlot(pool).retries++;
		return true;
	}

	/** Retries that are left in the present window. */
	read(pool: string): number {
		const slots = this.#pools.get(pool) ?? [];
		const sinceMs = this.#clock.now() - this.#windowMs;
		let left = this.#readSlack();
		for (const {startMs, attempts, retries} of slots) {
			// The oldest slot lies partly outside: its retries count, its attempts do not.
			left += startMs >= sinceMs ? this.#ratio * attempts : 0;
			left -= startMs + this.#slotMs > sinceMs ? retries : 0;
		}

		return left;
	}

	#readSlack(): number {
		return this.#slack / this.#countInstances();
	}

	get #slotMs(): number {
		return this.#windowMs / slotsPerWindow;
	}

	#getSlot(pool: string): Slot {
		const nowMs = this.#clock.now();
		const slots = this.#pools.get(pool) ?? [];
		this.#pools.set(pool, slots);
		while (slots.length > 0 && slots[0]!.startMs + this.#slotMs <= nowMs - this.#windowMs) {
			slots.shift();
		}

		let slot = slots.at(-1);
		if (!slot || slot.startMs + this.#slotMs <= nowMs) {
			slot = {startMs: nowMs, attempts: 0, retries: 0};
			slots.push(slot);
		}

		return slot;
	}
}
