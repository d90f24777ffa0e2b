/** Limits the concurrent requests of a pool to a capacity, and queues the others in fair order. */
import {FairQueue, type QueueItem} from './_fair-queue.ts';
import type {Cancel, Clock} from '#clock';
import {
	fail, createRefusal, succeed, type Refusal, type Result, type RoutedRequest,
} from '#core';

type WaitingRequest = QueueItem & Readonly<{finish: (result: Result<number, Refusal>) => void}>;

/** The queue of a pool holds at most `capacity * maxQueuedPerSlot + maxQueuedBase` requests. */
const maxQueuedPerSlot = 4;
const maxQueuedBase = 16;
/** Weight of a new measurement in the moving average of the service time. */
const serviceTimeSmoothing = 0.1;
/** Part of the promised time to the first token that a request to an engine may spend in the queue. */
const maxWaitRatio = 0.6;
const minRetryAfterMs = 100;

/** The concurrency limiter of one pool on one instance. */
export class PoolLimiter {
	readonly #clock: Clock;
	readonly #getCapacity: () => number;
	readonly #queue = new FairQueue<WaitingRequest>();
	#running = 0;
	#serviceMs = 0;

	constructor(clock: Clock, getCapacity: () => number) {
		this.#clock = clock;
		this.#getCapacity = getCapacity;
	}

	/** Number of requests that hold a slot. */
	get running(): number {
		return this.#running;
	}

	/** Number of queued requests. */
	get waiting(): number {
		return this.#queue.size;
	}

	/** Moving average of the time for which requests hold their slot, in milliseconds. */
	get serviceMs(): number {
		return this.#serviceMs;
	}

	/**
	 * Waits for a slot.
	 *
	 * @returns the time waited in milliseconds, or a refusal. The refusal comes at once if the expected wait is too long for the promised time, and later if the queue overflows, the wait takes too long or `signal` aborts.
	 */
	async acquire(request: RoutedRequest, signal: AbortSignal): Promise<Result<number, Refusal>> {
		const capacity = this.#getCapacity();
		if (this.#running < capacity && this.#queue.size === 0) {
			this.#running++;
			return succeed(0);
		}

		const {name, weight} = request.customer;
		const maxWaitMs = this.#computeMaxWaitMs(request);
		const expectedWaitMs = (this.#queue.countAhead(name, weight) + 1) * this.#serviceMs / capacity;
		if (expectedWaitMs > maxWaitMs) {
			return fail(createRefusal('promise_unreachable', {retryAfterMs: Math.max(minRetryAfterMs, expectedWaitMs - maxWaitMs)}));
		}

		return this.#wait(request, maxWaitMs, signal);
	}

	/** Releases a slot that was held for `heldMs`. */
	release(heldMs: number): void {
		this.#running--;
		this.#serviceMs = this.#serviceMs === 0 ? heldMs : this.#serviceMs + ((heldMs - this.#serviceMs) * serviceTimeSmoothing);
		this.admitWaiting();
	}

	/** Refuses all queued requests. */
	refuseWaiting(refusal: Refusal): void {
		while (this.#queue.size > 0) {
			this.#queue.removeNext()!.finish(fail(refusal));
		}
	}

	/** Admits queued requests while slots are free. Call it when the capacity may have risen. */
	admitWaiting(): void {
		while (this.#queue.size > 0 && this.#running < this.#getCapacity()) {
			this.#running++;
			this.#queue.removeNext()!.finish(succeed(0));
		}
	}

	/** Computes the maximum time in the queue. For a service, the wait and the average service time together must fit into the promised time. A request to an engine holds its slot until the last token, so its service time does not show when the first token comes; a fixed part of the promised time applies instead. */
	#computeMaxWaitMs({route, pool}: RoutedRequest): number {
		return pool.kind === 'service' ? Math.max(0, route.firstTokenMs - this.#serviceMs) : route.firstTokenMs * maxWaitRatio;
	}

	async #wait(request: RoutedRequest, maxWaitMs: number, signal: AbortSignal): Promise<Result<number, Refusal>> {
		const startMs = this.#clock.now();
		const {customer} = request;
		const result = await new Promise<Result<number, Refusal>>(resolve => {
			const refuse = (refusal: Refusal) => {
				this.#queue.remove(entry);
				entry.finish(fail(refusal));
			};

			const handleAbort = () => {
				refuse(createRefusal('deadline_exceeded', {ran: 'not_run'}));
			};

			const cancelTimer: Cancel = this.#clock.setTimer(maxWaitMs, () => {
				refuse(createRefusal('promise_unreachable', {retryAfterMs: Math.max(minRetryAfterMs, this.#serviceMs)}));
			});
			const entry: WaitingRequest = {
				customer: customer.name, weight: customer.weight, deadlineMs: startMs + maxWaitMs,
				finish(outcome) {
					cancelTimer();
					signal.removeEventListener('abort', handleAbort);
					resolve(outcome);
				},
			};
			signal.addEventListener('abort', handleAbort, {once: true});
			this.#queue.add(entry);
			this.#trimQueue();
			if (signal.aborted) {
				handleAbort();
			}
		});
		return result.ok ? succeed(this.#clock.now() - startMs) : result;
	}

	/** Refuses the request that would be served last if the queue is too long. */
	#trimQueue(): void {
		const capacity = this.#getCapacity();
		if (this.#queue.size > (capacity * maxQueuedPerSlot) + maxQueuedBase) {
			const retryAfterMs = Math.max(minRetryAfterMs, this.#queue.size * this.#serviceMs / capacity);
			this.#queue.evictLast()?.finish(fail(createRefusal('queue_full', {retryAfterMs})));
		}
	}
}
