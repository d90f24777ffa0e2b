/** The closed set of messages between instances, checked on arrival. */
import * as z from 'zod';
import {peerSchema} from './identity.ts';

const maxNameLength = 200;
const maxEntries = 4096;
const maxCrashes = 16;
const maxUrgencies = 10;

const nameSchema = z.string().max(maxNameLength);

/** What is known of one instance; docs/design/membership.md states how records merge. */
export const memberRecordSchema = z.object({
	peer: peerSchema,
	/** Rises each time the instance refutes that it is suspect or gone. */
	version: z.number().int().min(0),
	state: z.enum(['live', 'suspect', 'gone']),
	leaving: z.boolean(),
});

/** Crashes of targets while a request with this fingerprint was in flight there, and those that a completed run has cleared. */
export const strikeSchema = z.object({
	kind: z.literal('strike'), fingerprint: nameSchema, crashes: z.array(nameSchema).max(maxCrashes), cleared: z.array(nameSchema).max(maxCrashes),
	untilWallMs: z.number(),
});

/** Schema of every message. */
export const peerMessageSchema = z.discriminatedUnion('kind', [
	/** What the sender has in progress on targets. */
	z.object({
		kind: z.literal('sent'),
		targets: z.array(z.object({
			target: nameSchema, requests: z.number(), tokens: z.number(),
			/** Tokens by urgency, where engines read by urgency. */
			byUrgency: z.array(z.number()).max(maxUrgencies).optional(),
		})).max(maxEntries),
	}),
	strikeSchema,
	/** A struck request begins, goes on with or ends its turn on a target. */
	z.object({
		kind: z.literal('turn'), turn: nameSchema, fingerprint: nameSchema, target: nameSchema, order: z.number().int().min(0), runs: z.boolean(),
	}),
	/** What the sender needs of shared limits beyond its own share, at its monotonic time `sentMs`. */
	z.object({
		kind: z.literal('demand'), sentMs: z.number(),
		limits: z.array(z.object({key: nameSchema, requestsPerSecond: z.number(), concurrent: z.number()})).max(maxEntries),
	}),
	/** Parts of the sender's shares that others may use for a time from when they asked. */
	z.object({
		kind: z.literal('lend'),
		grants: z.array(z.object({
			key: nameSchema, to: nameSchema, askedMs: z.number(), requestsPerSecond: z.number(), concurrent: z.number(),
		})).max(maxEntries),
	}),
	/** Requests that wait at the sender, by pool. */
	z.object({
		kind: z.literal('pressure'),
		pools: z.array(z.object({pool: nameSchema, waiting: z.number()})).max(maxEntries),
	}),
	/** Parts of prompts that the sender lately sent to targets, which therefore hold them. */
	z.object({
		kind: z.literal('parts'), parts: z.array(z.object({key: nameSchema, incarnation: nameSchema})).max(maxEntries),
	}),
	/** An engine does not answer the sender, which watches it. */
	z.object({kind: z.literal('silent'), incarnation: nameSchema}),
	/** Another process has taken a target's address. */
	z.object({kind: z.literal('replaced'), incarnation: nameSchema}),
	/** Parts of prompts that an engine no longer holds. */
	z.object({kind: z.literal('evicted'), incarnation: nameSchema, keys: z.array(nameSchema).max(maxEntries)}),
	/** An engine begins to load weights, or has loaded them; the sender gave the order. */
	z.object({
		kind: z.literal('weights'), incarnation: nameSchema, model: nameSchema, version: z.number().int().min(0), isLoading: z.boolean(),
	}),
	/** The newest changes of copied kinds that the sender knows, by revision of the object store. */
	z.object({kind: z.literal('positions'), revisions: z.record(nameSchema, z.number().int().min(0))}),
	/** The object store does not answer the sender, which watches it for others. */
	z.object({kind: z.literal('blind')}),
	/** A target or instance begins to leave. */
	z.object({kind: z.literal('leaving'), name: nameSchema, incarnation: nameSchema}),
	/** The configuration generation in force at the sender. */
	z.object({kind: z.literal('generation'), generation: z.number().int().min(0)}),
	/** What the sender knows of other instances and of itself. */
	z.object({kind: z.literal('members'), members: z.array(memberRecordSchema).max(maxEntries)}),
]);

/** What is known of one instance. */
export type MemberRecord = Readonly<z.infer<typeof memberRecordSchema>>;

/** A message between instances. */
export type PeerMessage = Readonly<z.infer<typeof peerMessageSchema>>;

/** Kind of a message. */
export type PeerMessageKind = PeerMessage['kind'];

/** The message of one kind. */
export type PeerMessageOf<Kind extends PeerMessageKind> = Extract<PeerMessage, {kind: Kind}>;
