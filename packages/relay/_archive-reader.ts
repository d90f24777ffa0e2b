/** Looks up origins of streams in the archive, which instances that have ended may have written. */
import {decodeArchivedOrigins} from './_archived-origins.ts';
import {SharedRead} from './_shared-read.ts';
import {originRetentionMs, type StreamOrigin} from './stream-origins.ts';
import type {Clock} from '#clock';
import type {ObjectStore, StoredObject} from '#object-store';
import type {Telemetry} from '#telemetry';

export type ArchiveReaderDependencies = Readonly<{
	clock: Clock;
	telemetry: Telemetry;
	/** Store for the reads on which a caller waits. */
	urgentStore: Pick<ObjectStore, 'list'>;
	/** Kind of the objects, the first part of their keys. */
	kind: string;
}>;

/** What the archive knows of a stream: its origin; `absent`, as the store has answered and does not hold it; or `unread`, as the store has not answered. */
export type ArchivedOrigin = Readonly<{kind: 'found'; origin: StreamOrigin}> | Readonly<{kind: 'absent' | 'unread'}>;

type OriginsByKey = ReadonlyMap<string, StreamOrigin>;

/** Maximum time for which a resumed stream waits for a read, and minimum time between two reads, in milliseconds. */
const maxWaitMs = 1000;
const minIntervalMs = 250;

export class ArchiveReader {
	readonly #dependencies: ArchiveReaderDependencies;
	readonly #reads: SharedRead<OriginsByKey>;
	/** What the last read has found: further streams that began before it are looked up without a call. */
	#found: OriginsByKey = new Map();
	#cancelExpiry: (() => void) | undefined;

	constructor(dependencies: ArchiveReaderDependencies) {
		this.#dependencies = dependencies;
		this.#reads = new SharedRead(dependencies.clock, async () => this.#readAll(), {maxWaitMs, minIntervalMs});
	}

	async fetch(key: string): Promise<ArchivedOrigin> {
		const known = this.#found.get(key);
		if (known) {
			return {kind: 'found', origin: known};
		}

		const found = await this.#reads.get();
		const origin = found?.get(key);
		const kind = found ? 'absent' : 'unread';
		return origin ? {kind: 'found', origin} : {kind};
	}

	async #readAll(): Promise<OriginsByKey | undefined> {
		const {urgentStore, kind, clock, telemetry} = this.#dependencies;
		const listed = await urgentStore.list(`${kind}/`);
		telemetry.count('origin_archive_reads_total', {result: listed.ok ? 'ok' : listed.error.kind});
		if (!listed.ok) {
			return undefined;
		}

		const {objects} = listed.value;
		this.#found = this.#decode(objects);
		telemetry.log('archived origins read', {objects: objects.length, origins: this.#found.size});
		this.#cancelExpiry?.();
		this.#cancelExpiry = clock.setTimer(originRetentionMs, () => {
			this.#found = new Map();
		});
		return this.#found;
	}

	#decode(objects: readonly StoredObject[]): OriginsByKey {
		const found = new Map<string, StreamOrigin>();
		const contradicted = new Set<string>();
		for (const {key: objectKey, value} of objects) {
			const records = decodeArchivedOrigins(value);
			if (!records) {
				this.#dependencies.telemetry.log('archived origins cannot be decoded', {key: objectKey});
			}

			for (const {key, origin} of records ?? []) {
				const other = found.get(key) ?? origin;
				if (other.pool !== origin.pool || other.softwareVersion !== origin.softwareVersion) {
					contradicted.add(key);
				}

				found.set(key, origin);
			}
		}

		// Nobody can say which of two origins is the right one.
		for (const key of contradicted) {
			found.delete(key);
		}

		return found;
	}
}
