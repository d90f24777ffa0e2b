/** Stores the published versions of each model's weights, and when this instance learned of them. */
import type {PublishedVersions} from './choose-target.ts';
import type {Clock} from '#clock';

/** A version, and the time at which this instance learned of it, or is assumed to have been published before the start of this process, in milliseconds. */
type StoredVersion = Readonly<{version: number; learnedMs: number}>;

/** Maximum number of versions stored per model; the oldest are removed, as engines are hardly ever that many versions behind. */
const maxVersions = 16;

/** Time after the start of this process within which versions may have been published before it, in milliseconds: it reads them from the store or from peers. */
const startMs = 5000;

/** Age of such a version, in milliseconds: by then, most engines have been updated. */
const assumedAgeMs = 3000;

/** Published versions by model; a model's versions only rise. */
export class PublishedWeights {
	readonly #clock: Clock;
	readonly #createdMs: number;
	readonly #versions = new Map<string, readonly StoredVersion[]>();

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#createdMs = clock.now();
	}

	/**
	 * Records that a version was published.
	 *
	 * @returns whether it is newer than the versions known before
	 */
	record(model: string, version: number): boolean {
		const known = this.#versions.get(model) ?? [];
		if (version <= (known.at(-1)?.version ?? 0)) {
			return false;
		}

		const nowMs = this.#clock.now();
		const learnedMs = nowMs - this.#createdMs < startMs ? nowMs - assumedAgeMs : nowMs;
		this.#versions.set(model, [...known.slice(1 - maxVersions), {version, learnedMs}]);
		return true;
	}

	/** Returns the versions of a model with their ages, the oldest first. */
	get(model: string): PublishedVersions | undefined {
		const nowMs = this.#clock.now();
		return this.#versions.get(model)?.map(({version, learnedMs}) => ({version, ageMs: nowMs - learnedMs}));
	}

	/** Returns the newest version of each model. */
	listNewest(): ReadonlyMap<string, number> {
		return new Map([...this.#versions].map(([model, versions]) => [model, versions.at(-1)!.version]));
	}
}
