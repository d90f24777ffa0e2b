/** What travels on a link once both ends are authenticated, checked on arrival. */
import * as z from 'zod';
import {peerSchema} from './identity.ts';
import {peerMessageSchema} from './messages.ts';
import {peerRequestSchema, peerResponseSchema} from './requests.ts';

const maxNameLength = 200;
const maxHops = 64;

/** State that an instance repeats in each heartbeat. */
export const peerStatusSchema = z.object({
	/** Configuration generation in force; 0 for none. */
	generation: z.number().int().min(0),
	/** Whether it takes callers' requests. */
	ready: z.boolean(),
	/** Requests in progress. */
	running: z.number().int().min(0),
	/** Revision of the object store at the newest change that the sender knows of each copied kind. */
	revisions: z.record(z.string().max(maxNameLength), z.number().int().min(0)).optional(),
	/** Digest of the membership table. */
	membersDigest: z.string().max(maxNameLength),
});

/** Schema of every envelope. */
export const envelopeSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('heartbeat'), status: peerStatusSchema}),
	/** A message to this peer alone. */
	z.object({type: z.literal('message'), message: peerMessageSchema}),
	/** A message that goes on to every instance; `id` recognises copies. */
	z.object({
		type: z.literal('relayed'), id: z.string().max(maxNameLength), origin: peerSchema,
		hops: z.number().int().min(0).max(maxHops), message: peerMessageSchema,
	}),
	z.object({type: z.literal('request'), id: z.number().int().min(0), request: peerRequestSchema}),
	/** Answer to a request; absent `response` means that the peer cannot answer it. */
	z.object({type: z.literal('response'), id: z.number().int().min(0), response: peerResponseSchema.optional()}),
]);

/** State that an instance repeats in each heartbeat. */
export type PeerStatus = Readonly<z.infer<typeof peerStatusSchema>>;
/** What travels on a link. */
export type Envelope = Readonly<z.infer<typeof envelopeSchema>>;
