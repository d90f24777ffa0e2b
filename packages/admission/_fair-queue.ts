/**
 * A queue that serves customers by weight and each customer's requests by
 * deadline. The order between customers is start-time fair queueing (Goyal, Vin
 * and Cheng, 1996): a customer that sends ten times as many requests delays only
 * its own requests.
 */

/** A queued request: its customer, the customer's weight, and the deadline. */
export type QueueItem = Readonly<{customer: string; weight: number; deadlineMs: number}>;

/** The queued items of one customer, sorted by deadline. `nextStartTag` is the virtual start time of the first of them. */
type Flow<Item> = {readonly weight: number; items: Item[]; nextStartTag: number};

/** The queued items of one pool. */
export class FairQueue<Item extends QueueItem> {
	readonly #flows = new Map<string, Flow<Item>>();
	#virtualTime = 0;
	#size = 0;

	get size(): number {
		return this.#size;
	}

	add(item: Item): void {
		const flow = this.#flows.get(item.customer) ?? {weight: item.weight, items: [], nextStartTag: this.#virtualTime};
		this.#flows.set(item.customer, flow);
		flow.nextStartTag = flow.items.length === 0 ? Math.max(flow.nextStartTag, this.#virtualTime) : flow.nextStartTag;
		const index = flow.items.findIndex(queued => queued.deadlineMs > item.deadlineMs);
		flow.items.splice(index === -1 ? flow.items.length : index, 0, item);
		this.#size++;
	}

	/** Removes and returns the item to serve next. */
	removeNext(): Item | undefined {
		let next: Flow<Item> | undefined;
		for (const flow of this.#flows.values()) {
			if (flow.items.length > 0 && (!next || flow.nextStartTag < next.nextStartTag)) {
				next = flow;
			}
		}

		const item = next?.items.shift();
		if (next && item) {
			this.#virtualTime = next.nextStartTag;
			next.nextStartTag += 1 / next.weight;
			this.#size--;
			this.#removeIdleFlows();
		}

		return item;
	}

	/** Removes and returns the item that would be served last. */
	evictLast(): Item | undefined {
		let last: Flow<Item> | undefined;
		for (const flow of this.#flows.values()) {
			if (flow.items.length > 0 && (!last || computeFinishTag(flow) > computeFinishTag(last))) {
				last = flow;
			}
		}

		const item = last?.items.at(-1);
		if (item) {
			this.remove(item);
		}

		return item;
	}

	remove(item: Item): void {
		const flow = this.#flows.get(item.customer);
		const index = flow?.items.indexOf(item) ?? -1;
		if (flow && index !== -1) {
			flow.items.splice(index, 1);
			this.#size--;
			this.#removeIdleFlows();
		}
	}

	/**
	 * Counts the items that would be served before a new item of a customer.
	 * Assumes that the new item has the customer's latest deadline. May count too
	 * many: it compares the start tags of other customers' items with the finish
	 * tag of the new item, although they are served in the order of start tags.
	 */
	countAhead(customer: string, weight: number): number {
		const ownFlow = this.#flows.get(customer);
		const startTag = ownFlow ? computeFinishTag(ownFlow) : this.#virtualTime;
		let ahead = ownFlow?.items.length ?? 0;
		for (const [name, flow] of this.#flows) {
			if (name !== customer) {
				const countBefore = Math.ceil(Math.max(0, startTag + (1 / weight) - flow.nextStartTag) * flow.weight);
				ahead += Math.min(flow.items.length, countBefore);
			}
		}

		return ahead;
	}

	/** Removes empty flows. While other items are queued, keeps a flow whose start tag is ahead of virtual time, so that a customer cannot reset its tag by pausing. */
	#removeIdleFlows(): void {
		for (const [customer, flow] of this.#flows) {
			if (flow.items.length === 0 && (flow.nextStartTag <= this.#virtualTime || this.#size === 0)) {
				this.#flows.delete(customer);
			}
		}
	}
}

function computeFinishTag(flow: Flow<QueueItem>): number {
	return flow.nextStartTag + (flow.items.length / flow.weight);
}
