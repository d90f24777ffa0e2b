/** An answer in progress that any number of readers can read from its start. */
import type {AnswerEvent} from '#core';

/** Buffers the events of an answer and delivers all of them to each reader. */
export class LiveAnswer {
	readonly #events: AnswerEvent[] = [];
	readonly #wakers = new Set<() => void>();
	#isClosed = false;
	#readers = 0;

	/** Events received so far. */
	get events(): readonly AnswerEvent[] {
		return this.#events;
	}

	/** Whether a caller reads the answer now. */
	get hasReader(): boolean {
		return this.#readers > 0;
	}

	push(event: AnswerEvent): void {
		this.#events.push(event);
		this.#wake();
	}

	close(): void {
		this.#isClosed = true;
		this.#wake();
	}

	/** Yields all events from the first one until the answer is closed or `signal` aborts. */
	async * read(signal: AbortSignal): AsyncGenerator<AnswerEvent> {
		let index = 0;
		this.#readers++;
		try {
			while (!signal.aborted) {
				if (index < this.#events.length) {
					yield this.#events[index++]!;
					continue;
				}

				if (this.#isClosed) {
					return;
				}

				await this.#waitForEvent(signal);
			}
		} finally {
			this.#readers--;
		}
	}

	async #waitForEvent(signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = () => {
				this.#wakers.delete(wake);
				signal.removeEventListener('abort', wake);
				resolve();
			};

			this.#wakers.add(wake);
			signal.addEventListener('abort', wake, {once: true});
		});
	}

	#wake(): void {
		for (const wake of this.#wakers) {
			wake();
		}
	}
}
