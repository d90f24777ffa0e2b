/** The weights that were named for each model, and when this instance learned of them. */
import type {NamedWeights} from './choose-target.ts';
import type {Clock} from '#clock';

type Named = Readonly<{version: number; sinceMs: number}>;

/** Versions kept of a model; of more, the oldest is forgotten: engines are hardly ever that far behind. */
const maxVersions = 16;

/** Versions by model; they only rise. */
export class WeightsBoard {
	readonly #clock: Clock;
	readonly #named = new Map<string, readonly Named[]>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	 * Takes in that a version was named.
	 *
	 * @returns whether it is newer than what was known
	 */
	note(model: string, version: number): boolean {
		const known = this.#named.get(model) ?? [];
		if (version <= (known.at(-1)?.version ?? 0)) {
			return false;
		}

		this.#named.set(model, [...known.slice(1 - maxVersions), {version, sinceMs: this.#clock.now()}]);
		return true;
	}

	/** Versions of a model with their ages, the oldest first. */
	read(model: string): NamedWeights | undefined {
		const nowMs = this.#clock.now();
		return this.#named.get(model)?.map(({version, sinceMs}) => ({version, ageMs: nowMs - sinceMs}));
	}

	/** Newest version of each model. */
	listVersions(): ReadonlyMap<string, number> {
		return new Map([...this.#named].map(([model, versions]) => [model, versions.at(-1)!.version]));
	}
}
