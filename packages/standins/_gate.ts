/** Admits a bounded number of holders at once, highest priority first. */

type Waiter = Readonly<{priority: number; order: number; isWanted: () => boolean; admit: (admitted: boolean) => void}>;

const isAlwaysWanted = () => true;

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
		return this.#waiters.filter(({isWanted}) => isWanted()).length;
	}

	/**
	 * Waits for a place.
	 *
	 * @param isWanted asked when a place is free; a waiter that no longer wants it is passed over
	 * @returns `false` when the gate was reset before admission, or the place was no longer wanted
	 */
	async enter(priority: number, isWanted: () => boolean = isAlwaysWanted): Promise<boolean> {
		if (this.#held < this.#capacity) {
			this.#held++;
			return true;
		}

		return new Promise(resolve => {
			this.#waiters.push({
				priority, order: this.#order++, isWanted, admit: resolve,
			});
			this.#waiters.sort((a, b) => b.priority - a.priority || a.order - b.order);
		});
	}

	leave(): void {
		for (let next = this.#waiters.shift(); next; next = this.#waiters.shift()) {
			const isWanted = next.isWanted();
			next.admit(isWanted);
			if (isWanted) {
				return;
			}
		}

		this.#held--;
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
