/** Lets a pool's requests through up to a capacity, the rest in fair order. */
import {FairQueue, type Waiting} from './_fair-queue.ts';
import type {Cancel, Clock} from '#clock';
import {
	fail, makeRefusal, succeed, type Refusal, type Result, type RoutedRequest,
} from '#core';

type Entry = Waiting & Readonly<{settle: (result: Result<number, Refusal>) => void}>;

const queuePerSlot = 4;
const minQueue = 16;
const serviceSmoothing = 0.1;
/** Part of the promised time to the first token that may be spent waiting here. */
const waitPart = 0.6;
const minRetryMs = 100;

/** The gate of one pool on one instance. */
export class PoolGate {
	readonly #clock: Clock;
	readonly #readCapacity: () => number;
	readonly #queue = new FairQueue<Entry>();
	#running = 0;
	#serviceMs = 0;

	constructor(clock: Clock, readCapacity: () => number) {
		this.#clock = clock;
		this.#readCapacity = readCapacity;
	}

	/** Requests let through and not released. */
	get running(): number {
		return this.#running;
	}

	get waiting(): number {
		return this.#queue.size;
	}

	/** Mean time for which requests hold their slot, in milliseconds. */
	get serviceMs(): number {
		return this.#serviceMs;
	}

	/**
	 * Waits for a slot.
	 *
	 * @returns the time waited in milliseconds, or at once a refusal where the promised time is out of reach
	 */
	async enter(request: RoutedRequest, signal: AbortSignal): Promise<Result<number, Refusal>> {
		const capacity = this.#readCapacity();
		if (this.#running < capacity && this.#queue.size === 0) {
			this.#running++;
			return succeed(0);
		}

		const {name, weight} = request.customer;
		const patienceMs = this.#readPatience(request);
		const expectedMs = (this.#queue.countAhead(name, weight) + 1) * this.#serviceMs / capacity;
		if (expectedMs > patienceMs) {
			return fail(makeRefusal('promise_unreachable', {retryAfterMs: Math.max(minRetryMs, expectedMs - patienceMs)}));
		}

		return this.#wait(request, patienceMs, signal);
	}

	/** Gives a slot back after `heldMs`. */
	leave(heldMs: number): void {
		this.#running--;
		this.#serviceMs = this.#serviceMs === 0 ? heldMs : this.#serviceMs + ((heldMs - this.#serviceMs) * serviceSmoothing);
		this.serveWaiters();
	}

	/** Lets waiters through where there is room; to be called when the capacity has risen. */
	serveWaiters(): void {
		while (this.#queue.size > 0 && this.#running < this.#readCapacity()) {
			this.#running++;
			this.#queue.take()!.settle(succeed(0));
		}
	}

	#readPatience({route, pool}: RoutedRequest): number {
		return pool.kind === 'service' ? Math.max(0, route.firstTokenMs - this.#serviceMs) : route.firstTokenMs * waitPart;
	}

	async #wait(request: RoutedRequest, patienceMs: number, signal: AbortSignal): Promise<Result<number, Refusal>> {
		const startMs = this.#clock.now();
		const {customer} = request;
		const result = await new Promise<Result<number, Refusal>>(resolve => {
			const leave = (refusal: Refusal) => {
				this.#queue.remove(entry);
				entry.settle(fail(refusal));
			};

			const cancelWait = () => {
				leave(makeRefusal('deadline_exceeded', {ran: 'not_run'}));
			};

			const cancelTimer: Cancel = this.#clock.after(patienceMs, () => {
				leave(makeRefusal('promise_unreachable', {retryAfterMs: Math.max(minRetryMs, this.#serviceMs)}));
			});
			const entry: Entry = {
				customer: customer.name, weight: customer.weight, deadlineMs: startMs + patienceMs,
				settle(settled) {
					cancelTimer();
					signal.removeEventListener('abort', cancelWait);
					resolve(settled);
				},
			};
			signal.addEventListener('abort', cancelWait, {once: true});
			this.#queue.push(entry);
			this.#trimQueue();
			if (signal.aborted) {
				cancelWait();
			}
		});
		return result.ok ? succeed(this.#clock.now() - startMs) : result;
	}

	/** Refuses whoever would be served last once the queue is too long. */
	#trimQueue(): void {
		const capacity = this.#readCapacity();
		if (this.#queue.size > (capacity * queuePerSlot) + minQueue) {
			const retryAfterMs = Math.max(minRetryMs, this.#queue.size * this.#serviceMs / capacity);
			this.#queue.evictLast()?.settle(fail(makeRefusal('queue_full', {retryAfterMs})));
		}
	}
}
