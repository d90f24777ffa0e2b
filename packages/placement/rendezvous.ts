/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998) with bounded load (Mirrokni,
 * Thorup and Zadimoghaddam, 2018): instances that know the same targets agree
 * on a key's home without a message, and no home takes much more than its share.
 */
/* eslint-disable no-bitwise -- words of hashes are mixed, masked and packed */
import {parseKeys} from './_key-table.ts';
import {hash64} from '#core';

/** Options of {@link pickHomes}. */
export type HomeOptions = Readonly<{
	/** Homes wanted. Default: 1. */
	count?: number;
	/** Work that each target has at present, in any unit. Default: none anywhere. */
	getLoad?: (name: string) => number;
	/** Share of the mean load above which a target is passed over. Default: 1.25. */
	bound?: number;
}>;

const defaultBound = 1.25;
const firstMultiplier = 0x85_EB_CA_6B;
const secondMultiplier = 0xC2_B2_AE_35;

const nameHashes = new Map<string, number>();
const maxNameHashes = 10_000;

/**
 * Picks the homes of a key among targets.
 *
 * @returns names, most preferred first; at most one in a pool of one
 */
export function pickHomes(names: readonly string[], key: string, options: HomeOptions = {}): readonly string[] {
	const {count = 1, getLoad = () => 0, bound = defaultBound} = options;
	const limit = computeLimit(names, getLoad, bound);
	const open = names.filter(name => getLoad(name) <= limit);
	const [high = 0, low = 0] = parseKeys([key]);
	const best: Array<{name: string; score: number}> = [];
	for (const name of open) {
		const score = hashWords(hashName(name) ^ high, low);
		if (best.length < count || score > best.at(-1)!.score) {
			best.push({name, score});
			best.sort((a, b) => b.score - a.score);
			best.length = Math.min(best.length, count);
		}
	}

	return best.map(({name}) => name);
}

function computeLimit(names: readonly string[], getLoad: (name: string) => number, bound: number): number {
	let sum = 0;
	for (const name of names) {
		sum += getLoad(name);
	}

	return (bound * sum / Math.max(1, names.length)) + Number.EPSILON;
}

/** The 32-bit finalizer of MurmurHash3 over two words. */
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
