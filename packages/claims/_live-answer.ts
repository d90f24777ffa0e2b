/** An answer in progress that any number of readers follow from its start. */
import type {AnswerEvent} from '#core';

/** Collects events and gives each reader all of them. */
export class LiveAnswer {
	readonly #events: AnswerEvent[] = [];
	readonly #wakers = new Set<() => void>();
	#closed = false;

	/** Events so far. */
	get events(): readonly AnswerEvent[] {
		return this.#events;
	}

	push(event: AnswerEvent): void {
		this.#events.push(event);
		this.#wake();
	}

	close(): void {
		this.#closed = true;
		this.#wake();
	}

	/** Reads from the start until the answer closes or `signal` aborts. */
	async * read(signal: AbortSignal): AsyncGenerator<AnswerEvent> {
		let index = 0;
		while (!signal.aborted) {
			if (index < this.#events.length) {
				yield this.#events[index++]!;
				continue;
			}

			if (this.#closed) {
				return;
			}

			await this.#waitForEvent(signal);
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
