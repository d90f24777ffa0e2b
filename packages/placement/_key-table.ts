/**
 * A bounded set of 64-bit piece keys in typed arrays: a set-associative table
 * whose buckets evict the deepest level first and among equals the entry that
 * was stored longest ago. It takes 12 bytes an entry.
 */
/* eslint-disable no-bitwise -- words of hashes are mixed, masked and packed */
import {hash64} from '#core';

/** Piece keys as pairs of 32-bit words, high word first. */
export type KeyWords = Uint32Array<ArrayBuffer>;

const ways = 8;
const firstBuckets = 16;
const usedBit = 0x80_00_00_00;
const levelMask = 0xFF;
const epochShift = 8;
const epochMask = 0xFF;
const stampShift = 16;
const stampMask = 0x7F_FF;
const unknownLevel = levelMask;
const hexadecimal = /^[\da-f]{16}$/v;

/** Parses keys; one that is not 16 hexadecimal digits is hashed first. */
export function parseKeys(keys: readonly string[]): KeyWords {
	const words = new Uint32Array(keys.length * 2);
	for (const [index, key] of keys.entries()) {
		const digits = hexadecimal.test(key) ? key : hash64(key);
		words[index * 2] = Number.parseInt(digits.slice(0, 8), 16);
		words[(index * 2) + 1] = Number.parseInt(digits.slice(8), 16);
	}

	return words;
}

/** A bounded set of keys, each with its level in the chain and an epoch. */
export class KeyTable {
	readonly #maxBuckets: number;
	#buckets = firstBuckets;
	#high = new Uint32Array(firstBuckets * ways);
	#low = new Uint32Array(firstBuckets * ways);
	#meta = new Uint32Array(firstBuckets * ways);
	#size = 0;
	#stamp = 0;

	/** @param maxEntries rounded down to a power of two; at least 128 */
	constructor(maxEntries: number) {
		this.#maxBuckets = Math.max(firstBuckets, 2 ** Math.floor(Math.log2(maxEntries / ways)));
	}

	get size(): number {
		return this.#size;
	}

	/** Bytes of the arrays. */
	get bytes(): number {
		return this.#buckets * ways * 12;
	}

	/** @returns the epoch that a key was last stored in, or -1 */
	getEpoch(high: number, low: number): number {
		const slot = this.#find(high, low);
		return slot === -1 ? -1 : (this.#meta[slot]! >>> epochShift) & epochMask;
	}

	/**
	 * Stores a key or renews its epoch.
	 *
	 * @param level level in the chain, 0 outermost; absent when it is not known
	 */
	set(high: number, low: number, epoch: number, level?: number): void {
		if (this.#size > this.#buckets * ways / 2 && this.#buckets < this.#maxBuckets) {
			this.#grow();
		}

		let slot = this.#find(high, low);
		const known = slot === -1 ? unknownLevel : this.#meta[slot]! & levelMask;
		if (slot === -1) {
			slot = this.#take(low);
			this.#high[slot] = high;
			this.#low[slot] = low;
		}

		this.#stamp = (this.#stamp + 1) & stampMask;
		const kept = level === undefined ? known : Math.min(level, unknownLevel - 1);
		this.#meta[slot] = (usedBit | (this.#stamp << stampShift) | ((epoch & epochMask) << epochShift) | kept) >>> 0;
	}

	delete(high: number, low: number): void {
		const slot = this.#find(high, low);
		if (slot !== -1) {
			this.#meta[slot] = 0;
			this.#size--;
		}
	}

	clear(): void {
		this.#meta.fill(0);
		this.#size = 0;
	}

	/** Lists keys as 16 hexadecimal digits, upper levels first. */
	list(maxKeys: number): readonly string[] {
		const slots = [...this.#meta.keys()].filter(slot => this.#meta[slot] !== 0);
		return slots
			.toSorted((a, b) => (this.#meta[a]! & levelMask) - (this.#meta[b]! & levelMask))
			.slice(0, maxKeys)
			.map(slot => formatWord(this.#high[slot]!) + formatWord(this.#low[slot]!));
	}

	#find(high: number, low: number): number {
		const first = (low & (this.#buckets - 1)) * ways;
		for (let slot = first; slot < first + ways; slot++) {
			if (this.#low[slot] === low && this.#high[slot] === high && this.#meta[slot] !== 0) {
				return slot;
			}
		}

		return -1;
	}

	/** A free slot of the key's bucket; evicts when there is none. */
	#take(low: number): number {
		const first = (low & (this.#buckets - 1)) * ways;
		let victim = first;
		let worst = -1;
		for (let slot = first; slot < first + ways; slot++) {
			const meta = this.#meta[slot]!;
			if (meta === 0) {
				this.#size++;
				return slot;
			}

			const age = (this.#stamp - (meta >>> stampShift)) & stampMask;
			const score = ((meta & levelMask) * (stampMask + 1)) + age;
			if (score > worst) {
				worst = score;
				victim = slot;
			}
		}

		return victim;
	}

	#grow(): void {
		const [high, low, meta] = [this.#high, this.#low, this.#meta];
		this.#buckets *= 2;
		this.#high = new Uint32Array(this.#buckets * ways);
		this.#low = new Uint32Array(this.#buckets * ways);
		this.#meta = new Uint32Array(this.#buckets * ways);
		this.#size = 0;
		for (const [index, value] of meta.entries()) {
			if (value !== 0) {
				const slot = this.#take(low[index]!);
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
