/**
 * Tracks which piece keys are believed to be in the prefix cache of one
 * incarnation of a target. The sources are cache events, some of which may be
 * lost, and answers. When events were lost, all present entries become suspect
 * until a later event or answer confirms them.
 */
import {KeyTable, parseKeys, type KeyWords} from './_key-table.ts';
import type {CacheEvent, CacheEventBatch} from '#core';

/** The leading part of a chain that is believed to be cached. */
export type CachedPrefix = Readonly<{
	/** Number of pieces in the longest matching prefix. */
	pieces: number;
	/** Number of these pieces that were last confirmed before cache events were lost. */
	suspect: number;
}>;

/** Number of epochs that an entry of the key table can tell apart. */
const epochCount = 256;

/** The cached keys of one target. */
export class CachedKeys {
	readonly #table: KeyTable;
	/** Entries that were stored in an earlier epoch are suspect. */
	#epoch = 0;
	#sequence = 0;

	constructor(maxEntries: number) {
		this.#table = new KeyTable(maxEntries);
	}

	/** Sequence number of the newest cache event applied; the next read asks for later events. */
	get sequence(): number {
		return this.#sequence;
	}

	get size(): number {
		return this.#table.size;
	}

	get bytes(): number {
		return this.#table.bytes;
	}

	/**
	 * Applies cache events; if events are missing, all present entries become suspect.
	 *
	 * @returns whether events were missing
	 */
	applyEvents(batch: CacheEventBatch): boolean {
		if (batch.sequence < this.#sequence) {
			return false;
		}

		const newEvents = batch.events.filter(({sequence}) => sequence > this.#sequence);
		const hasGap = newEvents.length < batch.sequence - this.#sequence;
		if (hasGap) {
			this.markSuspect();
		}

		for (const event of newEvents) {
			this.#applyEvent(event);
		}

		this.#sequence = batch.sequence;
		return hasGap;
	}

	/** Records a chain as cached. */
	recordChain(words: KeyWords): void {
		for (let index = 0; index < words.length; index += 2) {
			this.#table.set(words[index]!, words[index + 1]!, this.#epoch, index / 2);
		}
	}

	/** Marks all present entries as suspect. */
	markSuspect(): void {
		this.#epoch = (this.#epoch + 1) % epochCount;
	}

	/** Removes all entries and resets the sequence number, so that the next read asks for all events. */
	clear(): void {
		this.#table.clear();
		this.#sequence = 0;
	}

	/** Lists keys, lowest levels in their chains first; keys of unknown level come last. */
	listKeys(maxKeys: number): readonly string[] {
		return this.#table.list(maxKeys);
	}

	/** Adds the keys that another instance knew after it had applied the events up to `sequence`. */
	mergeKeys(words: KeyWords, sequence: number): void {
		for (let index = 0; index < words.length; index += 2) {
			this.#table.set(words[index]!, words[index + 1]!, this.#epoch);
		}

		this.#sequence = sequence;
	}

	/** Finds the longest prefix of a chain that is believed to be cached. */
	findCachedPrefix(words: KeyWords): CachedPrefix {
		let pieces = 0;
		let suspect = 0;
		for (let index = 0; index < words.length; index += 2) {
			const epoch = this.#table.getEpoch(words[index]!, words[index + 1]!);
			if (epoch === -1) {
				break;
			}

			pieces++;
			suspect += epoch === this.#epoch ? 0 : 1;
		}

		return {pieces, suspect};
	}

	#applyEvent({kind, keys}: CacheEvent): void {
		if (kind === 'cleared') {
			this.#table.clear();
			return;
		}

		const words = parseKeys(keys);
		for (let index = 0; index < words.length; index += 2) {
			if (kind === 'stored') {
				this.#table.set(words[index]!, words[index + 1]!, this.#epoch);
			} else {
				this.#table.delete(words[index]!, words[index + 1]!);
			}
		}
	}
}
