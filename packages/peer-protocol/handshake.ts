/**
 * Mutual authentication with a shared secret. Each side sends a hello with a
 * fresh nonce, then proves that it knows the secret with an HMAC (RFC 2104) over
 * its role and both hellos. Replaying a recorded handshake fails because the
 * other side's nonce is new; reflecting a proof fails because the HMAC covers
 * the role. Each direction then gets its own session key.
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import * as z from 'zod';
import {decodeValue} from './codec.ts';
import {peerIdentitySchema} from './identity.ts';
import {fail, succeed, type Result} from '#core';

/** Whether this end opened or accepted the connection. */
export type LinkRole = 'opener' | 'acceptor';

/** Oldest (`least`) and newest version of the peer protocol that this program supports; both are fields of the hello. */
export const protocolVersions = {least: 1, newest: 1} as const;

/** Length of a nonce, in bytes. */
export const nonceBytes = 32;
/** Length of the truncated HMAC that authenticates each frame after the handshake, in bytes. */
export const frameMacBytes = 16;

const uint64Bytes = 8;
const maxExtensionLength = 50;
const maxExtensions = 32;

/** Extensions that this program understands. */
export const protocolExtensions = ['channels', 'origin_archive'] as const;

export type ProtocolExtension = (typeof protocolExtensions)[number];

/** Schema of the hello: the first frame in each direction. */
export const helloSchema = z.object({
	protocol: z.literal('apricotdoor'),
	least: z.number().int(),
	newest: z.number().int(),
	peer: peerIdentitySchema,
	/** What the sender understands beyond the protocol version; absent from older programs. */
	extensions: z.array(z.string().max(maxExtensionLength)).max(maxExtensions).optional(),
	nonce: z.instanceof(Uint8Array).refine(value => value.length === nonceBytes),
});

/** The first frame in each direction. */
export type Hello = Readonly<z.infer<typeof helloSchema>>;

/** The encoded hellos of both sides, exactly as sent. */
export type Transcript = Readonly<{opener: Uint8Array; acceptor: Uint8Array}>;

/** Why a hello is refused. */
export type HelloFault = 'malformed' | 'incompatible';

/** Decodes a hello and checks that its version range overlaps with the supported one. */
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

/** Computes the proof that the side with the given role knows the secret. */
export function computeProof(secret: string, role: LinkRole, transcript: Transcript): Uint8Array {
	return computeTranscriptMac(secret, `proof ${role}`, transcript);
}

/** Derives the key that authenticates frames sent by the side with the given role. */
export function deriveSessionKey(secret: string, role: LinkRole, transcript: Transcript): Uint8Array {
	return computeTranscriptMac(secret, `key ${role}`, transcript);
}

/** Computes the message authentication code of a frame. It covers the frame's sequence number in its direction, so that repeated, missing and reordered frames are detected. */
export function computeFrameMac(key: Uint8Array, sequence: number, body: Uint8Array): Uint8Array {
	const sequenceBuffer = Buffer.alloc(uint64Bytes);
	sequenceBuffer.writeBigUInt64BE(BigInt(sequence));
	return createHmac('sha256', key).update(sequenceBuffer).update(body).digest().subarray(0, frameMacBytes);
}

/** Compares two byte arrays of equal length in constant time; arrays of different length are unequal. */
export function isEqualInConstantTime(a: Uint8Array, b: Uint8Array): boolean {
	return a.length === b.length && timingSafeEqual(a, b);
}

function computeTranscriptMac(secret: string, purpose: string, transcript: Transcript): Uint8Array {
	const hmac = createHmac('sha256', secret).update(`apricotdoor ${purpose}\0`);
	for (const hello of [transcript.opener, transcript.acceptor]) {
		const length = Buffer.alloc(uint64Bytes);
		length.writeBigUInt64BE(BigInt(hello.length));
		hmac.update(length).update(hello);
	}

	return hmac.digest();
}
