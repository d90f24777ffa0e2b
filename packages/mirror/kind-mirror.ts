/**
 * A mirror: a copy of all objects of one kind in the object store. It carries
 * the revision of the whole store up to which it is complete. This one number
 * shows which of two mirrors of a kind is newer, and the instance that has the
 * newer one can send the difference to the other.
 */
import Emittery from 'emittery';
import type {StoredObject, WatchBatch} from '#object-store';

export type MirrorChange = Readonly<{
	/** Keys of the objects that were added, changed or deleted. */
	keys: readonly string[];
	/** Whether this is the first list, so that the time of the changes is not known. */
	isFirstList: boolean;
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

	get(key: string): StoredObject | undefined {
		return this.#objects.get(key);
	}

	list(): readonly StoredObject[] {
		return [...this.#objects.values()];
	}

	/**
	 * Replaces all objects by those of a list.
	 *
	 * @param revision revision of the store at which the list was taken; a list that is older than the mirror is ignored
	 */
	replace(objects: readonly StoredObject[], revision: number): void {
		if (revision < this.#revision) {
			return;
		}

		const listedKeys = new Set(objects.map(({key}) => key));
		const deletedKeys = [...this.#objects.keys()].filter(key => !listedKeys.has(key));
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
		this.#emit([...changedKeys, ...deletedKeys], isFirstList);
	}

	/**
	 * Applies the changes after the revision `since`.
	 *
	 * @returns `false` if the mirror is not complete up to `since`, in which case nothing is applied
	 */
	apply(batch: WatchBatch, since: number): boolean {
		if (since > this.#revision) {
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
		this.#emit(changedKeys, isFirstList);
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

	#emit(keys: readonly string[], isFirstList: boolean): void {
		if (keys.length > 0) {
			void this.events.emit('changed', {keys, isFirstList});
		}
	}
}
