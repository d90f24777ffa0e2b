/** Checks operators' bearer tokens. An instance stores only the digests of the tokens. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';

/**
 * Returns whether the digest of the bearer token is one of the operators' digests. Compares them in constant time.
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

	// A missing or malformed token is read as the empty string, which is refused even if its digest is configured.
	return isMatch && token !== '';
}
