/** The closed set of questions that an instance asks a peer, and their answers. */
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

/** An object of the object store. */
const storedSchema = z.object({
	key: nameSchema, value: z.string().max(maxFragmentLength), version: z.number(), revision: z.number(),
});

/** Schema of every request. */
export const peerRequestSchema = z.discriminatedUnion('kind', [
	/** Asks for the newest head of the configuration. */
	z.object({kind: z.literal('head')}),
	/** Asks for one fragment of the configuration. */
	z.object({kind: z.literal('fragment'), service: nameSchema, checksum: nameSchema}),
	/** Asks what changed in a copied kind of the object store after a revision. */
	z.object({kind: z.literal('changes'), objects: nameSchema, since: z.number().int().min(0)}),
	/** Asks for a bounded copy of the soft state that a starting instance wants. */
	z.object({kind: z.literal('snapshot')}),
]);

/** Schema of every response; its kind is the request's. */
export const peerResponseSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('head'), generation: z.number().int().min(0),
		/** Checksum of each service's fragment. */
		fragments: z.record(nameSchema, nameSchema).refine(value => Object.keys(value).length <= maxServices),
	}),
	z.object({kind: z.literal('fragment'), text: z.string().max(maxFragmentLength)}),
	z.object({
		kind: z.literal('changes'),
		/** Whether `changed` is the whole kind and not a difference. */
		isWhole: z.boolean(),
		changed: z.array(storedSchema).max(maxObjects),
		deleted: z.array(nameSchema).max(maxObjects),
		revision: z.number().int().min(0),
	}),
	z.object({
		kind: z.literal('snapshot'),
		/** Cached piece keys of each target, after the cache event of the given number. */
		targets: z.array(z.object({
			target: nameSchema, incarnation: nameSchema, leaving: z.boolean(), sequence: z.number(), keys: z.array(nameSchema).max(maxKeysPerTarget),
		})).max(maxTargets),
		strikes: z.array(strikeSchema).max(maxStrikes),
	}),
]);

/** A question to a peer. */
export type PeerRequest = Readonly<z.infer<typeof peerRequestSchema>>;
/** Kind of a question. */
export type PeerRequestKind = PeerRequest['kind'];
/** The question of one kind. */
export type PeerRequestOf<Kind extends PeerRequestKind> = Extract<PeerRequest, {kind: Kind}>;
/** A peer's answer. */
export type PeerResponse = Readonly<z.infer<typeof peerResponseSchema>>;
/** The answer to a question of one kind. */
export type PeerResponseOf<Kind extends PeerRequestKind> = Extract<PeerResponse, {kind: Kind}>;
