/** A bounded set of message ids, by which an instance recognises copies of relayed messages. */

const maxIds = 8192;

/** The newest ids; the oldest are evicted. */
export class SeenIds {
	readonly #ids = new Set<string>();

	/** @returns whether the id was not in the set */
	add(id: string): boolean {
		if (this.#ids.has(id)) {
			return false;
		}

		this.#ids.add(id);
		if (this.#ids.size > maxIds) {
			const [oldest] = this.#ids;
			this.#ids.delete(oldest!);
		}

		return true;
	}
}
