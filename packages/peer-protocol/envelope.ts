/** Envelopes: the units that two authenticated peers exchange on a link. The receiver checks each against its schema. */
import * as z from 'zod';
import {channelPartSchema} from './channel.ts';
import {peerIdentitySchema} from './identity.ts';
import {peerMessageSchema} from './messages.ts';
import {peerRequestSchema, peerResponseSchema} from './requests.ts';

const maxNameLength = 200;
const maxHops = 64;
const maxUnreachablePools = 256;
const maxModels = 64;
const maxVersions = 64;

/** Schema of the state that an instance repeats in each heartbeat. */
export const peerStatusSchema = z.object({
	/** Configuration generation in force; 0 if there is none. */
	generation: z.number().int().min(0),
	/** Whether the instance accepts callers' requests. */
	ready: z.boolean(),
	/** Requests in progress. */
	running: z.number().int().min(0),
	/** For each mirrored kind of object, the object store's revision at the newest change known to the sender. */
	revisions: z.record(z.string().max(maxNameLength), z.number().int().min(0)).optional(),
	/** Epoch of the object store to which the revision of each kind belongs; absent for a kind if it is not known. */
	epochs: z.record(z.string().max(maxNameLength), z.number().int().min(0)).optional(),
	/** Highest fencing token of the lease on weights orders that the instance has seen. */
	fencing: z.number().int().min(0).optional(),
	/** Digest of the membership table. */
	membersDigest: z.string().max(maxNameLength),
	/** Pools of which the instance reaches no target; absent if there are none. */
	unreachablePools: z.array(z.string().max(maxNameLength)).max(maxUnreachablePools).optional(),
	/** Models whose weights were published lately, with the published versions and the most and the least time since then, in milliseconds; absent if there are none. */
	weightsAges: z.array(z.object({
		model: z.string().max(maxNameLength), versions: z.array(z.tuple([z.number().int().min(0), z.number().min(0), z.number().min(0)])).max(maxVersions),
	})).max(maxModels).optional(),
});

/** Schema of every envelope. */
export const envelopeSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('heartbeat'), status: peerStatusSchema}),
	/** A message for the receiver only. */
	z.object({type: z.literal('message'), message: peerMessageSchema}),
	/**
	 * A message that each receiver forwards until it has reached every instance.
	 * `id` identifies duplicates; `hops` counts how often it was forwarded.
	 */
	z.object({
		type: z.literal('relayed'), id: z.string().max(maxNameLength), origin: peerIdentitySchema,
		hops: z.number().int().min(0).max(maxHops), message: peerMessageSchema,
	}),
	z.object({type: z.literal('request'), id: z.number().int().min(0), request: peerRequestSchema}),
	/** The response to the request with the same `id`. `response` is absent if the peer cannot answer. */
	z.object({type: z.literal('response'), id: z.number().int().min(0), response: peerResponseSchema.optional()}),
	/** A part of what a channel carries. The end that opened the channel has chosen its `id`. Sent only to peers with the extension `channels`. */
	z.object({
		type: z.literal('channel'), id: z.number().int().min(0), isFromOpener: z.boolean(), part: channelPartSchema,
	}),
]);

/** State that an instance repeats in each heartbeat. */
export type PeerStatus = Readonly<z.infer<typeof peerStatusSchema>>;
/** The unit that two authenticated peers exchange on a link. */
export type Envelope = Readonly<z.infer<typeof envelopeSchema>>;
