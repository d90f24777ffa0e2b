/**
 * Keeps in the object store which software versions the targets of each pool have
 * had lately, so that a restarted instance knows of versions that it has not seen
 * itself. All pools are one object, which the instances that rank first for it
 * write when the versions change. An instance reads it when it starts; the versions
 * in it then count as served until then, by the clock of the reader, so that no
 * clocks of two instances are compared. A version leaves the object when a writer
 * has been without it for the retention time of origins.
 */
import * as z from 'zod';
import {originRetentionMs} from './stream-origins.ts';
import type {TargetSet} from './target-set.ts';
import {waitForTick, type Clock} from '#clock';
import type {ObjectStore, StoredObject} from '#object-store';
import type {Telemetry} from '#telemetry';

export type VersionRecordDependencies = Readonly<{
	clock: Clock;
	telemetry: Telemetry;
	store: ObjectStore;
	/** Kind of the object, the first part of its key. */
	kind: string;
	targets: TargetSet;
	/** Brings the list of targets up to date; returns whether the store has answered. */
	refreshTargets: () => Promise<boolean>;
	/** Returns the rank of this instance among those that can perform a duty; 0 is the first. */
	getRank: (duty: string) => number;
}>;

/**
 * What the record said of a pool when this instance started:
 *
 * - `unread`: nothing yet, or nothing that could be decoded
 * - `partial`: perhaps not all versions of the retention time, as its writers had not run for so long, or nothing of this pool
 * - `complete`: all of them
 */
export type VersionKnowledge = 'unread' | 'partial' | 'complete';

const recordSchema = z.object({
	pools: z.record(z.string(), z.array(z.string())),
	isComplete: z.boolean(),
});

/** Software versions by pool. */
export type VersionsByPool = ReadonlyMap<string, readonly string[]>;

/** The record as last read or written. */
type KnownRecord = Readonly<{pools: VersionsByPool; isComplete: boolean; isDecoded: boolean; objectVersion: number}>;

/** Number of instances that write the record: the first one may be cut off from the store. */
const writerCount = 2;

/** Time by which each further writer waits longer for those before it, in milliseconds. */
const writerDelayMs = 1500;

/** Interval at which the versions are compared with the record, in milliseconds. */
const compareIntervalMs = 500;

/** Time after the start in which an instance does not write, in milliseconds: its rank is known only once it is linked to its peers. */
const settleMs = 2000;

/** Delay before the next call after a failed one, in milliseconds, unless the failure states another. */
const retryDelayMs = 1000;

const duty = 'record software versions';

export class VersionRecord {
	readonly #dependencies: VersionRecordDependencies;
	readonly #key: string;
	/** The record at the start; absent until the store has answered. */
	#first: KnownRecord | undefined;
	#known: KnownRecord | undefined;
	/** Whether the store may have lost the record since it was last read. */
	#isDoubtful = false;
	/** Time since which the record does not hold the versions of this instance; absent if it does. */
	#outdatedSinceMs: number | undefined;
	#nextCallMs = 0;

	constructor(dependencies: VersionRecordDependencies) {
		this.#dependencies = dependencies;
		this.#key = `${dependencies.kind}/versions`;
	}

	/** Returns what the record said of a pool when this instance started. */
	getKnowledge(pool: string): VersionKnowledge {
		if (!this.#first?.isDecoded) {
			return 'unread';
		}

		return this.#first.isComplete && this.#first.pools.has(pool) ? 'complete' : 'partial';
	}

	/** Reads the record now; returns the versions that it holds, by pool, or `undefined` if the store does not answer. */
	async refresh(): Promise<VersionsByPool | undefined> {
		const record = await this.#read();
		return record?.pools;
	}

	/** Marks that the store has come back from an outage, perhaps with an older state: the writers then read the record again. */
	markDoubtful(): void {
		this.#isDoubtful = true;
	}

	/** Reads the record, then keeps it up to date until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.#dependencies;
		const writesFromMs = clock.now() + settleMs;
		while (!signal.aborted) {
			if (clock.now() >= this.#nextCallMs) {
				if (!this.#known) {
					await this.#read();
				} else if (clock.now() >= writesFromMs) {
					await this.#update(this.#known);
				}
			}

			await waitForTick(clock, compareIntervalMs, signal);
		}
	}

	/** Writes the record if it is this instance's turn and the versions have changed, also by a list of the targets as they are now. */
	async #update(known: KnownRecord): Promise<void> {
		const {clock, getRank, refreshTargets} = this.#dependencies;
		if (!this.#isDoubtful && this.#isCurrent(known)) {
			this.#outdatedSinceMs = undefined;
			return;
		}

		this.#outdatedSinceMs ??= clock.now();
		const rank = getRank(duty);
		if (rank >= writerCount || clock.now() - this.#outdatedSinceMs < rank * writerDelayMs) {
			return;
		}

		if (!await refreshTargets()) {
			this.#nextCallMs = clock.now() + retryDelayMs;
			return;
		}

		const current = await this.#read();
		if (current && !this.#isCurrent(current)) {
			await this.#write(current);
		}
	}

	async #write(current: KnownRecord): Promise<void> {
		const {clock, telemetry, store} = this.#dependencies;
		const next = this.#createNext(current);
		const value = encodeRecord(next);
		const put = await store.put(this.#key, value, {ifVersion: current.objectVersion});
		if (put.ok) {
			this.#known = {...next, objectVersion: put.value.version};
			telemetry.log('record of software versions written', {record: value});
			return;
		}

		// A write whose answer was lost, or that another writer has forestalled, shows in the next read.
		this.#nextCallMs = clock.now() + (put.error.retryAfterMs ?? retryDelayMs);
		telemetry.log('record of software versions could not be written; will be tried again', {detail: put.error.detail});
	}

	/** Reads the record; returns `undefined` if the store does not answer. Versions that are new to this instance count as served until now. */
	async #read(): Promise<KnownRecord | undefined> {
		const {clock, telemetry, store, targets} = this.#dependencies;
		const got = await store.get(this.#key);
		if (!got.ok) {
			this.#nextCallMs = clock.now() + (got.error.retryAfterMs ?? retryDelayMs);
			return undefined;
		}

		const record = decodeRecord(got.value);
		for (const [pool, versions] of record.pools) {
			targets.recordVersions(pool, versions.filter(version => !this.#known?.pools.get(pool)?.includes(version)));
		}

		if (!this.#first || !record.isDecoded) {
			telemetry.log(record.isDecoded ? 'record of software versions read' : 'record of software versions cannot be decoded; will be replaced', {record: got.value?.value});
		}

		this.#first ??= record;
		this.#known = record;
		this.#isDoubtful = false;
		return record;
	}

	#isCurrent(known: KnownRecord): boolean {
		return known.isDecoded && encodeRecord(known) === encodeRecord(this.#createNext(known));
	}

	/** Creates the record that should replace `known`. An instance that has not observed the targets for the retention time adds versions, but removes none. */
	#createNext(known: KnownRecord): KnownRecord {
		const {targets} = this.#dependencies;
		const hasObserved = targets.hasObserved(originRetentionMs);
		const recent = targets.listRecentVersions(originRetentionMs);
		return {
			...known, isDecoded: true, isComplete: known.isComplete || hasObserved, pools: hasObserved ? recent : mergeVersions(recent, known.pools),
		};
	}
}

function mergeVersions(a: VersionsByPool, b: VersionsByPool): VersionsByPool {
	return new Map([...new Set([...a.keys(), ...b.keys()])].map(pool => [pool, [...new Set([...a.get(pool) ?? [], ...b.get(pool) ?? []])]]));
}

/** Encodes a record; the same versions always give the same text. */
function encodeRecord({pools, isComplete}: KnownRecord): string {
	const sorted = [...pools].map(([pool, versions]) => [pool, versions.toSorted()] as const).toSorted(([a], [b]) => a < b ? -1 : 1);
	return JSON.stringify({pools: Object.fromEntries(sorted), isComplete});
}

/** Decodes a stored record; one that does not exist holds no versions. */
function decodeRecord(stored: StoredObject | undefined): KnownRecord {
	const objectVersion = stored?.version ?? 0;
	const empty: KnownRecord = {
		pools: new Map(), isComplete: false, isDecoded: !stored, objectVersion,
	};
	if (!stored) {
		return empty;
	}

	try {
		const parsed = recordSchema.safeParse(JSON.parse(stored.value));
		return parsed.success
			? {
				pools: new Map(Object.entries(parsed.data.pools)), isComplete: parsed.data.isComplete, isDecoded: true, objectVersion,
			}
			: empty;
	} catch {
		return empty;
	}
}
