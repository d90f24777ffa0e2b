/**
 * Keeps the origins of streams in the object store while targets of several
 * software versions serve, so that streams go on after all instances have been
 * killed. Each instance hands the origins of its streams to two archivists among
 * itself and its neighbours, which write them in batches. An archivist writes into
 * one object at a time, a segment, and begins another one after some seconds, so
 * that a write does not repeat the whole retention time. Segments outlive their
 * writer. They are read when neither this instance nor a peer knows the origin of a
 * resumed stream, and removed when they have not changed for the retention time.
 * docs/design/streams.md gives the reasons.
 */
import {ArchiveCleanUp} from './_archive-clean-up.ts';
import {ArchiveReader, type ArchivedOrigin} from './_archive-reader.ts';
import {encodeArchivedOrigins, isArchivableKey} from './_archived-origins.ts';
import {
	originRetentionMs, type StreamOrigin, type StreamOriginRecord, type StreamOrigins,
} from './stream-origins.ts';
import {waitForTick, type Cancel, type Clock} from '#clock';
import {hash64} from '#core';
import {maxFullMeshPeers} from '#membership';
import type {ObjectStore, StoreFailure} from '#object-store';
import type {Peer, PeerBus} from '#peer-protocol';
import type {Telemetry} from '#telemetry';

export type OriginArchiveDependencies = Readonly<{
	clock: Clock;
	telemetry: Telemetry;
	/** Store for writes, which may wait. */
	store: ObjectStore;
	/** Store for the reads on which a caller waits. */
	urgentStore: Pick<ObjectStore, 'list'>;
	/** Kind of the objects, the first part of their keys. */
	kind: string;
	/** Incarnation of this instance. */
	incarnation: string;
	origins: StreamOrigins;
	bus: PeerBus;
	/** Whether targets of a pool had several software versions in the last `withinMs` milliseconds. */
	hasSeveralVersions: (withinMs: number) => boolean;
	/** Counts the instances that share the store's write rate. */
	countInstances: () => number;
	/** Writes per second that the store accepts from the whole fleet. */
	writesPerSecond: number;
	/** Returns the rank of this instance among those that can perform a duty; 0 is the first. */
	getRank: (duty: string) => number;
}>;

/** An origin, and when this instance learned of it. */
type Entry = Readonly<{origin: StreamOrigin; atMs: number}>;

/** An object that this instance writes. */
type Segment = {
	readonly key: string;
	readonly createdMs: number;
	readonly entries: Map<string, Entry>;
	/** Version of the object; 0 before the first write. */
	version: number;
	changedMs: number;
	/** Whether nothing more is written into it. */
	isClosed: boolean;
};

/** Number of archivists of an instance: one of them may be cut off from the store. */
const archivistCount = 2;

/** Fraction of the instances that are expected to be archivists where each has some ten neighbours. */
const archivistShare = 0.4;

/** Fraction of the store's write rate that all archivists together may use. */
const writeShare = 0.25;

/** Interval at which an archivist looks for what to write, in milliseconds: announcements arrive each 50 ms where each reaches all peers, and each 250 ms elsewhere. */
const meshTickMs = 100;
const partialTickMs = 250;

/** Interval at which other instances look whether they have become archivists, in milliseconds. */
const idleIntervalMs = 250;

/** Time after which an archivist begins another segment, in milliseconds, and in writes. */
const segmentMs = 3000;
const segmentWrites = 4;

/** Maximum number of origins that this instance remembers to archive; the oldest are dropped. */
const maxEntries = 16_384;

/** Failures after which nothing has been written, so that the write is repeated as it was. */
const unsentKinds: ReadonlySet<StoreFailure['kind']> = new Set(['unavailable', 'rate_limited']);

export class OriginArchive {
	readonly #dependencies: OriginArchiveDependencies;
	readonly #cancels: readonly Cancel[];
	/** Origins of this instance's streams in the retention time. */
	readonly #own = new Map<string, Entry>();
	/** Origins that this instance has to write. */
	readonly #unwritten = new Map<string, Entry>();
	/** The last one is written into, unless it is closed or too old. */
	#segments: Segment[] = [];
	#segmentCount = 0;
	#nextWriteMs = -Infinity;
	/** Whether several software versions serve or have served in the retention time. */
	#isActive = false;
	#isArchivist = false;
	#epoch: number | undefined;
	readonly #reader: ArchiveReader;
	readonly #cleanUp: ArchiveCleanUp;

	constructor(dependencies: OriginArchiveDependencies) {
		const {clock, origins, bus, store} = dependencies;
		this.#dependencies = dependencies;
		this.#epoch = store.getEpoch?.();
		this.#reader = new ArchiveReader(dependencies);
		this.#cleanUp = new ArchiveCleanUp(dependencies);
		this.#cancels = [
			origins.subscribeOwn(({key, origin}) => {
				this.#addOwn(key, {origin, atMs: clock.now()});
			}),
			bus.subscribe('origins', ({origins: announced, shouldArchive, answer}, from) => {
				const isFromOlderProgram = () => !answer && isListed(bus.listNeighbours(), from) && !isListed(bus.listArchivingPeers(), from);
				if (shouldArchive === true || (this.#isArchivist && isFromOlderProgram())) {
					this.#add(announced.map(({key, pool, softwareVersion}) => ({key, origin: {pool, softwareVersion}})));
				}
			}),
		];
	}

	/** Lists the incarnations of the instances that keep the origins of this instance's streams; it may be among them. */
	listArchivists(): readonly string[] {
		const {bus, incarnation} = this.#dependencies;
		const candidates = [incarnation, ...bus.listArchivingPeers().map(peer => peer.incarnation)];
		return candidates.map(candidate => [hash64(`archive origins ${candidate}`), candidate] as const)
			.toSorted(([a], [b]) => a < b ? -1 : 1).slice(0, archivistCount).map(([, candidate]) => candidate);
	}

	/** Lists the origins of the streams that began at this instance in the retention time. */
	listOwn(): readonly StreamOriginRecord[] {
		this.#dropExpired(this.#own);
		return [...this.#own].map(([key, {origin}]) => ({key, origin}));
	}

	/** Looks up the origin of a stream in the store. */
	async fetch(key: string): Promise<ArchivedOrigin> {
		return this.#reader.fetch(key);
	}

	/** Writes origins, and removes what has expired, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.#dependencies;
		while (!signal.aborted) {
			this.#updateRole();
			this.#handleEpoch();
			if (this.#isActive && clock.now() >= this.#nextWriteMs) {
				await this.#write();
			}

			await this.#removeExpired();
			await this.#cleanUp.run(this.#isActive);
			await waitForTick(clock, this.#isArchivist ? this.#computeTickMs() : idleIntervalMs, signal);
		}

		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	/** Computes the minimum time between two writes of one archivist, in milliseconds. */
	#computeIntervalMs(): number {
		const {countInstances, writesPerSecond} = this.#dependencies;
		const instances = countInstances();
		const archivists = this.#isMesh() ? Math.min(archivistCount, instances) : Math.ceil(instances * archivistShare);
		return Math.max(this.#computeTickMs(), archivists * 1000 / (writesPerSecond * writeShare));
	}

	#computeTickMs(): number {
		return this.#isMesh() ? meshTickMs : partialTickMs;
	}

	/** Whether each instance is linked to all others. */
	#isMesh(): boolean {
		return this.#dependencies.countInstances() <= maxFullMeshPeers + 1;
	}

	#updateRole(): void {
		const {hasSeveralVersions, incarnation} = this.#dependencies;
		this.#isActive = hasSeveralVersions(originRetentionMs);
		const isArchivist = this.#isActive && this.listArchivists().includes(incarnation);
		if (isArchivist && !this.#isArchivist) {
			// Streams that began before that may be resumed as well.
			this.#add(this.listOwn());
		}

		this.#isArchivist = isArchivist;
		if (!this.#isActive) {
			this.#unwritten.clear();
		}
	}

	#addOwn(key: string, entry: Entry): void {
		addBounded(this.#own, key, entry);
		if (this.#isArchivist) {
			this.#add([{key, origin: entry.origin}]);
		}
	}

	#add(records: readonly StreamOriginRecord[]): void {
		const atMs = this.#dependencies.clock.now();
		for (const {key, origin} of records) {
			const isWritten = this.#segments.some(({entries}) => entries.has(key));
			if (isArchivableKey(key) && !isWritten) {
				addBounded(this.#unwritten, key, {origin, atMs});
			}
		}
	}

	/** Writes again what the store may have lost, if it has come back from an older copy. */
	#handleEpoch(): void {
		const epoch = this.#dependencies.store.getEpoch?.();
		if (epoch !== this.#epoch) {
			this.#epoch = epoch;
			for (const segment of this.#segments) {
				this.#requeue(segment);
			}
		}
	}

	/** Closes a segment of whose object nothing is known any more; its origins go into another one. */
	#requeue(segment: Segment): void {
		for (const [key, entry] of segment.entries) {
			this.#unwritten.set(key, entry);
		}

		segment.entries.clear();
		segment.isClosed = true;
	}

	async #write(): Promise<void> {
		const {clock, telemetry, store} = this.#dependencies;
		this.#dropExpired(this.#unwritten);
		const added = [...this.#unwritten];
		if (added.length === 0) {
			return;
		}

		const segment = this.#openSegment();
		this.#nextWriteMs = clock.now() + this.#computeIntervalMs();
		const entries = new Map([...segment.entries, ...added]);
		const put = await store.put(segment.key, encodeArchivedOrigins([...entries].map(([key, {origin}]) => ({key, origin}))), {ifVersion: segment.version});
		telemetry.count('origin_archive_writes_total', {result: put.ok ? 'ok' : put.error.kind});
		if (put.ok) {
			segment.version = put.value.version;
			segment.changedMs = clock.now();
			for (const [key, entry] of added) {
				segment.entries.set(key, entry);
				this.#unwritten.delete(key);
			}

			return;
		}

		this.#nextWriteMs = Math.max(this.#nextWriteMs, clock.now() + (put.error.retryAfterMs ?? 0));
		if (!unsentKinds.has(put.error.kind)) {
			// A late write must not replace a newer one, and another one must not fail for the same condition.
			telemetry.log('origins of streams could not be archived; another object is begun', {key: segment.key, detail: put.error.detail, origins: entries.size});
			this.#requeue(segment);
			segment.changedMs = clock.now();
		}
	}

	/** Returns the segment for the next write. */
	#openSegment(): Segment {
		const {clock, kind, incarnation} = this.#dependencies;
		const nowMs = clock.now();
		const last = this.#segments.at(-1);
		const maxAgeMs = Math.max(segmentMs, this.#computeIntervalMs() * segmentWrites);
		if (last && !last.isClosed && nowMs - last.createdMs < maxAgeMs) {
			return last;
		}

		const segment: Segment = {
			key: `${kind}/${incarnation}-${this.#segmentCount++}`, createdMs: nowMs, entries: new Map(), version: 0, changedMs: nowMs, isClosed: false,
		};
		this.#segments.push(segment);
		return segment;
	}

	/** Removes the objects of this instance whose origins have all expired. */
	async #removeExpired(): Promise<void> {
		const {clock, store} = this.#dependencies;
		const expired = this.#segments.filter(({changedMs}) => clock.now() - changedMs >= originRetentionMs);
		for (const segment of expired.filter(({version, isClosed}) => version > 0 || isClosed)) {
			const removed = await store.remove(segment.key);
			if (!removed.ok) {
				// Another instance removes it later, as that of one that has ended.
				this.#dependencies.telemetry.log('archived origins could not be removed', {key: segment.key, detail: removed.error.detail});
			}
		}

		this.#segments = this.#segments.filter(segment => !expired.includes(segment));
	}

	#dropExpired(entries: Map<string, Entry>): void {
		const nowMs = this.#dependencies.clock.now();
		for (const [key, {atMs}] of entries) {
			if (nowMs - atMs >= originRetentionMs) {
				entries.delete(key);
			}
		}
	}
}

function isListed(peers: readonly Peer[], {incarnation}: Peer): boolean {
	return peers.some(peer => peer.incarnation === incarnation);
}

function addBounded(entries: Map<string, Entry>, key: string, entry: Entry): void {
	entries.delete(key);
	entries.set(key, entry);
	if (entries.size > maxEntries) {
		const [oldest] = entries.keys();
		entries.delete(oldest!);
	}
}
