/**
 * A queue that serves customers by weight and each customer's requests by
 * deadline. Order between customers is start-time fair queueing (Goyal, Vin and
 * Cheng, 1996): a customer that sends ten times as much waits behind itself.
 */

/** What waits. */
export type Waiting = Readonly<{customer: string; weight: number; deadlineMs: number}>;

type Lane<Item> = {readonly weight: number; items: Item[]; nextTag: number};

/** Waiting items of one pool. */
export class FairQueue<Item extends Waiting> {
	readonly #lanes = new Map<string, Lane<Item>>();
	#virtual = 0;
	#size = 0;

	get size(): number {
		return this.#size;
	}

	push(item: Item): void {
		const lane = this.#lanes.get(item.customer) ?? {weight: item.weight, items: [], nextTag: this.#virtual};
		this.#lanes.set(item.customer, lane);
		lane.nextTag = lane.items.length === 0 ? Math.max(lane.nextTag, this.#virtual) : lane.nextTag;
		const index = lane.items.findIndex(other => other.deadlineMs > item.deadlineMs);
		lane.items.splice(index === -1 ? lane.items.length : index, 0, item);
		this.#size++;
	}

	/** Takes the next item. */
	take(): Item | undefined {
		let next: Lane<Item> | undefined;
		for (const lane of this.#lanes.values()) {
			if (lane.items.length > 0 && (!next || lane.nextTag < next.nextTag)) {
				next = lane;
			}
		}

		const item = next?.items.shift();
		if (next && item) {
			this.#virtual = next.nextTag;
			next.nextTag += 1 / next.weight;
			this.#size--;
			this.#dropIdle();
		}

		return item;
	}

	/** Takes out the item that would be served last. */
	evictLast(): Item | undefined {
		let last: Lane<Item> | undefined;
		for (const lane of this.#lanes.values()) {
			if (lane.items.length > 0 && (!last || getEndTag(lane) > getEndTag(last))) {
				last = lane;
			}
		}

		const item = last?.items.at(-1);
		if (item) {
			this.remove(item);
		}

		return item;
	}

	remove(item: Item): void {
		const lane = this.#lanes.get(item.customer);
		const index = lane?.items.indexOf(item) ?? -1;
		if (lane && index !== -1) {
			lane.items.splice(index, 1);
			this.#size--;
			this.#dropIdle();
		}
	}

	/** Items that would be served before a new one of a customer that came last within it. */
	countAhead(customer: string, weight: number): number {
		const own = this.#lanes.get(customer);
		const tag = own ? getEndTag(own) : this.#virtual;
		let ahead = own?.items.length ?? 0;
		for (const [name, lane] of this.#lanes) {
			if (name !== customer) {
				const before = Math.ceil(Math.max(0, tag + (1 / weight) - lane.nextTag) * lane.weight);
				ahead += Math.min(lane.items.length, before);
			}
		}

		return ahead;
	}

	/** Drops empty lanes, but for those that ran ahead of the others and must still wait for them. */
	#dropIdle(): void {
		for (const [customer, lane] of this.#lanes) {
			if (lane.items.length === 0 && (lane.nextTag <= this.#virtual || this.#size === 0)) {
				this.#lanes.delete(customer);
			}
		}
	}
}

function getEndTag(lane: Lane<Waiting>): number {
	return lane.nextTag + (lane.items.length / lane.weight);
}
