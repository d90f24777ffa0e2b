/** Limits the number of concurrent holders, and admits waiters by priority, then in order of arrival. */

type Waiter = Readonly<{priority: number; sequence: number; isStillWaiting: () => boolean; resolve: (isAdmitted: boolean) => void}>;

const isAlwaysWaiting = () => true;

/** A counting semaphore with priorities. */
export class PrioritySemaphore {
	readonly #capacity: number;
	#heldCount = 0;
	#nextSequence = 0;
	#waiters: Waiter[] = [];

	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	get heldCount(): number {
		return this.#heldCount;
	}

	get waitingCount(): number {
		return this.#waiters.filter(({isStillWaiting}) => isStillWaiting()).length;
	}

	/**
	 * Waits for a slot.
	 *
	 * @param isStillWaiting called when a slot is free; a waiter for which it returns `false` is skipped
	 * @returns `false` if the semaphore was reset before admission, or if the waiter was skipped
	 */
	async acquire(priority: number, isStillWaiting: () => boolean = isAlwaysWaiting): Promise<boolean> {
		if (this.#heldCount < this.#capacity) {
			this.#heldCount++;
			return true;
		}

		return new Promise(resolve => {
			this.#waiters.push({
				priority, sequence: this.#nextSequence++, isStillWaiting, resolve,
			});
			this.#waiters.sort((a, b) => b.priority - a.priority || a.sequence - b.sequence);
		});
	}

	/** Passes the slot to the next waiter that still waits, or frees it. */
	release(): void {
		for (let next = this.#waiters.shift(); next; next = this.#waiters.shift()) {
			const isStillWaiting = next.isStillWaiting();
			next.resolve(isStillWaiting);
			if (isStillWaiting) {
				return;
			}
		}

		this.#heldCount--;
	}

	/** Refuses all waiters and drops all holders. */
	reset(): void {
		const waiters = this.#waiters;
		this.#waiters = [];
		this.#heldCount = 0;
		for (const waiter of waiters) {
			waiter.resolve(false);
		}
	}
}
