/** The rate-limited weight store: loads take longer when too many run at once. */
import type {Clock} from '#clock';

/** Options of {@link WeightStoreStandin}. */
export type WeightStoreOptions = Readonly<{
	/** Time of one load, in milliseconds. Default: 400. */
	loadMs?: number;
	/** Loads at once that the store bears. Default: 2. */
	loadsAtOnce?: number;
}>;

/** Counts loads in progress and slows down above its limit. */
export class WeightStoreStandin {
	/** Most loads that ever ran at once. */
	mostAtOnce = 0;
	#loading = 0;
	readonly #clock: Clock;
	readonly #loadMs: number;
	readonly #loadsAtOnce: number;

	constructor(clock: Clock, options: WeightStoreOptions = {}) {
		this.#clock = clock;
		this.#loadMs = options.loadMs ?? 400;
		this.#loadsAtOnce = options.loadsAtOnce ?? 2;
	}

	/** Loads once; resolves when the weights have arrived. */
	async load(): Promise<void> {
		this.#loading++;
		this.mostAtOnce = Math.max(this.mostAtOnce, this.#loading);
		const factor = Math.max(1, this.#loading / this.#loadsAtOnce);
		await this.#clock.sleep(this.#loadMs * factor * factor);
		this.#loading--;
	}
}
