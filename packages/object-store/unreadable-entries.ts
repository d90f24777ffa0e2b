/**
 * Counts and logs entries of the object store that cannot be read, such as those
 * of another writer. Each revision of an entry is counted and logged once, however
 * often it is listed.
 */
import type {StoredObject} from './object-store.ts';
import type {Telemetry} from '#telemetry';

/** Maximum number of entries whose counted revision is kept; beyond that, those counted first may be counted again. */
const maxKeptEntries = 1024;

/** Maximum length of a key or a reason in a log line, in characters. */
const maxLoggedLength = 300;

export class UnreadableEntries {
	readonly #telemetry: Pick<Telemetry, 'count' | 'log'>;
	/** Counted revision by key. */
	readonly #revisions = new Map<string, number>();

	constructor(telemetry: Pick<Telemetry, 'count' | 'log'>) {
		this.#telemetry = telemetry;
	}

	/** Records that an entry is passed over, and why. */
	record({key, revision}: Pick<StoredObject, 'key' | 'revision'>, reason: string): void {
		if (this.#revisions.get(key) === revision) {
			return;
		}

		this.#revisions.delete(key);
		this.#revisions.set(key, revision);
		if (this.#revisions.size > maxKeptEntries) {
			const [oldest] = this.#revisions.keys();
			this.#revisions.delete(oldest!);
		}

		this.#telemetry.count('entries_unreadable_total', {kind: key.slice(0, key.indexOf('/'))});
		this.#telemetry.log('entry of the object store cannot be read and is passed over', {
			key: key.slice(0, maxLoggedLength), revision, reason: reason.slice(0, maxLoggedLength),
		});
	}
}
