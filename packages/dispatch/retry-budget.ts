/**
 * Retry budgets limit the retries of each target pool, so that retries cannot
 * multiply the load in an outage. In any sliding window, retries are limited to
 * a fixed ratio of the first attempts plus a constant slack. Half of the slack
 * is reserved for streams that have begun. The instances share the slack equally,
 * so that their budgets add up to that of the whole deployment.
 */
import type {Clock} from '#clock';

/** Options of {@link RetryBudget}. */
export type RetryBudgetOptions = Readonly<{
	/** Number of retries that each first attempt adds to the budget. Default: 0.2. */
	ratio?: number;
	/** Number of retries per window that are allowed regardless of first attempts. Default: 32. */
	slack?: number;
	/** Length of the window, in milliseconds. Default: 10 000. */
	windowMs?: number;
	/** Returns the number of instances that share the slack. Default: always 1. */
	countInstances?: () => number;
}>;

/** Counts of one part of the window. */
type WindowSlot = {readonly startMs: number; firstAttempts: number; retries: number};

const slotsPerWindow = 20;

/** Retry budgets of target pools, by pool name. */
export class RetryBudget {
	readonly #clock: Clock;
	readonly #pools = new Map<string, WindowSlot[]>();
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

	/** Records a first attempt, which adds `ratio` retries to the budget. */
	recordFirstAttempt(pool: string): void {
		this.#getSlot(pool).firstAttempts++;
	}

	/**
	 * Acquires one retry from the pool's budget.
	 *
	 * @param hasBegun whether a part of the answer was delivered already; only such requests may use the reserved half of the slack
	 * @returns `false` when the budget is spent
	 */
	acquire(pool: string, hasBegun: boolean): boolean {
		if (!this.canAcquire(pool, hasBegun)) {
			return false;
		}

		this.#getSlot(pool).retries++;
		return true;
	}

	/** Whether {@link RetryBudget.acquire} would succeed now. */
	canAcquire(pool: string, hasBegun: boolean): boolean {
		const reserved = hasBegun ? 0 : this.#computeSlack() / 2;
		return this.getRemaining(pool) - 1 >= reserved;
	}

	/** Number of retries left in the current window. */
	getRemaining(pool: string): number {
		const slots = this.#pools.get(pool) ?? [];
		const windowStartMs = this.#clock.now() - this.#windowMs;
		let remaining = this.#computeSlack();
		for (const {startMs, firstAttempts, retries} of slots) {
			// The oldest slot may lie partly outside the window. To stay within the limit, its retries count and its first attempts do not.
			remaining += startMs >= windowStartMs ? this.#ratio * firstAttempts : 0;
			remaining -= startMs + this.#slotMs > windowStartMs ? retries : 0;
		}

		return remaining;
	}

	#computeSlack(): number {
		return this.#slack / this.#countInstances();
	}

	get #slotMs(): number {
		return this.#windowMs / slotsPerWindow;
	}

	#getSlot(pool: string): WindowSlot {
		const nowMs = this.#clock.now();
		const slots = this.#pools.get(pool) ?? [];
		this.#pools.set(pool, slots);
		while (slots.length > 0 && slots[0]!.startMs + this.#slotMs <= nowMs - this.#windowMs) {
			slots.shift();
		}

		let slot = slots.at(-1);
		if (!slot || slot.startMs + this.#slotMs <= nowMs) {
			slot = {startMs: nowMs, firstAttempts: 0, retries: 0};
			slots.push(slot);
		}

		return slot;
	}
}
