/** The requests that an instance can send to a peer, and their responses. The receiver checks each against its schema. */
import * as z from 'zod';
import {strikeSchema} from './messages.ts';

const maxNameLength = 200;
const maxServices = 4096;
const maxFragmentLength = 1_048_576;
const maxStrikes = 1024;
const maxTargets = 4096;
const maxKeysPerTarget = 4096;
const maxObjects = 4096;

const nameSchema = z.string().max(maxNameLength);

/** Schema of an object from the object store. */
const storedObjectSchema = z.object({
	key: nameSchema, value: z.string().max(maxFragmentLength), version: z.number(), revision: z.number(),
});

/** Schema of every request. */
export const peerRequestSchema = z.discriminatedUnion('kind', [
	/** Requests the head of the newest configuration: its generation and the checksum of each fragment. */
	z.object({kind: z.literal('head')}),
	/** Requests one fragment of the configuration. */
	z.object({kind: z.literal('fragment'), service: nameSchema, checksum: nameSchema}),
	/** Requests the changes to a mirrored kind of object after a revision of the object store, which belongs to `epoch`, if that is known. */
	z.object({
		kind: z.literal('changes'), objects: nameSchema, since: z.number().int().min(0), epoch: z.number().int().min(0).optional(),
	}),
	/** Requests a size-limited copy of the soft state that a starting instance can reuse. */
	z.object({kind: z.literal('snapshot')}),
]);

/** Schema of every response; its `kind` equals the request's. */
export const peerResponseSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('head'), generation: z.number().int().min(0),
		/** Checksum of each service's fragment, by service. */
		fragments: z.record(nameSchema, nameSchema).refine(value => Object.keys(value).length <= maxServices),
	}),
	z.object({kind: z.literal('fragment'), text: z.string().max(maxFragmentLength)}),
	z.object({
		kind: z.literal('changes'),
		/** Whether `changed` lists all objects of the kind rather than only those changed since the revision. */
		isWhole: z.boolean(),
		changed: z.array(storedObjectSchema).max(maxObjects),
		deleted: z.array(nameSchema).max(maxObjects),
		revision: z.number().int().min(0),
		/** Epoch of the object store to which the revisions belong, if known. */
		epoch: z.number().int().min(0).optional(),
	}),
	z.object({
		kind: z.literal('snapshot'),
		/** Keys of the prompt parts that each target has cached, as of the cache event numbered `sequence`. */
		targets: z.array(z.object({
			target: nameSchema, incarnation: nameSchema, leaving: z.boolean(), sequence: z.number(), keys: z.array(nameSchema).max(maxKeysPerTarget),
		})).max(maxTargets),
		strikes: z.array(strikeSchema).max(maxStrikes),
	}),
]);

/** A request to a peer. */
export type PeerRequest = Readonly<z.infer<typeof peerRequestSchema>>;
export type PeerRequestKind = PeerRequest['kind'];
/** The request of the given kind. */
export type PeerRequestOf<Kind extends PeerRequestKind> = Extract<PeerRequest, {kind: Kind}>;
/** A peer's response to a request. */
export type PeerResponse = Readonly<z.infer<typeof peerResponseSchema>>;
/** The response to a request of the given kind. */
export type PeerResponseOf<Kind extends PeerRequestKind> = Extract<PeerResponse, {kind: Kind}>;
