/** A queue between one producer and one consumer, read by `for await`. */

/**
 * An unbounded queue that the consumer iterates until it is closed.
 *
 * @example
 * ```ts
 * const channel = new Channel<number>();
 * channel.push(1);
 * channel.close();
 * for await (const item of channel) {}
 * ```
 */
export class Channel<Item> implements AsyncIterable<Item> {
	readonly #items: Item[] = [];
	#closed = false;
	#wake: (() => void) | undefined;

	/** Items that wait for the consumer. */
	get size(): number {
		return this.#items.length;
	}

	get closed(): boolean {
		return this.#closed;
	}

	/** Appends an item; ignored once the channel is closed. */
	push(item: Item): void {
		if (this.#closed) {
			return;
		}

		this.#items.push(item);
		this.#wake?.();
	}

	/** Ends the iteration once the waiting items are read. */
	close(): void {
		this.#closed = true;
		this.#wake?.();
	}

	async * [Symbol.asyncIterator](): AsyncGenerator<Item, void, undefined> {
		for (;;) {
			while (this.#items.length > 0) {
				yield this.#items.shift()!;
			}

			if (this.#closed) {
				return;
			}

			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
			this.#wake = undefined;
		}
	}
}
