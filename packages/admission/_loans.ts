/** Parts of limits that instances lend each other for a time. */
import type {Clock} from '#clock';

/** A limit, or a part of one. */
export type Amount = Readonly<{requestsPerSecond: number; concurrent: number}>;

type Loan = Amount & Readonly<{untilMs: number}>;
type Book = Map<string, Map<string, readonly Loan[]>>;

/** What a lender can give, and what one asker should get. */
export type LoanTerms = Readonly<{wanted: Amount; spare: Amount}>;

const loanMs = 2000;
const nothing: Amount = {requestsPerSecond: 0, concurrent: 0};

/**
 * The loans of one instance. A lender counts a loan for {@link loanMs} from when
 * it gave it, a borrower from when it asked for it, which was earlier. Clocks
 * need not agree, only run at the same pace.
 */
export class Loans {
	readonly #clock: Clock;
	readonly #lent: Book = new Map();
	readonly #borrowed: Book = new Map();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Sum of what is lent out, per asker the most that it may still use. */
	sumLent(key: string): Amount {
		return this.#sum(this.#lent.get(key));
	}

	/** Sum of what is borrowed. */
	sumBorrowed(key: string): Amount {
		return this.#sum(this.#borrowed.get(key));
	}

	/** Lends to one asker, within what is spare beside the loans that still run. */
	lend(key: string, to: string, {wanted, spare}: LoanTerms): Amount {
		const lent = this.sumLent(key);
		const now = this.#takeLargest(this.#lent.get(key)?.get(to) ?? []);
		const granted = {
			requestsPerSecond: Math.min(wanted.requestsPerSecond, now.requestsPerSecond + Math.max(0, spare.requestsPerSecond - lent.requestsPerSecond)),
			concurrent: Math.min(wanted.concurrent, now.concurrent + Math.max(0, spare.concurrent - lent.concurrent)),
		};
		this.#add(this.#lent, [key, to], {...granted, untilMs: this.#clock.now() + loanMs});
		return granted;
	}

	/** Takes in what another instance lends; the newest loan of a lender replaces those before. */
	borrow(key: string, from: string, grant: Amount & Readonly<{askedMs: number}>): void {
		const {askedMs, requestsPerSecond, concurrent} = grant;
		const loan = {requestsPerSecond, concurrent, untilMs: askedMs + loanMs};
		const lenders = this.#borrowed.get(key) ?? new Map<string, readonly Loan[]>();
		const known = lenders.get(from)?.[0];
		if (!known || known.untilMs <= loan.untilMs) {
			lenders.set(from, [loan]);
			this.#borrowed.set(key, lenders);
		}
	}

	/** Drops the loans that have run out. */
	forget(): void {
		const now = this.#clock.now();
		for (const book of [this.#lent, this.#borrowed]) {
			for (const [key, parties] of book) {
				for (const [party, loans] of parties) {
					const rest = loans.filter(loan => loan.untilMs > now);
					parties.set(party, rest);
					if (rest.length === 0) {
						parties.delete(party);
					}
				}

				if (parties.size === 0) {
					book.delete(key);
				}
			}
		}
	}

	#add(book: Book, [key, party]: readonly [string, string], loan: Loan): void {
		const parties = book.get(key) ?? new Map<string, readonly Loan[]>();
		parties.set(party, [...(parties.get(party) ?? []), loan]);
		book.set(key, parties);
	}

	#sum(parties: ReadonlyMap<string, readonly Loan[]> = new Map()): Amount {
		let {requestsPerSecond, concurrent} = nothing;
		for (const loans of parties.values()) {
			const largest = this.#takeLargest(loans);
			requestsPerSecond += largest.requestsPerSecond;
			concurrent += largest.concurrent;
		}

		return {requestsPerSecond, concurrent};
	}

	#takeLargest(loans: readonly Loan[]): Amount {
		const now = this.#clock.now();
		let {requestsPerSecond, concurrent} = nothing;
		for (const loan of loans) {
			if (loan.untilMs > now) {
				requestsPerSecond = Math.max(requestsPerSecond, loan.requestsPerSecond);
				concurrent = Math.max(concurrent, loan.concurrent);
			}
		}

		return {requestsPerSecond, concurrent};
	}
}
