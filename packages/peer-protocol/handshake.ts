/**
 * Mutual authentication by a shared secret. Each side sends a hello with a
 * fresh nonce and then proves, by an HMAC (RFC 2104) over its role and both
 * hellos, that it knows the secret. A replayed hello fails because the other
 * side's nonce is new; a reflected proof fails because the role is covered.
 * Both directions then get a key of their own.
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import * as z from 'zod';
import {decodeValue} from './codec.ts';
import {peerSchema} from './identity.ts';
import {fail, succeed, type Result} from '#core';

/** Which end opened the connection. */
export type LinkRole = 'opener' | 'acceptor';

/** Versions of the inner protocol that this program speaks. */
export const protocolVersions = {least: 1, newest: 1} as const;

/** Bytes of a nonce. */
export const nonceBytes = 32;
/** Bytes of the code that covers each frame after the handshake. */
export const codeBytes = 16;

const sequenceBytes = 8;

/** Schema of the first frame in each direction. */
export const helloSchema = z.object({
	protocol: z.literal('apricotdoor'),
	least: z.number().int(),
	newest: z.number().int(),
	peer: peerSchema,
	nonce: z.instanceof(Uint8Array).refine(value => value.length === nonceBytes),
});

/** The first frame in each direction. */
export type Hello = Readonly<z.infer<typeof helloSchema>>;

/** Both hellos as they travelled. */
export type Transcript = Readonly<{opener: Uint8Array; acceptor: Uint8Array}>;

/** Why a hello is not accepted. */
export type HelloFault = 'malformed' | 'incompatible';

/** Checks a hello and the version range in it. */
export function parseHello(bytes: Uint8Array): Result<Hello, HelloFault> {
	const decoded = decodeValue(bytes);
	const parsed = decoded.ok ? helloSchema.safeParse(decoded.value) : undefined;
	if (!parsed?.success) {
		return fail('malformed');
	}

	const {least, newest} = parsed.data;
	const version = Math.min(newest, protocolVersions.newest);
	return version >= Math.max(least, protocolVersions.least) ? succeed(parsed.data) : fail('incompatible');
}

/** Proves that the side of the given role knows the secret. */
export function makeProof(secret: string, role: LinkRole, transcript: Transcript): Uint8Array {
	return computeDigest(secret, `proof ${role}`, transcript);
}

/** Derives the key that covers frames sent by the side of the given role. */
export function makeSessionKey(secret: string, role: LinkRole, transcript: Transcript): Uint8Array {
	return computeDigest(secret, `key ${role}`, transcript);
}

/** The code of the frame with the given place in its direction; a repeated, missing or moved frame has another. */
export function makeFrameCode(key: Uint8Array, sequence: number, body: Uint8Array): Uint8Array {
	const place = Buffer.alloc(sequenceBytes);
	place.writeBigUInt64BE(BigInt(sequence));
	return createHmac('sha256', key).update(place).update(body).digest().subarray(0, codeBytes);
}

/** Compares two codes in constant time. */
export function isSameCode(a: Uint8Array, b: Uint8Array): boolean {
	return a.length === b.length && timingSafeEqual(a, b);
}

function computeDigest(secret: string, purpose: string, transcript: Transcript): Uint8Array {
	const hmac = createHmac('sha256', secret).update(`apricotdoor ${purpose}\0`);
	for (const hello of [transcript.opener, transcript.acceptor]) {
		const length = Buffer.alloc(sequenceBytes);
		length.writeBigUInt64BE(BigInt(hello.length));
		hmac.update(length).update(hello);
	}

	return hmac.digest();
}
