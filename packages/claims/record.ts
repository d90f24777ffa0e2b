/** The claim record of a request that runs at most once, as stored on the platform. */
import {createHash} from 'node:crypto';
import * as z from 'zod';
import {refusalRules, type RefusalReason, type RoutedRequest} from '#core';

const ownerSchema = z.object({name: z.string(), incarnation: z.string()});

const answerSchema = z.object({
	target: z.string(),
	status: z.number(),
	contentType: z.string().optional(),
	cachedTokens: z.number(),
	/** Answer bytes in base64; absent if the answer was too large to store. */
	body: z.string().optional(),
	/** SHA-256 digest of the answer bytes, in hexadecimal. */
	digest: z.string(),
	tools: z.array(z.object({
		index: z.number(), id: z.string(), name: z.string(), arguments: z.string(),
	})),
	usage: z.object({promptTokens: z.number(), completionTokens: z.number(), cachedTokens: z.number()}).optional(),
	finish: z.string(),
});

const isRefusalReason = (text: string): text is RefusalReason => Object.hasOwn(refusalRules, text);

const failureSchema = z.object({
	reason: z.string().refine(isRefusalReason),
	ran: z.enum(['not_run', 'unknown', 'ran']),
});

const baseShape = {
	/** Fingerprint of the request's route and body. */
	fingerprint: z.string(),
	/** Instance that runs the request. */
	owner: ownerSchema,
	/** Distinguishes this claim from other claims of the same key. */
	nonce: z.string(),
	/** Wall time of the request's deadline, by which its run has ended, in Unix milliseconds. */
	endsWallMs: z.number(),
	/** Wall time after which the record may be removed, in Unix milliseconds. */
	expiresWallMs: z.number(),
};

/** Schema of a claim record. The state `released` means that the request provably did not run. */
export const claimRecordSchema = z.discriminatedUnion('state', [
	z.object({...baseShape, state: z.literal('claimed')}),
	z.object({...baseShape, state: z.literal('answered'), answer: answerSchema}),
	z.object({...baseShape, state: z.literal('failed'), failure: failureSchema}),
	z.object({...baseShape, state: z.literal('unknown')}),
	z.object({...baseShape, state: z.literal('released')}),
]);

export type ClaimRecord = Readonly<z.infer<typeof claimRecordSchema>>;
/** Instance that acquired a claim. */
export type ClaimOwner = Readonly<z.infer<typeof ownerSchema>>;
/** A complete answer as a claim record holds it. */
export type StoredAnswer = Readonly<z.infer<typeof answerSchema>>;

/** Key prefix of all claim records on the platform. */
export const claimPrefix = 'claims/';

/** Number of hexadecimal digits in a record's key that name its shard. */
export const shardDigitCount = 3;

/**
 * Creates the key of a request's record on the platform. The key is a digest
 * over the customer and the idempotency key, so that no customer can reach the
 * records of another. It names the record's shard before the digest.
 */
export function createClaimKey(customer: string, idempotencyKey: string): string {
	const digest = createHash('sha256').update(JSON.stringify([customer, idempotencyKey])).digest('hex');
	return `${claimPrefix}${digest.slice(0, shardDigitCount)}/${digest}`;
}

/**
 * Computes the fingerprint of a request's content. It covers the route, method,
 * path and body of a service call, or the route, messages, token limit and extra
 * fields of a chat.
 */
export function computeFingerprint({route, work}: RoutedRequest): string {
	const hash = createHash('sha256');
	if (work.kind === 'call') {
		hash.update(JSON.stringify([route.name, work.method, work.path])).update(work.body);
	} else {
		hash.update(JSON.stringify([route.name, work.messages, work.maxTokens, work.extra]));
	}

	return hash.digest('hex');
}

/** Parses a stored record. Returns `undefined` if the text is not a valid record. */
export function parseClaimRecord(text: string): ClaimRecord | undefined {
	try {
		return claimRecordSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}
