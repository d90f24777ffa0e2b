/** Checks operators' bearer tokens. An instance stores only the digests of the tokens. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';

/**
 * Compares the digest of the bearer token with every known digest, in constant time.
 *
 * @param header value of the `Authorization` header
 * @param digests SHA-256 digests in hexadecimal
 */
export function hasOperatorToken(header: string | undefined, digests: readonly string[]): boolean {
	const token = /^bearer (\S{1,512})$/iv.exec(header ?? '')?.[1] ?? '';
	const tokenDigest = createHash('sha256').update(token).digest();
	let isMatch = false;
	for (const operatorDigest of digests) {
		// Compares every digest, so that the response time does not reveal which one matched.
		isMatch = timingSafeEqual(tokenDigest, Buffer.from(operatorDigest, 'hex')) || isMatch;
	}

	return isMatch && token !== '';
}
