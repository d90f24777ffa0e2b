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
	#isClosed = false;
	#wakeConsumer: (() => void) | undefined;

	/** Number of items that wait for the consumer. */
	get size(): number {
		return this.#items.length;
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Appends an item; ignored once the channel is closed. */
	push(item: Item): void {
		if (this.#isClosed) {
			return;
		}

		this.#items.push(item);
		this.#wakeConsumer?.();
	}

	/** Closes the channel; the iteration ends after the waiting items. */
	close(): void {
		this.#isClosed = true;
		this.#wakeConsumer?.();
	}

	async * [Symbol.asyncIterator](): AsyncGenerator<Item, void, undefined> {
		for (;;) {
			while (this.#items.length > 0) {
				yield this.#items.shift()!;
			}

			if (this.#isClosed) {
				return;
			}

			await new Promise<void>(resolve => {
				this.#wakeConsumer = resolve;
			});
			this.#wakeConsumer = undefined;
		}
	}
}
