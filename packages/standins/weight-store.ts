/** A stand-in for the weight store, whose loads take longer when too many run concurrently. */
import type {Clock} from '#clock';

/** Options of {@link WeightStoreStandin}. */
export type WeightStoreOptions = Readonly<{
	/** Duration of a load below the limit, in milliseconds. Default: 400. */
	loadMs?: number;
	/** Maximum number of concurrent loads without a slowdown. Default: 2. */
	loadsAtOnce?: number;
}>;

/** Multiplies the duration of a load above the limit by the square of the ratio of concurrent loads to the limit. */
export class WeightStoreStandin {
	/** Maximum number of loads that have run concurrently so far. */
	peakConcurrentLoads = 0;
	#loadsInProgress = 0;
	readonly #clock: Clock;
	readonly #loadMs: number;
	readonly #loadsAtOnce: number;

	constructor(clock: Clock, options: WeightStoreOptions = {}) {
		this.#clock = clock;
		this.#loadMs = options.loadMs ?? 400;
		this.#loadsAtOnce = options.loadsAtOnce ?? 2;
	}

	/** Loads weights once, and resolves when the load has finished. */
	async load(): Promise<void> {
		this.#loadsInProgress++;
		this.peakConcurrentLoads = Math.max(this.peakConcurrentLoads, this.#loadsInProgress);
		const factor = Math.max(1, this.#loadsInProgress / this.#loadsAtOnce);
		await this.#clock.sleep(this.#loadMs * factor * factor);
		this.#loadsInProgress--;
	}
}
