/** 64-bit non-cryptographic hashes by `xxhash-wasm`, which loads asynchronously once per process. */
import xxhash, {type XXHashAPI} from 'xxhash-wasm';

let hasher: XXHashAPI | undefined;

/** Loads the hash function; must have finished before the first {@link hash64}. */
export async function prepareHash(): Promise<void> {
	hasher ??= await xxhash();
}

/**
 * Hashes a text with XXH64.
 *
 * @returns 16 hexadecimal digits
 * @throws {Error} when {@link prepareHash} has not finished
 */
export function hash64(text: string): string {
	if (!hasher) {
		throw new Error('prepareHash must finish before hash64 is called');
	}

	return hasher.h64ToString(text);
}
