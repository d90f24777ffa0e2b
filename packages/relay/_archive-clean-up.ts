/**
 * Removes what instances that have ended have left in the archive of origins. An
 * object that has not changed for the retention time, by this instance's clock,
 * holds only origins that are older, whoever wrote it.
 */
import {originRetentionMs} from './stream-origins.ts';
import type {Clock} from '#clock';
import type {ObjectStore} from '#object-store';
import type {Telemetry} from '#telemetry';

export type ArchiveCleanUpDependencies = Readonly<{
	clock: Clock;
	telemetry: Telemetry;
	store: ObjectStore;
	/** Kind of the objects, the first part of their keys. */
	kind: string;
	/** Returns the rank of this instance among those that can perform a duty; 0 is the first. */
	getRank: (duty: string) => number;
}>;

const duty = 'clean up archived origins';

export class ArchiveCleanUp {
	readonly #dependencies: ArchiveCleanUpDependencies;
	/** Whether there may be objects of ended instances. */
	#mayHaveRemains = false;
	#nextMs = 0;
	/** Objects at the last look: their versions, and since when they have these. */
	#seen: ReadonlyMap<string, Readonly<{version: number; sinceMs: number}>> = new Map();

	constructor(dependencies: ArchiveCleanUpDependencies) {
		this.#dependencies = dependencies;
	}

	/**
	 * Removes what has expired, if that is this instance's duty now.
	 *
	 * @param isArchiving whether instances write into the archive
	 */
	async run(isArchiving: boolean): Promise<void> {
		const {clock, store, kind, getRank, telemetry} = this.#dependencies;
		const nowMs = clock.now();
		if (isArchiving && !this.#mayHaveRemains) {
			this.#mayHaveRemains = true;
			this.#nextMs = nowMs + originRetentionMs;
		}

		if (!this.#mayHaveRemains || nowMs < this.#nextMs || getRank(duty) > 0) {
			return;
		}

		this.#nextMs = nowMs + originRetentionMs;
		const listed = await store.list(`${kind}/`);
		if (!listed.ok) {
			return;
		}

		const previous = this.#seen;
		this.#seen = new Map(listed.value.objects.map(({key, version}) => {
			const seen = previous.get(key);
			return [key, seen?.version === version ? seen : {version, sinceMs: nowMs}];
		}));
		const expired = [...this.#seen].filter(([, {sinceMs}]) => nowMs - sinceMs >= originRetentionMs);
		for (const [key, {version}] of expired) {
			await store.remove(key, {ifVersion: version});
		}

		if (this.#seen.size > 0) {
			telemetry.log('archived origins cleaned up', {objects: this.#seen.size, removed: expired.length});
		}

		this.#mayHaveRemains = isArchiving || this.#seen.size > expired.length;
	}
}
