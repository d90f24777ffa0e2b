/**
 * The piece keys believed to be cached on one incarnation of a target, from
 * cache events that may have gaps and from answers. After a gap all entries
 * are suspect until later evidence renews them.
 */
import {KeyTable, parseKeys, type KeyWords} from './_key-table.ts';
import type {CacheEvent, CacheEventBatch} from '#core';

/** How much of a chain is believed to be cached. */
export type CachedPrefix = Readonly<{
	/** Pieces of the longest matching prefix. */
	pieces: number;
	/** Pieces of it that rest on evidence from before a gap. */
	suspect: number;
}>;

const epochs = 256;

/** Cached keys of one target. */
export class CachedKeys {
	readonly #table: KeyTable;
	#epoch = 0;
	#sequence = 0;

	constructor(maxEntries: number) {
		this.#table = new KeyTable(maxEntries);
	}

	/** Sequence number after which the next events are wanted. */
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
	 * Takes in events.
	 *
	 * @returns whether events were missing
	 */
	applyEvents(batch: CacheEventBatch): boolean {
		if (batch.sequence < this.#sequence) {
			return false;
		}

		const fresh = batch.events.filter(({sequence}) => sequence > this.#sequence);
		const hasGap = fresh.length < batch.sequence - this.#sequence;
		if (hasGap) {
			this.markSuspect();
		}

		for (const event of fresh) {
			this.#applyEvent(event);
		}

		this.#sequence = batch.sequence;
		return hasGap;
	}

	/** Records a chain as cached. */
	store(words: KeyWords): void {
		for (let index = 0; index < words.length; index += 2) {
			this.#table.set(words[index]!, words[index + 1]!, this.#epoch, index / 2);
		}
	}

	/** Makes all present entries suspect. */
	markSuspect(): void {
		this.#epoch = (this.#epoch + 1) % epochs;
	}

	/** Forgets everything, and wants all events from the first. */
	clear(): void {
		this.#table.clear();
		this.#sequence = 0;
	}

	/** Lists keys, upper levels first. */
	list(maxKeys: number): readonly string[] {
		return this.#table.list(maxKeys);
	}

	/** Takes in keys that another instance knew after the events up to a sequence number. */
	load(words: KeyWords, sequence: number): void {
		for (let index = 0; index < words.length; index += 2) {
			this.#table.set(words[index]!, words[index + 1]!, this.#epoch);
		}

		this.#sequence = sequence;
	}

	/** Finds the longest prefix of a chain that is believed to be cached. */
	match(words: KeyWords): CachedPrefix {
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
