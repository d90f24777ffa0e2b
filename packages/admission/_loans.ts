/** Tracks parts of limits that instances lend each other for a limited time. */
import type {Clock} from '#clock';

/** A limit over all instances, or a part of one. */
export type LimitAmount = Readonly<{requestsPerSecond: number; concurrent: number}>;

type Loan = LimitAmount & Readonly<{expiresMs: number}>;
/** Loans by key of the limit, then by the other instance. */
type LoansByKey = Map<string, Map<string, readonly Loan[]>>;

/** The amount that a borrower should get, and the amount that the lender does not need. */
export type LoanTerms = Readonly<{wanted: LimitAmount; spare: LimitAmount}>;

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

	/** Sums the amounts lent. A borrower counts with the largest of its running loans, because it may still use that one. */
	sumLent(key: string): LimitAmount {
		return this.#sum(this.#lent.get(key));
	}

	/** Sums the amounts borrowed. */
	sumBorrowed(key: string): LimitAmount {
		return this.#sum(this.#borrowed.get(key));
	}

	/** Lends to one instance, at most the spare amount less the loans that still run. */
	lend(key: string, to: string, {wanted, spare}: LoanTerms): LimitAmount {
		const lent = this.sumLent(key);
		const current = this.#computeLargest(this.#lent.get(key)?.get(to) ?? []);
		const granted = {
			requestsPerSecond: Math.min(wanted.requestsPerSecond, current.requestsPerSecond + Math.max(0, spare.requestsPerSecond - lent.requestsPerSecond)),
			concurrent: Math.min(wanted.concurrent, current.concurrent + Math.max(0, spare.concurrent - lent.concurrent)),
		};
		this.#add(this.#lent, [key, to], {...granted, expiresMs: this.#clock.now() + loanDurationMs});
		return granted;
	}

	/** Records a loan from another instance. The newest loan of a lender replaces its earlier ones. */
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
			for (const [key, parties] of loansByKey) {
				for (const [party, loans] of parties) {
					const remaining = loans.filter(loan => loan.expiresMs > now);
					parties.set(party, remaining);
					if (remaining.length === 0) {
						parties.delete(party);
					}
				}

				if (parties.size === 0) {
					loansByKey.delete(key);
				}
			}
		}
	}

	#add(loansByKey: LoansByKey, [key, party]: readonly [string, string], loan: Loan): void {
		const parties = loansByKey.get(key) ?? new Map<string, readonly Loan[]>();
		parties.set(party, [...(parties.get(party) ?? []), loan]);
		loansByKey.set(key, parties);
	}

	#sum(parties: ReadonlyMap<string, readonly Loan[]> = new Map()): LimitAmount {
		let {requestsPerSecond, concurrent} = zeroAmount;
		for (const loans of parties.values()) {
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
