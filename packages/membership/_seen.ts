/** Remembers the newest ids, up to a bound. */

const maxIds = 8192;

/** A bounded set of ids; the oldest are forgotten. */
export class SeenIds {
	readonly #ids = new Set<string>();

	/** @returns whether the id is new */
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
