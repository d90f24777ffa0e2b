/**
 * A copy of one kind of the object store's objects. The copy carries the
 * revision of the whole store up to which it is complete, so that two copies of
 * a kind compare by one number, and the difference between them can be handed
 * over by whoever holds the newer one.
 */
import Emittery from 'emittery';
import type {StoredObject, WatchBatch} from '#object-store';

/** What changed: names of objects that are new, different or gone. */
export type MirrorChange = Readonly<{names: readonly string[]}>;

type Tombstone = Readonly<{name: string; revision: number}>;

/** Removals kept for those that ask for a difference. */
const maxTombstones = 1024;

/** Objects of one kind by name. */
export class KindMirror {
	readonly kind: string;
	readonly events = new Emittery<{changed: MirrorChange}>();
	readonly #objects = new Map<string, StoredObject>();
	#tombstones: Tombstone[] = [];
	/** Differences from before this revision lack removals. */
	#completeSince = 0;
	#revision = 0;
	#changedRevision = 0;

	constructor(kind: string) {
		this.kind = kind;
	}

	/** Revision of the store up to which the copy is complete; 0 before the first list. */
	get revision(): number {
		return this.#revision;
	}

	/** Revision by which the newest known change was made; a copy that is complete up to it lacks nothing of this one. */
	get changedRevision(): number {
		return this.#changedRevision;
	}

	get(name: string): StoredObject | undefined {
		return this.#objects.get(name);
	}

	list(): readonly StoredObject[] {
		return [...this.#objects.values()];
	}

	/**
	 * Replaces the copy by a list.
	 *
	 * @param revision revision of the store at which the list was taken; an older one than the copy's is ignored
	 */
	replace(objects: readonly StoredObject[], revision: number): void {
		if (revision < this.#revision) {
			return;
		}

		const listed = new Set(objects.map(({key}) => key));
		const gone = [...this.#objects.keys()].filter(name => !listed.has(name));
		const names = objects.filter(object => this.#put(object)).map(({key}) => key);
		for (const name of gone) {
			this.#objects.delete(name);
		}

		if (gone.length > 0) {
			this.#changedRevision = revision;
		}

		this.#tombstones = [];
		this.#completeSince = revision;
		this.#revision = revision;
		this.#emit([...names, ...gone]);
	}

	/**
	 * Takes in changes that follow `since`.
	 *
	 * @returns `false` where changes between the copy and `since` are missing
	 */
	apply(batch: WatchBatch, since: number): boolean {
		if (since > this.#revision) {
			return false;
		}

		if (batch.revision <= this.#revision) {
			return true;
		}

		const names = batch.changed.filter(object => this.#put(object)).map(({key}) => key);
		for (const name of batch.deleted) {
			const known = this.#objects.get(name);
			if (known && known.revision <= batch.revision) {
				this.#objects.delete(name);
				names.push(name);
			}

			this.#tombstones.push({name, revision: batch.revision});
			this.#changedRevision = batch.revision;
		}

		if (this.#tombstones.length > maxTombstones) {
			const dropped = this.#tombstones.splice(0, this.#tombstones.length - maxTombstones);
			this.#completeSince = dropped.at(-1)!.revision;
		}

		this.#revision = batch.revision;
		this.#emit(names);
		return true;
	}

	/**
	 * What changed after a revision.
	 *
	 * @returns nothing where the removals since then are not known
	 */
	diff(since: number): WatchBatch | undefined {
		if (since < this.#completeSince) {
			return undefined;
		}

		return {
			changed: [...this.#objects.values()].filter(({revision}) => revision > since),
			deleted: [...new Set(this.#tombstones.filter(({name, revision}) => revision > since && !this.#objects.has(name)).map(({name}) => name))],
			revision: this.#revision,
		};
	}

	/** @returns whether the object is news */
	#put(object: StoredObject): boolean {
		const known = this.#objects.get(object.key);
		if (known && known.revision >= object.revision) {
			return false;
		}

		this.#objects.set(object.key, object);
		this.#changedRevision = Math.max(this.#changedRevision, object.revision);
		return true;
	}

	#emit(names: readonly string[]): void {
		if (names.length > 0) {
			void this.events.emit('changed', {names});
		}
	}
}
