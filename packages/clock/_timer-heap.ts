/** A binary heap of timers, earliest first. */

/** A pending timer of the manual clock. */
export type Timer = {
	readonly dueMs: number;
	readonly creationOrder: number;
	readonly handler: () => void;
	isCancelled: boolean;
};

/** Min-heap by due time, then by order of creation. */
export class TimerHeap {
	readonly #items: Timer[] = [];

	peek(): Timer | undefined {
		return this.#items[0];
	}

	push(timer: Timer): void {
		const items = this.#items;
		items.push(timer);
		let index = items.length - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(items[index]!, items[parent]!)) {
				return;
			}

			this.#swap(index, parent);
			index = parent;
		}
	}

	pop(): Timer | undefined {
		const items = this.#items;
		const first = items[0];
		const last = items.pop();
		if (first && last && items.length > 0) {
			items[0] = last;
			this.#siftDown();
		}

		return first;
	}

	#siftDown(): void {
		const items = this.#items;
		let index = 0;
		for (;;) {
			const left = (2 * index) + 1;
			const right = left + 1;
			let smallest = index;
			if (left < items.length && isBefore(items[left]!, items[smallest]!)) {
				smallest = left;
			}

			if (right < items.length && isBefore(items[right]!, items[smallest]!)) {
				smallest = right;
			}

			if (smallest === index) {
				return;
			}

			this.#swap(index, smallest);
			index = smallest;
		}
	}

	#swap(a: number, b: number): void {
		const items = this.#items;
		const first = items[a]!;
		items[a] = items[b]!;
		items[b] = first;
	}
}

function isBefore(a: Timer, b: Timer): boolean {
	return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.creationOrder < b.creationOrder);
}
