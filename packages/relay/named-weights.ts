/** The newest weights that were named for each model, and when this instance learned of them. */
import type {NamedWeights} from './choose-target.ts';
import type {Clock} from '#clock';

type Named = Readonly<{version: number; sinceMs: number}>;

/** Versions by model; they only rise. */
export class WeightsBoard {
	readonly #clock: Clock;
	readonly #named = new Map<string, Named>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	 * Takes in that a version was named.
	 *
	 * @returns whether it is newer than what was known
	 */
	note(model: string, version: number): boolean {
		if (version <= (this.#named.get(model)?.version ?? 0)) {
			return false;
		}

		this.#named.set(model, {version, sinceMs: this.#clock.now()});
		return true;
	}

	read(model: string): NamedWeights | undefined {
		const named = this.#named.get(model);
		return named && {version: named.version, ageMs: this.#clock.now() - named.sinceMs};
	}

	/** Newest version of each model. */
	listVersions(): ReadonlyMap<string, number> {
		return new Map([...this.#named].map(([model, {version}]) => [model, version]));
	}
}
