/**
 * Shares reads among the requests that need one. A read that has begun before a
 * request came says nothing about the time since, so that request waits for the
 * next one.
 */
import type {Clock} from '#clock';

export type SharedReadOptions = Readonly<{
	/** Maximum time for which a request waits, in milliseconds. */
	maxWaitMs: number;
	/** Minimum time between the beginnings of two reads, in milliseconds. Default: 0. */
	minIntervalMs?: number;
}>;

export class SharedRead<Value> {
	readonly #clock: Clock;
	readonly #read: () => Promise<Value | undefined>;
	readonly #options: SharedReadOptions;
	#current: Promise<Value | undefined> | undefined;
	/** Begins when the current one has ended, for requests that came after its begin. */
	#next: Promise<Value | undefined> | undefined;
	#lastStartMs = -Infinity;

	/** @param read returns `undefined` if nothing could be read */
	constructor(clock: Clock, read: () => Promise<Value | undefined>, options: SharedReadOptions) {
		this.#clock = clock;
		this.#read = read;
		this.#options = options;
	}

	/** Returns the result of a read that begins after this call, or `undefined` if it has none in time. */
	async get(): Promise<Value | undefined> {
		return new Promise(resolve => {
			const cancel = this.#clock.setTimer(this.#options.maxWaitMs, () => {
				resolve(undefined);
			});
			void this.#start().then(value => {
				cancel();
				resolve(value);
			});
		});
	}

	async #start(): Promise<Value | undefined> {
		const waitMs = this.#lastStartMs + (this.#options.minIntervalMs ?? 0) - this.#clock.now();
		if (!this.#current && !this.#next && waitMs <= 0) {
			this.#current = this.#run();
			return this.#current;
		}

		this.#next ??= this.#runNext();
		return this.#next;
	}

	async #runNext(): Promise<Value | undefined> {
		await this.#current;
		const waitMs = this.#lastStartMs + (this.#options.minIntervalMs ?? 0) - this.#clock.now();
		if (waitMs > 0) {
			await this.#clock.sleep(waitMs);
		}

		this.#next = undefined;
		this.#current = this.#run();
		return this.#current;
	}

	async #run(): Promise<Value | undefined> {
		this.#lastStartMs = this.#clock.now();
		const value = await this.#read();
		this.#current = undefined;
		return value;
	}
}
