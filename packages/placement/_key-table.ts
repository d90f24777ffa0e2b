/**
 * A bounded set of 64-bit piece keys in typed arrays. The level of a key is the
 * index of its piece in the chain. The set is a set-associative hash table: a full
 * bucket evicts the entry with the highest level, and among entries of equal level
 * the one stored longest ago. Each slot takes 12 bytes.
 */
/* eslint-disable no-bitwise -- the table masks and packs 32-bit words */
import {hash64} from '#core';

/** Piece keys as pairs of 32-bit words, high word first. */
export type KeyWords = Uint32Array<ArrayBuffer>;

const slotsPerBucket = 8;
const initialBuckets = 16;

/**
 * Layout of an entry's meta word: a bit that marks the slot as used, a 15-bit stamp
 * (counter of stores), an 8-bit epoch and an 8-bit level. 0 marks a free slot.
 */
const usedBit = 0x80_00_00_00;
const levelMask = 0xFF;
const epochShift = 8;
const epochMask = 0xFF;
const stampShift = 16;
const stampMask = 0x7F_FF;
/** Level of a key whose place in the chain is unknown; evicted first. */
const unknownLevel = levelMask;
const keyPattern = /^[\da-f]{16}$/v;

/** Parses keys; hashes a key first if it is not 16 hexadecimal digits. */
export function parseKeys(keys: readonly string[]): KeyWords {
	const words = new Uint32Array(keys.length * 2);
	for (const [index, key] of keys.entries()) {
		const digits = keyPattern.test(key) ? key : hash64(key);
		words[index * 2] = Number.parseInt(digits.slice(0, 8), 16);
		words[(index * 2) + 1] = Number.parseInt(digits.slice(8), 16);
	}

	return words;
}

/** A bounded set of keys; each key has a level in its chain and an epoch. */
export class KeyTable {
	readonly #maxBuckets: number;
	#buckets = initialBuckets;
	#high = new Uint32Array(initialBuckets * slotsPerBucket);
	#low = new Uint32Array(initialBuckets * slotsPerBucket);
	#meta = new Uint32Array(initialBuckets * slotsPerBucket);
	#size = 0;
	#stamp = 0;

	/** @param maxEntries maximum number of entries; rounded down to a power of two, at least 128 */
	constructor(maxEntries: number) {
		this.#maxBuckets = Math.max(initialBuckets, 2 ** Math.floor(Math.log2(maxEntries / slotsPerBucket)));
	}

	get size(): number {
		return this.#size;
	}

	/** Size of the arrays, in bytes. */
	get bytes(): number {
		return this.#buckets * slotsPerBucket * 12;
	}

	/** @returns the epoch in which the key was last stored, or -1 if it is absent */
	getEpoch(high: number, low: number): number {
		const slot = this.#findSlot(high, low);
		return slot === -1 ? -1 : (this.#meta[slot]! >>> epochShift) & epochMask;
	}

	/**
	 * Stores a key, or updates its epoch if it is present.
	 *
	 * @param level 0 for the first piece of the chain; absent if unknown
	 */
	set(high: number, low: number, epoch: number, level?: number): void {
		if (this.#size > this.#buckets * slotsPerBucket / 2 && this.#buckets < this.#maxBuckets) {
			this.#grow();
		}

		let slot = this.#findSlot(high, low);
		const previousLevel = slot === -1 ? unknownLevel : this.#meta[slot]! & levelMask;
		if (slot === -1) {
			slot = this.#allocateSlot(low);
			this.#high[slot] = high;
			this.#low[slot] = low;
		}

		this.#stamp = (this.#stamp + 1) & stampMask;
		const newLevel = level === undefined ? previousLevel : Math.min(level, unknownLevel - 1);
		this.#meta[slot] = (usedBit | (this.#stamp << stampShift) | ((epoch & epochMask) << epochShift) | newLevel) >>> 0;
	}

	delete(high: number, low: number): void {
		const slot = this.#findSlot(high, low);
		if (slot !== -1) {
			this.#meta[slot] = 0;
			this.#size--;
		}
	}

	clear(): void {
		this.#meta.fill(0);
		this.#size = 0;
	}

	/** Lists keys as 16 hexadecimal digits, lowest levels first; keys of unknown level come last. */
	list(maxKeys: number): readonly string[] {
		const slots = [...this.#meta.keys()].filter(slot => this.#meta[slot] !== 0);
		return slots
			.toSorted((a, b) => (this.#meta[a]! & levelMask) - (this.#meta[b]! & levelMask))
			.slice(0, maxKeys)
			.map(slot => formatWord(this.#high[slot]!) + formatWord(this.#low[slot]!));
	}

	#findSlot(high: number, low: number): number {
		const firstSlot = (low & (this.#buckets - 1)) * slotsPerBucket;
		for (let slot = firstSlot; slot < firstSlot + slotsPerBucket; slot++) {
			if (this.#low[slot] === low && this.#high[slot] === high && this.#meta[slot] !== 0) {
				return slot;
			}
		}

		return -1;
	}

	/** Returns a free slot in the key's bucket; if the bucket is full, returns the slot of the entry to evict. */
	#allocateSlot(low: number): number {
		const firstSlot = (low & (this.#buckets - 1)) * slotsPerBucket;
		let victim = firstSlot;
		let maxScore = -1;
		for (let slot = firstSlot; slot < firstSlot + slotsPerBucket; slot++) {
			const meta = this.#meta[slot]!;
			if (meta === 0) {
				this.#size++;
				return slot;
			}

			const age = (this.#stamp - (meta >>> stampShift)) & stampMask;
			const score = ((meta & levelMask) * (stampMask + 1)) + age;
			if (score > maxScore) {
				maxScore = score;
				victim = slot;
			}
		}

		return victim;
	}

	#grow(): void {
		const [high, low, meta] = [this.#high, this.#low, this.#meta];
		this.#buckets *= 2;
		this.#high = new Uint32Array(this.#buckets * slotsPerBucket);
		this.#low = new Uint32Array(this.#buckets * slotsPerBucket);
		this.#meta = new Uint32Array(this.#buckets * slotsPerBucket);
		this.#size = 0;
		for (const [index, value] of meta.entries()) {
			if (value !== 0) {
				const slot = this.#allocateSlot(low[index]!);
				this.#high[slot] = high[index]!;
				this.#low[slot] = low[index]!;
				this.#meta[slot] = value;
			}
		}
	}
}

function formatWord(word: number): string {
	return word.toString(16).padStart(8, '0');
}
