/** Admits a bounded number of holders at once, highest priority first. */

type Waiter = Readonly<{priority: number; order: number; admit: (admitted: boolean) => void}>;

/** A counting semaphore with priorities. */
export class Gate {
	readonly #capacity: number;
	#held = 0;
	#order = 0;
	#waiters: Waiter[] = [];

	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	get held(): number {
		return this.#held;
	}

	get waiting(): number {
		return this.#waiters.length;
	}

	/** @returns `false` when the gate was reset before admission */
	async enter(priority: number): Promise<boolean> {
		if (this.#held < this.#capacity) {
			this.#held++;
			return true;
		}

		return new Promise(resolve => {
			this.#waiters.push({priority, order: this.#order++, admit: resolve});
			this.#waiters.sort((a, b) => b.priority - a.priority || a.order - b.order);
		});
	}

	leave(): void {
		const next = this.#waiters.shift();
		if (next) {
			next.admit(true);
		} else {
			this.#held--;
		}
	}

	/** Turns all waiters away and forgets all holders. */
	reset(): void {
		const waiters = this.#waiters;
		this.#waiters = [];
		this.#held = 0;
		for (const waiter of waiters) {
			waiter.admit(false);
		}
	}
}
