/** The messages that instances send to each other. The receiver checks each against its schema. */
import * as z from 'zod';
import {peerIdentitySchema} from './identity.ts';

const maxNameLength = 200;
const maxEntries = 4096;
const maxCrashes = 16;
const maxFailedTrials = 1000;
const maxUrgencies = 10;
const maxHeldParts = 64;
const maxSpeedFigures = 4;
const maxPaceFigures = 2;
const maxPools = 256;
const maxVersionsPerPool = 64;
const maxStatementsBytes = 65_536;

const nameSchema = z.string().max(maxNameLength);

/** Schema of a membership record: what is known about one instance. docs/design/membership.md defines how records are merged. */
export const memberRecordSchema = z.object({
	peer: peerIdentitySchema,
	/** Incremented each time the instance refutes a report that it is suspect or gone. */
	version: z.number().int().min(0),
	state: z.enum(['live', 'suspect', 'gone']),
	/** Whether the instance drains. */
	leaving: z.boolean(),
});

/**
 * Schema of the strikes against a request, which its fingerprint identifies.
 * `crashes` lists crashes of targets while the request was in flight there;
 * `cleared` lists crashes that a later completed run of the request has cleared.
 */
export const strikeSchema = z.object({
	kind: z.literal('strike'), fingerprint: nameSchema, crashes: z.array(nameSchema).max(maxCrashes), cleared: z.array(nameSchema).max(maxCrashes),
	/** Number of trials of a quarantined fingerprint that ended with a crash. */
	failedTrials: z.number().int().min(0).max(maxFailedTrials).optional(),
	/** Wall time at which the strikes expire. */
	untilWallMs: z.number(),
});

/** Schema of what a target states about itself, and the time since it did, in milliseconds; an absent field is not stated any more. */
const statementSchema = z.object({
	/** Requests per second that it takes from all instances. */
	perSecond: z.number().min(0).optional(),
	/** Whether it is about to stop. */
	isLeaving: z.boolean().optional(),
	/** Requests per second that it can refuse without failing. */
	maxRefusals: z.number().min(0).optional(),
	ageMs: z.number().min(0),
});

/** A step in the update of an engine's weights. */
const weightsStepFields = {
	incarnation: nameSchema, model: nameSchema, version: z.number().int().min(0), isLoading: z.boolean(),
};

/** Schema of every message. */
export const peerMessageSchema = z.discriminatedUnion('kind', [
	/** The sender's requests and tokens in progress on each target. */
	z.object({
		kind: z.literal('sent'),
		targets: z.array(z.object({
			target: nameSchema, requests: z.number(), tokens: z.number(),
			/** Start of the process that all of this concerns, as the target reports it; absent if it is unknown, and from programs that name no process. */
			startedWallMs: z.number().optional(),
			/** Tokens by urgency, for engines that schedule by urgency. */
			byUrgency: z.array(z.number()).max(maxUrgencies).optional(),
			/** Memory that the requests hold, in tokens: by urgency what no other request shares, and shared parts by the hashes of their keys. */
			held: z.object({
				byUrgency: z.array(z.number().min(0)).max(maxUrgencies).readonly(),
				parts: z.array(z.tuple([z.number(), z.number().min(0)]).readonly()).max(maxHeldParts).readonly(),
			}).optional(),
			statement: statementSchema.optional(),
			/** The statement for programs that know only this field and take it for one of whichever process has the target's name now. It does not say that the target leaves, as they would then never use it again. */
			limit: statementSchema.optional(),
			/** Speed of the process: its latest figure in hundredths of the normal time and the age of that in milliseconds; measured nanoseconds per prompt token and microseconds per request, 0 if unknown. */
			speed: z.array(z.number().min(0)).max(maxSpeedFigures).optional(),
			/** Pace of the process: requests that all instances together should have in progress, 0 if nothing bounds them any more, and the time since the start, refusal or rest that began this, in milliseconds. */
			pace: z.array(z.number().min(0)).max(maxPaceFigures).optional(),
		})).max(maxEntries),
	}),
	strikeSchema,
	/** A request with strikes begins or continues (`runs`) or ends its turn on a target. `order` is a Lamport timestamp: the earlier of two conflicting turns runs. */
	z.object({
		kind: z.literal('turn'), turn: nameSchema, fingerprint: nameSchema, target: nameSchema, order: z.number().int().min(0), runs: z.boolean(),
	}),
	/** The amount of shared limits that the sender needs beyond its own share, as of `sentMs` on its monotonic clock. */
	z.object({
		kind: z.literal('demand'), sentMs: z.number(),
		limits: z.array(z.object({key: nameSchema, requestsPerSecond: z.number(), concurrent: z.number()})).max(maxEntries),
		/** What instances state about customers with a limit; `#admission` encodes it. Programs that do not know the field pass nothing on. */
		customers: z.custom<Uint8Array>(value => value instanceof Uint8Array && value.length <= maxStatementsBytes).optional(),
	}),
	/** Parts of the sender's shares that other instances may use for a limited time, which starts when they sent their demand (`askedMs`). `to` is the incarnation of the borrower. */
	z.object({
		kind: z.literal('lend'),
		grants: z.array(z.object({
			key: nameSchema, to: nameSchema, askedMs: z.number(), requestsPerSecond: z.number(), concurrent: z.number(),
		})).max(maxEntries),
	}),
	/** The number of requests waiting at the sender, by pool. */
	z.object({
		kind: z.literal('pressure'),
		pools: z.array(z.object({pool: nameSchema, waiting: z.number()})).max(maxEntries),
	}),
	/** Prompt parts that the sender has recently sent to targets, which therefore have them cached. */
	z.object({
		kind: z.literal('parts'), parts: z.array(z.object({key: nameSchema, incarnation: nameSchema})).max(maxEntries),
	}),
	/** Where resumable streams began, by their keys. */
	z.object({
		kind: z.literal('origins'), origins: z.array(z.object({key: nameSchema, pool: nameSchema, softwareVersion: nameSchema})).max(maxEntries),
		/** Whether the receiver is to keep these origins in the object store. Sent only to peers with the extension `origin_archive`. */
		shouldArchive: z.boolean().optional(),
		/** The answer to the receiver's question with this number; present also if the sender does not know the origin. */
		answer: z.object({
			number: z.number().int().min(0),
			/** Software versions that targets of the pools in question had in the retention time of origins. */
			versions: z.array(z.object({pool: nameSchema, softwareVersions: z.array(nameSchema).max(maxVersionsPerPool)})).max(maxPools),
			/** Whether the sender has read these versions from the object store since it received the question. */
			isRefreshed: z.boolean(),
		}).optional(),
	}),
	/** The sender needs the origin of a stream; peers that know it answer with `origins`. */
	z.object({
		kind: z.literal('origin_wanted'), key: nameSchema,
		/** What the neighbours are to answer in any case; programs that do not know the field answer only if they know the origin. */
		question: z.object({
			/** Identifies the question among those of the sender. */
			number: z.number().int().min(0),
			pools: z.array(nameSchema).max(maxPools),
			/** Whether the versions are to be read from the object store, as the sender has got no answer from it. */
			shouldRefresh: z.boolean(),
		}).optional(),
	}),
	/** An engine that the sender monitors does not answer. */
	z.object({kind: z.literal('silent'), incarnation: nameSchema}),
	/** Another process now listens at the address of a target. */
	z.object({kind: z.literal('replaced'), incarnation: nameSchema}),
	/** Prompt parts that an engine has evicted from its cache. */
	z.object({kind: z.literal('evicted'), incarnation: nameSchema, keys: z.array(nameSchema).max(maxEntries)}),
	/** An engine has begun or finished loading weights on the sender's order. */
	z.object({
		kind: z.literal('weights'), ...weightsStepFields,
		/** Further steps, in the order in which they were taken; programs that do not know them take the first step only. */
		more: z.array(z.object(weightsStepFields)).max(maxEntries).optional(),
		/** Highest fencing token of the lease on weights orders that the sender has seen. */
		fencing: z.number().int().min(0).optional(),
	}),
	/** For each mirrored kind of object, the object store's revision at the newest change known to the sender, and the epoch to which it belongs, if known. */
	z.object({
		kind: z.literal('positions'), revisions: z.record(nameSchema, z.number().int().min(0)), epochs: z.record(nameSchema, z.number().int().min(0)).optional(),
	}),
	/** The object store does not answer the sender, which watches it on behalf of other instances. */
	z.object({kind: z.literal('blind')}),
	/** A target or instance has begun to drain. */
	z.object({kind: z.literal('leaving'), name: nameSchema, incarnation: nameSchema}),
	/** The configuration generation in force at the sender. */
	z.object({kind: z.literal('generation'), generation: z.number().int().min(0)}),
	/** The sender's membership records of other instances and of itself. */
	z.object({kind: z.literal('members'), members: z.array(memberRecordSchema).max(maxEntries)}),
]);

/** What is known about one instance. */
export type MemberRecord = Readonly<z.infer<typeof memberRecordSchema>>;

/** A message between instances. */
export type PeerMessage = Readonly<z.infer<typeof peerMessageSchema>>;

export type PeerMessageKind = PeerMessage['kind'];

/** The message of the given kind. */
export type PeerMessageOf<Kind extends PeerMessageKind> = Extract<PeerMessage, {kind: Kind}>;
