/**
 * The published versions of each model's weights, and when they were published, as
 * far as this instance knows: not before `earliestMs` and not after `latestMs`. One
 * that watches the object store knows the time of a version that it learns while it
 * runs. A version that was there when it started, or that it learns right after it
 * was suspended, may be older than its knowledge of it. Instances tell each other
 * these bounds, and each keeps the narrowest; a version counts as old as it can be.
 */
import type {PublishedVersions} from './choose-target.ts';
import type {Clock, SuspensionMonitor} from '#clock';

type KnownVersion = Readonly<{
	version: number;
	/** Negative infinity if the version was published before this instance started, and no peer knows more. */
	earliestMs: number;
	latestMs: number;
	/** Whether this instance has only heard of the version from peers, which may have learned of it late. */
	isHearsay: boolean;
}>;

type PublicationTime = Omit<KnownVersion, 'version'>;

/** The ages of a model's published versions, as instances tell them each other. */
export type WeightsStatement = Readonly<{
	model: string;
	/** Versions, the oldest first, each with the most and the least time since its publication, in milliseconds. */
	versions: ReadonlyArray<readonly [version: number, maxAgeMs: number, minAgeMs: number]>;
}>;

export type PublishedWeightsDependencies = Readonly<{
	clock: Clock;
	suspensions: Pick<SuspensionMonitor, 'getLast'>;
}>;

/** How a version was learned. */
export type WeightsSource = Readonly<{
	/** Whether the versions had been listed before, so that this one was not there then. */
	wasListed: boolean;
	/** Whether the object store itself answers this instance, rather than that it hears of changes from peers. */
	isWatching: boolean;
}>;

/** Maximum number of versions stored per model; the oldest are removed, as engines are hardly ever that many versions behind. */
const maxVersions = 16;

/** Maximum number of models in the statements. */
const maxStatedModels = 64;

/** Age that versions which were there before are taken to have at the start, in milliseconds: by then, most engines have been updated. */
const ageAtStartMs = 3000;

/** Time after the start from which on they are taken to be older than any bound, in milliseconds. It is shorter than the time for which the platform accepts older weights from an instance that has started, by a wait at an engine. */
const maxUnknownMs = 2000;

/** Time after a suspension within which what is learned may have waited to be read since its beginning, in milliseconds: a watch may have to be opened again. */
const resumedMs = 2000;

/** Age from which on a version is old, in milliseconds: older than the platform's bounds. An instance to which no younger one is stated takes all for that old. */
const oldAgeMs = 15_000;

/** Age that is stated if none is known, in milliseconds: a day. */
const unknownAgeMs = 86_400_000;

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
	 * @returns whether it is newer than the versions known before
	 */
	record(model: string, version: number, source: WeightsSource): boolean {
		if (version <= this.#getNewest(model)) {
			return false;
		}

		this.#set(model, {version, ...this.#datePublication(source)});
		return true;
	}

	/**
	 * Merges the ages of a model's versions that a peer states.
	 *
	 * @returns whether there is a version that is newer than those known before
	 */
	merge({model, versions}: WeightsStatement): boolean {
		const newestBefore = this.#getNewest(model);
		const nowMs = this.#dependencies.clock.now();
		// A statement that waited to be read was made at any time since the beginning of the suspension.
		const madeMs = this.#getResumedSinceMs() ?? nowMs;
		for (const [version, maxAgeMs, minAgeMs] of versions) {
			const stated: PublicationTime = {
				earliestMs: maxAgeMs >= unknownAgeMs ? Number.NEGATIVE_INFINITY : madeMs - maxAgeMs, latestMs: nowMs - minAgeMs, isHearsay: false,
			};
			const known = this.#versions.get(model)?.find(other => other.version === version);
			this.#set(model, {version, ...known && !known.isHearsay ? narrow(known, stated) : stated});
		}

		return this.#getNewest(model) > newestBefore;
	}

	/** Lists what the peers should know: of each model whose newest version is not old, the versions that are not old and the one before. */
	listStatements(): readonly WeightsStatement[] {
		const nowMs = this.#dependencies.clock.now();
		return [...this.#versions].map(([model, known]) => {
			const versions = known.filter(({isHearsay}) => !isHearsay).map(({version, earliestMs, latestMs}) => [
				version, Math.min(unknownAgeMs, Math.max(0, Math.round(nowMs - earliestMs))), Math.max(0, Math.round(nowMs - latestMs)),
			] as const);
			const firstYoung = versions.findIndex(stated => stated[2] < oldAgeMs);
			return {model, versions: firstYoung === -1 ? [] : versions.slice(Math.max(0, firstYoung - 1))};
		}).filter(({versions}) => versions.length > 0).slice(0, maxStatedModels);
	}

	/** Returns the versions of a model with their ages, the oldest first. */
	get(model: string): PublishedVersions | undefined {
		return this.#versions.get(model)?.map(({version, earliestMs}) => ({version, ageMs: this.#computeAgeMs(earliestMs)}));
	}

	/** Returns the newest version of each model. */
	listNewest(): ReadonlyMap<string, number> {
		return new Map([...this.#versions].map(([model, versions]) => [model, versions.at(-1)!.version]));
	}

	#getNewest(model: string): number {
		return this.#versions.get(model)?.at(-1)?.version ?? 0;
	}

	/** Returns the beginning of a suspension that has just ended, in milliseconds. */
	#getResumedSinceMs(): number | undefined {
		const {clock, suspensions} = this.#dependencies;
		const suspension = suspensions.getLast();
		return suspension && clock.now() - suspension.endMs < resumedMs ? suspension.startMs : undefined;
	}

	/** Determines when a version that is learned now was published. */
	#datePublication({wasListed, isWatching}: WeightsSource): PublicationTime {
		const nowMs = this.#dependencies.clock.now();
		return wasListed
			? {earliestMs: this.#getResumedSinceMs() ?? nowMs, latestMs: nowMs, isHearsay: !isWatching}
			: {earliestMs: Number.NEGATIVE_INFINITY, latestMs: Math.min(nowMs, this.#createdMs), isHearsay: false};
	}

	#computeAgeMs(earliestMs: number): number {
		const nowMs = this.#dependencies.clock.now();
		const isStarting = nowMs - this.#createdMs < maxUnknownMs;
		return nowMs - (earliestMs === Number.NEGATIVE_INFINITY && isStarting ? this.#createdMs - ageAtStartMs : earliestMs);
	}

	#set(model: string, changed: KnownVersion): void {
		const others = (this.#versions.get(model) ?? []).filter(({version}) => version !== changed.version);
		this.#versions.set(model, [...others, changed].toSorted((a, b) => a.version - b.version).slice(-maxVersions));
	}
}

/** Narrows bounds by those that a peer states. Where they contradict each other, as clocks run apart, the older time holds. */
function narrow(known: PublicationTime, stated: PublicationTime): PublicationTime {
	const latestMs = Math.min(known.latestMs, stated.latestMs);
	return {earliestMs: Math.min(latestMs, Math.max(known.earliestMs, stated.earliestMs)), latestMs, isHearsay: false};
}
