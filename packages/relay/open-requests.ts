/**
 * The requests of callers that an instance has begun to read and whose answers
 * have not left it completely. A graceful shutdown waits for them, and ends those
 * that outlast it while there is still time to tell their callers so.
 */
import type {Cancel} from '#clock';

export class OpenRequests {
	readonly #endHandlers = new Set<() => void>();
	#size = 0;
	#isEnding = false;

	/** Number of open requests. */
	get size(): number {
		return this.#size;
	}

	/** Whether all requests are being ended. */
	get isEnding(): boolean {
		return this.#isEnding;
	}

	/**
	 * Adds a request whose head has been read.
	 *
	 * @returns how to remove it, once its answer has been sent or its connection has closed
	 */
	add(): Cancel {
		this.#size++;
		let isOpen = true;
		return () => {
			this.#size -= isOpen ? 1 : 0;
			isOpen = false;
		};
	}

	/** Calls `handler` when all requests are to be ended. */
	subscribeEnd(handler: () => void): Cancel {
		this.#endHandlers.add(handler);
		return () => {
			this.#endHandlers.delete(handler);
		};
	}

	/** Ends all requests: those that have no answer yet are refused, or answered as possibly run. */
	endAll(): void {
		this.#isEnding = true;
		for (const handler of this.#endHandlers) {
			handler();
		}
	}
}
