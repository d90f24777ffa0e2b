/**
 * A mirror: a copy of all objects of one kind in the object store. It carries
 * the revision of the whole store up to which it is complete, and the epoch of the
 * store to which this revision belongs. These numbers show which of two mirrors of
 * a kind is newer, and the instance that has the newer one can send the difference
 * to the other. A store that comes back from an older copy is in a later epoch, in
 * which it gives revisions out again: what a mirror has of an earlier epoch is
 * replaced as a whole.
 */
import Emittery from 'emittery';
import type {StoredObject, WatchBatch} from '#object-store';

export type MirrorChange = Readonly<{
	/** Keys of the objects that were added, changed or deleted. */
	keys: readonly string[];
	/** Whether this is the first list, so that the time of the changes is not known. */
	isFirstList: boolean;
	/** Whether the mirror has passed to a later epoch. */
	isNewEpoch: boolean;
}>;

type Tombstone = Readonly<{key: string; revision: number}>;

/** Maximum number of deletions kept to compute differences. */
const maxTombstones = 1024;

/** Objects of one kind by key. */
export class KindMirror {
	readonly kind: string;
	readonly events = new Emittery<{changed: MirrorChange}>();
	readonly #objects = new Map<string, StoredObject>();
	#tombstones: Tombstone[] = [];
	/** Oldest revision from which a difference can be computed; deletions up to it are not known. */
	#minDiffRevision = 0;
	#revision = 0;
	#lastChangeRevision = 0;
	#epoch = 0;
	/** Whether all that the mirror has is known to be of its epoch. */
	#isEpochCertain = true;
	#isFollowingStore = false;

	constructor(kind: string) {
		this.kind = kind;
	}

	/** Revision of the store up to which the mirror is complete; 0 before the first list. */
	get revision(): number {
		return this.#revision;
	}

	/** Revision of the newest known change. A mirror that is complete up to this revision lacks no change that this one has. */
	get lastChangeRevision(): number {
		return this.#lastChangeRevision;
	}

	/** Epoch of the store to which the revisions belong; 0 as long as no source has named one. */
	get epoch(): number {
		return this.#epoch;
	}

	/** The epoch as told to peers; absent if the store names none, or if the mirror may have changes of another epoch. */
	get certainEpoch(): number | undefined {
		return this.#isEpochCertain && this.#epoch > 0 ? this.#epoch : undefined;
	}

	/** Whether the store itself answers this instance's calls for the kind. */
	get isFollowingStore(): boolean {
		return this.#isFollowingStore;
	}

	setFollowingStore(isFollowing: boolean): void {
		this.#isFollowingStore = isFollowing;
	}

	/**
	 * Returns whether a peer is ahead of this mirror that has changes up to a
	 * revision. Peers that name no epoch may be in an earlier one; what they have
	 * counts only while the store itself does not answer.
	 */
	isBehind(revision: number, epoch: number | undefined): boolean {
		if (epoch === undefined) {
			return revision > this.#revision && (this.#epoch === 0 || !this.#isFollowingStore);
		}

		return epoch > this.#epoch || (epoch === this.#epoch && (revision > this.#revision || !this.#isEpochCertain));
	}

	get(key: string): StoredObject | undefined {
		return this.#objects.get(key);
	}

	list(): readonly StoredObject[] {
		return [...this.#objects.values()];
	}

	/**
	 * Replaces all objects by those of a list.
	 *
	 * @param revision revision of the store at which the list was taken
	 * @param epoch epoch of the store at that time; absent if the source names none
	 * @returns `false` if the list is older than the mirror, in which case it is ignored
	 */
	replace(objects: readonly StoredObject[], revision: number, epoch?: number): boolean {
		const isNewEpoch = epoch !== undefined && epoch > this.#epoch;
		const isCorrection = epoch === this.#epoch && !this.#isEpochCertain;
		if ((epoch ?? this.#epoch) < this.#epoch || (revision < this.#revision && !isNewEpoch && !isCorrection)) {
			return false;
		}

		const listedKeys = new Set(objects.map(({key}) => key));
		const deletedKeys = [...this.#objects.keys()].filter(key => !listedKeys.has(key));
		const hadEpoch = this.#epoch > 0;
		if (isNewEpoch || isCorrection) {
			this.#objects.clear();
			this.#lastChangeRevision = 0;
		}

		const changedKeys = objects.filter(object => this.#setIfNewer(object)).map(({key}) => key);
		for (const key of deletedKeys) {
			this.#objects.delete(key);
		}

		if (deletedKeys.length > 0) {
			this.#lastChangeRevision = revision;
		}

		const isFirstList = this.#revision === 0;
		this.#tombstones = [];
		this.#minDiffRevision = revision;
		this.#revision = revision;
		this.#recordSource(epoch);
		this.#emit({keys: [...changedKeys, ...deletedKeys], isFirstList, isNewEpoch: isNewEpoch && hadEpoch});
		return true;
	}

	/**
	 * Applies the changes after the revision `since`.
	 *
	 * @returns `false` if the mirror is not complete up to `since`, or not of the epoch of the changes, in which case nothing is applied
	 */
	apply(batch: WatchBatch, since: number): boolean {
		if (since > this.#revision || (batch.epoch !== undefined && (batch.epoch !== this.#epoch || !this.#isEpochCertain))) {
			return false;
		}

		if (batch.revision <= this.#revision) {
			return true;
		}

		const changedKeys = batch.changed.filter(object => this.#setIfNewer(object)).map(({key}) => key);
		for (const key of batch.deleted) {
			const known = this.#objects.get(key);
			if (known && known.revision <= batch.revision) {
				this.#objects.delete(key);
				changedKeys.push(key);
			}

			this.#tombstones.push({key, revision: batch.revision});
			this.#lastChangeRevision = batch.revision;
		}

		if (this.#tombstones.length > maxTombstones) {
			const evicted = this.#tombstones.splice(0, this.#tombstones.length - maxTombstones);
			this.#minDiffRevision = evicted.at(-1)!.revision;
		}

		const isFirstList = this.#revision === 0;
		this.#revision = batch.revision;
		this.#recordSource(batch.epoch);
		this.#emit({keys: changedKeys, isFirstList, isNewEpoch: false});
		return true;
	}

	/**
	 * Computes the changes after the revision `since`.
	 *
	 * @returns the changes, or `undefined` if the deletions since then are not known
	 */
	computeDiff(since: number): WatchBatch | undefined {
		if (since < this.#minDiffRevision) {
			return undefined;
		}

		return {
			changed: [...this.#objects.values()].filter(({revision}) => revision > since),
			deleted: [...new Set(this.#tombstones.filter(({key, revision}) => revision > since && !this.#objects.has(key)).map(({key}) => key))],
			revision: this.#revision,
		};
	}

	/** Records the epoch that the source of the newest state has named. */
	#recordSource(epoch: number | undefined): void {
		this.#isEpochCertain = epoch !== undefined || this.#epoch === 0;
		this.#epoch = epoch ?? this.#epoch;
	}

	/** Stores the object if it is newer than the mirrored one. Returns whether it was stored. */
	#setIfNewer(object: StoredObject): boolean {
		const known = this.#objects.get(object.key);
		if (known && known.revision >= object.revision) {
			return false;
		}

		this.#objects.set(object.key, object);
		this.#lastChangeRevision = Math.max(this.#lastChangeRevision, object.revision);
		return true;
	}

	#emit(change: MirrorChange): void {
		if (change.keys.length > 0 || change.isNewEpoch) {
			void this.events.emit('changed', change);
		}
	}
}
