/** A token bucket that grants waiting calls in order of priority. */
import type {Cancel, Clock} from '#clock';

/** Priority of a call and its limits in the budget. */
export type BudgetRule = Readonly<{
	/** Priority; calls with a smaller rank are granted first. */
	rank: number;
	/** Share of the burst, in [0, 1), that this call must leave in the bucket for calls with a smaller rank. */
	reservedShare: number;
	/** Maximum wait for a token, in milliseconds. */
	maxWaitMs: number;
}>;

type Waiter = {readonly rule: BudgetRule; readonly sequence: number; readonly finish: (isGranted: boolean) => void};

const minBurst = 4;
const maxWaiters = 4096;

/** Grants calls at a rate that may change over time. */
export class RateBudget {
	readonly #clock: Clock;
	readonly #getRate: () => number;
	#waiters: Waiter[] = [];
	#nextSequence = 0;
	#tokens: number;
	/** Time up to which the bucket has been refilled; in the future during a pause. */
	#refilledUntilMs: number;
	#cancelTimer: Cancel | undefined;

	/** @param getRate returns the rate in calls per second; the burst is one second's worth of calls, but at least 4 */
	constructor(clock: Clock, getRate: () => number) {
		this.#clock = clock;
		this.#getRate = getRate;
		this.#tokens = this.#computeBurst();
		this.#refilledUntilMs = clock.now();
	}

	/** Number of calls that wait for a token. */
	get waitingCount(): number {
		return this.#waiters.length;
	}

	/**
	 * Waits for a token, which permits one call.
	 *
	 * @returns `false` if no token came within the rule's `maxWaitMs`, or if too many calls wait already
	 */
	async acquire(rule: BudgetRule): Promise<boolean> {
		if (this.#waiters.length >= maxWaiters) {
			return false;
		}

		return new Promise(resolve => {
			const waiter: Waiter = {
				rule, sequence: this.#nextSequence++,
				finish(isGranted) {
					cancel();
					resolve(isGranted);
				},
			};
			const cancel = this.#clock.setTimer(rule.maxWaitMs, () => {
				this.#waiters = this.#waiters.filter(other => other !== waiter);
				resolve(false);
			});
			this.#waiters.push(waiter);
			this.#waiters.sort((a, b) => a.rule.rank - b.rule.rank || a.sequence - b.sequence);
			this.#serveWaiters();
		});
	}

	/** Empties the bucket and resumes refilling after `pauseMs`. */
	pause(pauseMs: number): void {
		this.#tokens = Math.min(this.#tokens, 0);
		this.#refilledUntilMs = Math.max(this.#refilledUntilMs, this.#clock.now() + pauseMs);
	}

	#serveWaiters(): void {
		this.#refill();
		for (let next = this.#waiters[0]; next && this.#tokens >= this.#computeRequiredTokens(next); next = this.#waiters[0]) {
			this.#tokens--;
			this.#waiters.shift();
			next.finish(true);
		}

		this.#cancelTimer?.();
		const [first] = this.#waiters;
		if (first) {
			const pauseMs = Math.max(0, this.#refilledUntilMs - this.#clock.now());
			const missing = this.#computeRequiredTokens(first) - this.#tokens;
			this.#cancelTimer = this.#clock.setTimer(pauseMs + Math.ceil(missing * 1000 / this.#getRate()), () => {
				this.#serveWaiters();
			});
		}
	}

	#refill(): void {
		const elapsedMs = this.#clock.now() - this.#refilledUntilMs;
		if (elapsedMs > 0) {
			this.#tokens = Math.min(this.#computeBurst(), this.#tokens + (elapsedMs * this.#getRate() / 1000));
			this.#refilledUntilMs += elapsedMs;
		}
	}

	#computeRequiredTokens({rule}: Waiter): number {
		return 1 + Math.max(0, (this.#computeBurst() - 1) * rule.reservedShare);
	}

	#computeBurst(): number {
		return Math.max(minBurst, this.#getRate());
	}
}
