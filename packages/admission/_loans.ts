/** Tracks parts of limits that instances lend each other for a limited time. */
import type {Clock} from '#clock';

/** A limit over all instances, or a part of one. */
export type LimitAmount = Readonly<{requestsPerSecond: number; concurrent: number}>;

type Loan = LimitAmount & Readonly<{expiresMs: number}>;
/** Loans by key of the limit, then by the incarnation of the other instance. */
type LoansByKey = Map<string, Map<string, readonly Loan[]>>;

/** The amount that a borrower should get, and the amount that the lender does not need. */
export type LoanTerms = Readonly<{desired: LimitAmount; spare: LimitAmount}>;

/** Duration of a loan, in milliseconds. */
const loanDurationMs = 2000;
const zeroAmount: LimitAmount = {requestsPerSecond: 0, concurrent: 0};

/**
 * The loans of one instance. A loan lasts {@link loanDurationMs}: the lender
 * counts from when it granted the loan, the borrower from when it requested the
 * loan, which is earlier. The clocks need not agree; they only need to run at
 * the same rate.
 */
export class Loans {
	readonly #clock: Clock;
	readonly #lent: LoansByKey = new Map();
	readonly #borrowed: LoansByKey = new Map();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Sums the amounts lent. Counts the largest running loan of each borrower, because a borrower uses only its newest loan, but may not have received that one yet. */
	sumLent(key: string): LimitAmount {
		return this.#sum(this.#lent.get(key));
	}

	/** Sums the amounts borrowed. */
	sumBorrowed(key: string): LimitAmount {
		return this.#sum(this.#borrowed.get(key));
	}

	/** Lends to one instance. The loan does not raise the sum of all running loans above the spare amount. */
	lend(key: string, to: string, {desired, spare}: LoanTerms): LimitAmount {
		const lent = this.sumLent(key);
		const current = this.#computeLargest(this.#lent.get(key)?.get(to) ?? []);
		const granted = {
			requestsPerSecond: Math.min(desired.requestsPerSecond, current.requestsPerSecond + Math.max(0, spare.requestsPerSecond - lent.requestsPerSecond)),
			concurrent: Math.min(desired.concurrent, current.concurrent + Math.max(0, spare.concurrent - lent.concurrent)),
		};
		this.#add(this.#lent, [key, to], {...granted, expiresMs: this.#clock.now() + loanDurationMs});
		return granted;
	}

	/**
	 * Records a loan from another instance. The newest loan of a lender replaces its earlier ones.
	 *
	 * @param grant the loan; `askedMs` is the time at which this instance requested it, by its own clock
	 */
	borrow(key: string, from: string, grant: LimitAmount & Readonly<{askedMs: number}>): void {
		const {askedMs, requestsPerSecond, concurrent} = grant;
		const loan = {requestsPerSecond, concurrent, expiresMs: askedMs + loanDurationMs};
		const lenders = this.#borrowed.get(key) ?? new Map<string, readonly Loan[]>();
		const previous = lenders.get(from)?.[0];
		if (!previous || previous.expiresMs <= loan.expiresMs) {
			lenders.set(from, [loan]);
			this.#borrowed.set(key, lenders);
		}
	}

	/** Removes the loans that have expired. */
	removeExpired(): void {
		const now = this.#clock.now();
		for (const loansByKey of [this.#lent, this.#borrowed]) {
			for (const [key, loansByInstance] of loansByKey) {
				for (const [instance, loans] of loansByInstance) {
					const remaining = loans.filter(loan => loan.expiresMs > now);
					loansByInstance.set(instance, remaining);
					if (remaining.length === 0) {
						loansByInstance.delete(instance);
					}
				}

				if (loansByInstance.size === 0) {
					loansByKey.delete(key);
				}
			}
		}
	}

	#add(loansByKey: LoansByKey, [key, instance]: readonly [string, string], loan: Loan): void {
		const loansByInstance = loansByKey.get(key) ?? new Map<string, readonly Loan[]>();
		loansByInstance.set(instance, [...(loansByInstance.get(instance) ?? []), loan]);
		loansByKey.set(key, loansByInstance);
	}

	#sum(loansByInstance: ReadonlyMap<string, readonly Loan[]> = new Map()): LimitAmount {
		let {requestsPerSecond, concurrent} = zeroAmount;
		for (const loans of loansByInstance.values()) {
			const largest = this.#computeLargest(loans);
			requestsPerSecond += largest.requestsPerSecond;
			concurrent += largest.concurrent;
		}

		return {requestsPerSecond, concurrent};
	}

	#computeLargest(loans: readonly Loan[]): LimitAmount {
		const now = this.#clock.now();
		let {requestsPerSecond, concurrent} = zeroAmount;
		for (const loan of loans) {
			if (loan.expiresMs > now) {
				requestsPerSecond = Math.max(requestsPerSecond, loan.requestsPerSecond);
				concurrent = Math.max(concurrent, loan.concurrent);
			}
		}

		return {requestsPerSecond, concurrent};
	}
}
