/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998) with bounded load (Mirrokni,
 * Thorup and Zadimoghaddam, 2018): instances that know the same targets choose
 * the same homes for a key without exchanging messages, and no target gets much
 * more than the mean load.
 */
/* eslint-disable no-bitwise -- the hash function mixes 32-bit words */
import {parseKeys} from './_key-table.ts';
import {hash64} from '#core';

/** Options of {@link chooseHomes}. */
export type HomeOptions = Readonly<{
	/** Number of homes to choose. Default: 1. */
	count?: number;
	/** Returns the current load of a target, in any unit. Default: 0 for every target. */
	getLoad?: (name: string) => number;
	/** Multiple of the mean load above which a target is not chosen. Default: 1.25. */
	maxLoadRatio?: number;
}>;

const defaultMaxLoadRatio = 1.25;
const firstMultiplier = 0x85_EB_CA_6B;
const secondMultiplier = 0xC2_B2_AE_35;

/** Hashes of target names; cleared when it is full. */
const nameHashes = new Map<string, number>();
const maxNameHashes = 10_000;

/**
 * Chooses the homes of a key among targets.
 *
 * @returns names, most preferred first; fewer than `count` if fewer targets are within the load bound
 */
export function chooseHomes(names: readonly string[], key: string, options: HomeOptions = {}): readonly string[] {
	const {count = 1, getLoad = () => 0, maxLoadRatio = defaultMaxLoadRatio} = options;
	const maxLoad = computeMaxLoad(names, getLoad, maxLoadRatio);
	const candidates = names.filter(name => getLoad(name) <= maxLoad);
	const [high = 0, low = 0] = parseKeys([key]);
	const best: Array<{name: string; score: number}> = [];
	for (const name of candidates) {
		const score = hashWords(hashName(name) ^ high, low);
		if (best.length < count || score > best.at(-1)!.score) {
			best.push({name, score});
			best.sort((a, b) => b.score - a.score);
			best.length = Math.min(best.length, count);
		}
	}

	return best.map(({name}) => name);
}

function computeMaxLoad(names: readonly string[], getLoad: (name: string) => number, maxLoadRatio: number): number {
	let sum = 0;
	for (const name of names) {
		sum += getLoad(name);
	}

	return (maxLoadRatio * sum / Math.max(1, names.length)) + Number.EPSILON;
}

/** Hashes two words with the 32-bit finalizer of MurmurHash3. */
function hashWords(a: number, b: number): number {
	let hash = Math.imul(a ^ (a >>> 16), firstMultiplier) ^ b;
	hash = Math.imul(hash ^ (hash >>> 16), firstMultiplier);
	hash = Math.imul(hash ^ (hash >>> 13), secondMultiplier);
	return (hash ^ (hash >>> 16)) >>> 0;
}

function hashName(name: string): number {
	let hash = nameHashes.get(name);
	if (hash === undefined) {
		hash = Number.parseInt(hash64(name).slice(0, 8), 16);
		if (nameHashes.size >= maxNameHashes) {
			nameHashes.clear();
		}

		nameHashes.set(name, hash);
	}

	return hash;
}
