/**
 * The requests of callers that an instance has begun to read and whose answers
 * have not left it completely. A graceful shutdown waits for them.
 */
import type {Cancel} from '#clock';

export class OpenRequests {
	#size = 0;

	/** Number of open requests. */
	get size(): number {
		return this.#size;
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
}
