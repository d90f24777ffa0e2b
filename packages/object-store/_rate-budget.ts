/** A token bucket whose waiters are served by priority. */
import type {Cancel, Clock} from '#clock';

/** How a call takes part in the budget. */
export type BudgetRule = Readonly<{
	/** Smaller goes first. */
	rank: number;
	/** Part of the burst that this call leaves to calls of smaller rank, in [0, 1). */
	reserve: number;
	/** Longest wait, in milliseconds. */
	maxWaitMs: number;
}>;

type Waiter = {readonly rule: BudgetRule; readonly order: number; readonly settle: (isGranted: boolean) => void};

const minBurst = 4;
const maxWaiters = 4096;

/** Grants calls at a rate that may change at any time. */
export class RateBudget {
	readonly #clock: Clock;
	readonly #readRate: () => number;
	#waiters: Waiter[] = [];
	#order = 0;
	#tokens: number;
	#filledMs: number;
	#cancelPump: Cancel | undefined;

	/** @param readRate calls per second; a second's worth may come at once, at least 4 calls */
	constructor(clock: Clock, readRate: () => number) {
		this.#clock = clock;
		this.#readRate = readRate;
		this.#tokens = this.#readBurst();
		this.#filledMs = clock.now();
	}

	/** Calls that wait. */
	get waiting(): number {
		return this.#waiters.length;
	}

	/**
	 * Waits for the right to make one call.
	 *
	 * @returns `false` when none came within the rule's time
	 */
	async take(rule: BudgetRule): Promise<boolean> {
		if (this.#waiters.length >= maxWaiters) {
			return false;
		}

		return new Promise(resolve => {
			const waiter: Waiter = {
				rule, order: this.#order++,
				settle(isGranted) {
					cancel();
					resolve(isGranted);
				},
			};
			const cancel = this.#clock.after(rule.maxWaitMs, () => {
				this.#waiters = this.#waiters.filter(other => other !== waiter);
				resolve(false);
			});
			this.#waiters.push(waiter);
			this.#waiters.sort((a, b) => a.rule.rank - b.rule.rank || a.order - b.order);
			this.#serveWaiters();
		});
	}

	/** Empties the bucket and starts to refill it after a pause, in milliseconds. */
	stop(pauseMs: number): void {
		this.#tokens = Math.min(this.#tokens, 0);
		this.#filledMs = Math.max(this.#filledMs, this.#clock.now() + pauseMs);
	}

	#serveWaiters(): void {
		this.#fill();
		for (let next = this.#waiters[0]; next && this.#tokens >= this.#readNeed(next); next = this.#waiters[0]) {
			this.#tokens--;
			this.#waiters.shift();
			next.settle(true);
		}

		this.#cancelPump?.();
		const [first] = this.#waiters;
		if (first) {
			const pauseMs = Math.max(0, this.#filledMs - this.#clock.now());
			const missing = this.#readNeed(first) - this.#tokens;
			this.#cancelPump = this.#clock.after(pauseMs + Math.ceil(missing * 1000 / this.#readRate()), () => {
				this.#serveWaiters();
			});
		}
	}

	#fill(): void {
		const elapsedMs = this.#clock.now() - this.#filledMs;
		if (elapsedMs > 0) {
			this.#tokens = Math.min(this.#readBurst(), this.#tokens + (elapsedMs * this.#readRate() / 1000));
			this.#filledMs += elapsedMs;
		}
	}

	#readNeed({rule}: Waiter): number {
		return 1 + Math.max(0, (this.#readBurst() - 1) * rule.reserve);
	}

	#readBurst(): number {
		return Math.max(minBurst, this.#readRate());
	}
}
