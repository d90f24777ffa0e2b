/** The record of a request that runs at most once, as the platform keeps it. */
import {createHash} from 'node:crypto';
import * as z from 'zod';
import {refusalRules, type RefusalReason, type RoutedRequest} from '#core';

const ownerSchema = z.object({name: z.string(), incarnation: z.string()});

const answerSchema = z.object({
	target: z.string(),
	status: z.number(),
	contentType: z.string().optional(),
	cachedTokens: z.number(),
	/** Answer bytes in base64; absent where they were too many to keep. */
	body: z.string().optional(),
	/** SHA-256 of the answer bytes, in hexadecimal. */
	digest: z.string(),
	tools: z.array(z.object({
		index: z.number(), id: z.string(), name: z.string(), arguments: z.string(),
	})),
	usage: z.object({promptTokens: z.number(), completionTokens: z.number(), cachedTokens: z.number()}).optional(),
	finish: z.string(),
});

const isReason = (text: string): text is RefusalReason => Object.hasOwn(refusalRules, text);

const failureSchema = z.object({
	reason: z.string().refine(isReason),
	ran: z.enum(['not_run', 'unknown', 'ran']),
});

const baseShape = {
	/** Fingerprint of the request's route and body. */
	fingerprint: z.string(),
	/** The instance that runs the request. */
	owner: ownerSchema,
	/** Distinguishes this claim from any other of the same key. */
	nonce: z.string(),
	/** Wall time by which the run is over, in Unix milliseconds. */
	endsWallMs: z.number(),
	/** Wall time after which the record may be removed, in Unix milliseconds. */
	expiresWallMs: z.number(),
};

/** Schema of the record. `released` means that the request provably did not run. */
export const claimRecordSchema = z.discriminatedUnion('state', [
	z.object({...baseShape, state: z.literal('claimed')}),
	z.object({...baseShape, state: z.literal('answered'), answer: answerSchema}),
	z.object({...baseShape, state: z.literal('failed'), failure: failureSchema}),
	z.object({...baseShape, state: z.literal('unknown')}),
	z.object({...baseShape, state: z.literal('released')}),
]);

/** The record of a claim. */
export type ClaimRecord = Readonly<z.infer<typeof claimRecordSchema>>;
/** The instance that made a claim. */
export type ClaimOwner = Readonly<z.infer<typeof ownerSchema>>;
/** A kept answer. */
export type KeptAnswer = Readonly<z.infer<typeof answerSchema>>;

/** Prefix of all records on the platform. */
export const claimPrefix = 'claims/';

/** Hexadecimal digits of a key that name its shard. */
export const shardDigits = 3;

/**
 * Key of a request's record on the platform. It covers the customer, so that no
 * customer sees another's records, and starts with the record's shard.
 */
export function makeClaimKey(customer: string, idempotencyKey: string): string {
	const digest = createHash('sha256').update(JSON.stringify([customer, idempotencyKey])).digest('hex');
	return `${claimPrefix}${digest.slice(0, shardDigits)}/${digest}`;
}

/** Fingerprint of what a request asks for: its route, method, path and body. */
export function makeFingerprint({route, work}: RoutedRequest): string {
	const hash = createHash('sha256');
	if (work.kind === 'call') {
		hash.update(JSON.stringify([route.name, work.method, work.path])).update(work.body);
	} else {
		hash.update(JSON.stringify([route.name, work.messages, work.maxTokens, work.extra]));
	}

	return hash.digest('hex');
}

/** Parses a stored record; nothing when it is not one. */
export function parseRecord(text: string): ClaimRecord | undefined {
	try {
		return claimRecordSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}
