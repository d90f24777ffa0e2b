/**
 * The published versions of each model's weights, with the time of their
 * publication as this instance knows it. It knows the time of those that it learns
 * while it runs. A version that was there when it started, or that it learns right
 * after it was suspended, may be older than its knowledge of it: until a peer states
 * the age, the oldest possible one is assumed.
 */
import type {PublishedVersions} from './choose-target.ts';
import type {Clock, SuspensionMonitor} from '#clock';

/**
 * How the time of a publication is known:
 *
 * - `observed`: this instance learned of the version at that time
 * - `stated`: a peer has stated the age
 * - `assumed`: the version may have been published at any time in which this instance was suspended
 * - `unknown`: it was published before this instance started
 */
type AgeBasis = 'observed' | 'stated' | 'assumed' | 'unknown';

type KnownVersion = Readonly<{version: number; publishedMs: number; basis: AgeBasis}>;

/** The ages of a model's published versions, as instances tell them each other. */
export type WeightsStatement = Readonly<{
	model: string;
	/** Versions, the oldest first, each with the time since its publication, in milliseconds. */
	versions: ReadonlyArray<readonly [version: number, ageMs: number]>;
}>;

export type PublishedWeightsDependencies = Readonly<{
	clock: Clock;
	suspensions: Pick<SuspensionMonitor, 'getLast'>;
}>;

/** Maximum number of versions stored per model; the oldest are removed, as engines are hardly ever that many versions behind. */
const maxVersions = 16;

/** Age that versions which were there before are taken to have at the start, in milliseconds: by then, most engines have been updated. */
const ageAtStartMs = 3000;

/** Time after the start from which on they are taken to be older than any bound, in milliseconds. It is shorter than the time for which the platform accepts older weights from an instance that has started, by a wait at an engine. */
const maxUnknownMs = 2000;

/** Time after a suspension within which a version that is learned may have been published in it, in milliseconds: the watch may have to be opened again. */
const resumedMs = 5000;

/** Age from which on a version is old, in milliseconds: older than the platform's bounds. An instance to which no younger one is stated takes all for that old. */
const oldAgeMs = 15_000;

/** Published versions by model; a model's versions only rise. */
export class PublishedWeights {
	readonly #dependencies: PublishedWeightsDependencies;
	readonly #createdMs: number;
	readonly #versions = new Map<string, readonly KnownVersion[]>();

	constructor(dependencies: PublishedWeightsDependencies) {
		this.#dependencies = dependencies;
		this.#createdMs = dependencies.clock.now();
	}

	/**
	 * Records that a version was published.
	 *
	 * @param wasListed whether the versions had been listed before, so that this one was not there then
	 * @returns whether it is newer than the versions known before
	 */
	record(model: string, version: number, wasListed: boolean): boolean {
		if (version <= this.#getNewest(model)) {
			return false;
		}

		this.#add(model, {version, ...this.#datePublication(wasListed)});
		return true;
	}

	/**
	 * Merges the ages of a model's versions that a peer states. Of several ages, the oldest holds.
	 *
	 * @returns whether there is a version that is newer than those known before
	 */
	merge({model, versions}: WeightsStatement): boolean {
		const newestBefore = this.#getNewest(model);
		for (const [version, ageMs] of versions) {
			const known = this.#versions.get(model)?.find(other => other.version === version);
			const statedMs = this.#dependencies.clock.now() - ageMs;
			if (!known || !isDated(known) || statedMs < known.publishedMs) {
				this.#add(model, {version, publishedMs: statedMs, basis: 'stated'});
			}
		}

		return this.#getNewest(model) > newestBefore;
	}

	/** Lists what the peers should know: of each model whose newest version is not old, the versions that are not old and the one before, as far as their ages are known. */
	listStatements(): readonly WeightsStatement[] {
		const nowMs = this.#dependencies.clock.now();
		return [...this.#versions].map(([model, versions]) => {
			const dated = versions.filter(known => isDated(known)).map(({version, publishedMs}) => [version, Math.max(0, Math.round(nowMs - publishedMs))] as const);
			const firstYoung = dated.findIndex(([, ageMs]) => ageMs < oldAgeMs);
			return {model, versions: firstYoung === -1 ? [] : dated.slice(Math.max(0, firstYoung - 1))};
		}).filter(({versions}) => versions.length > 0);
	}

	/** Returns the versions of a model with their ages, the oldest first. */
	get(model: string): PublishedVersions | undefined {
		return this.#versions.get(model)?.map(({version, publishedMs, basis}) => ({version, ageMs: this.#computeAgeMs(publishedMs, basis)}));
	}

	/** Returns the newest version of each model. */
	listNewest(): ReadonlyMap<string, number> {
		return new Map([...this.#versions].map(([model, versions]) => [model, versions.at(-1)!.version]));
	}

	#getNewest(model: string): number {
		return this.#versions.get(model)?.at(-1)?.version ?? 0;
	}

	/** Determines when a version that is learned now was published at the earliest. */
	#datePublication(wasListed: boolean): Omit<KnownVersion, 'version'> {
		const {clock, suspensions} = this.#dependencies;
		const nowMs = clock.now();
		if (!wasListed) {
			return {publishedMs: this.#createdMs - ageAtStartMs, basis: 'unknown'};
		}

		const suspension = suspensions.getLast();
		return suspension && nowMs - suspension.endMs < resumedMs ? {publishedMs: suspension.startMs, basis: 'assumed'} : {publishedMs: nowMs, basis: 'observed'};
	}

	#computeAgeMs(publishedMs: number, basis: AgeBasis): number {
		const nowMs = this.#dependencies.clock.now();
		return basis === 'unknown' && nowMs - this.#createdMs >= maxUnknownMs ? Infinity : nowMs - publishedMs;
	}

	#add(model: string, added: KnownVersion): void {
		const others = (this.#versions.get(model) ?? []).filter(({version}) => version !== added.version);
		this.#versions.set(model, [...others, added].toSorted((a, b) => a.version - b.version).slice(-maxVersions));
	}
}

/** Whether this instance or a peer knows when the version was published. */
function isDated({basis}: KnownVersion): boolean {
	return basis === 'observed' || basis === 'stated';
}
