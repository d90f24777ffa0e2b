/**
 * Channels carry a caller's request to a peer, and its answer back as it arrives.
 * The end that opens a channel sends the request, the other end the answer; either
 * may abort. Credit bounds the bytes of an answer that are under way, so that one
 * slow caller does not fill a link.
 */
import * as z from 'zod';

const maxNameLength = 200;
const maxTextLength = 65_536;
const maxHeaderLines = 1024;
const maxPools = 64;
const maxModels = 256;
const maxParts = 1024;
const maxKindLength = 50;

/** Maximum size of the body of a relayed request, in bytes; it leaves room for the rest in a frame. */
export const maxRelayedBodyBytes = 1_048_576;

const nameSchema = z.string().max(maxNameLength);
const textSchema = z.string().max(maxTextLength);
const headerLinesSchema = z.array(textSchema).max(maxHeaderLines).readonly();
const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array && value.length <= maxRelayedBodyBytes);
const countSchema = z.number().int().min(0);

const routeSchema = z.object({
	name: nameSchema, host: textSchema, pathPrefix: textSchema, pools: z.array(z.object({pool: nameSchema, weight: z.number()})).max(maxPools).readonly(),
	isStream: z.boolean(), retryPolicy: z.enum(['any', 'resume', 'once']), maxTargets: countSchema, timeoutMs: z.number(), promisedMs: z.number(),
	promisedGapMs: z.number(), priority: z.number(), isPublic: z.boolean(),
});

const poolSchema = z.object({
	name: nameSchema, healthPath: textSchema, maxConnections: countSchema,
	engine: z.object({
		slots: z.number(), cacheTokens: z.number(), bytesPerToken: z.number(), linkMbps: z.number(), models: z.array(nameSchema).max(maxModels).readonly(),
	}).optional(),
});

/** Schema of a caller's request that a peer runs. The route and the pool are those by which the sender accepted it, as the peer may have another configuration. */
const relayedRequestSchema = z.object({
	id: nameSchema, method: nameSchema, path: textSchema, headers: headerLinesSchema,
	body: bytesSchema.optional(),
	route: routeSchema, pool: poolSchema,
	customer: z.object({name: nameSchema, priority: z.number().optional(), isIsolated: z.boolean()}).optional(),
	prompt: z.object({
		model: nameSchema, inputTokens: z.number(), maxOutputTokens: z.number(), parts: z.array(z.object({key: nameSchema, tokens: z.number()})).max(maxParts).readonly(),
	}).optional(),
	cacheScope: textSchema.optional(), lastEventId: textSchema.optional(), resumedRequestId: textSchema.optional(), softwareVersion: nameSchema.optional(),
	configurationVersion: z.number(),
	/** Time until the deadline, in milliseconds. */
	remainingMs: z.number(),
});

/** Schema of what the ends of a channel send each other. */
export const channelPartSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('request'), request: relayedRequestSchema}),
	/** An attempt on a target begins (`started`), or its request has provably not been sent (`not_sent`). */
	z.object({
		kind: z.literal('attempt'), target: nameSchema, softwareVersion: nameSchema, event: z.enum(['started', 'not_sent']),
	}),
	/** The head of a target's answer. */
	z.object({
		kind: z.literal('head'), status: countSchema, headers: headerLinesSchema, bodyBytes: countSchema.optional(),
	}),
	z.object({kind: z.literal('data'), bytes: bytesSchema}),
	/** The receiver has taken this many bytes of the answer. */
	z.object({kind: z.literal('credit'), bytes: countSchema}),
	/** The answer is complete. */
	z.object({kind: z.literal('end')}),
	/** The answer that has begun stays incomplete, as the instance that relays it stops or for another reason, or the caller has left. */
	z.object({kind: z.literal('abort'), isStopping: z.boolean().optional()}),
	/** The peer refuses the request. */
	z.object({
		kind: z.literal('refusal'), reason: z.string().max(maxKindLength), status: countSchema, ran: z.enum(['not_run', 'unknown', 'ran']), message: textSchema,
		retryAfterMs: z.number().optional(),
	}),
]);

/** A request that a peer runs for its caller. */
export type RelayedRequest = Readonly<z.infer<typeof relayedRequestSchema>>;
/** Whether a peer would take a request; one that it cannot read, such as one with an id of any length, would make it close the link. */
export function canRelay(request: RelayedRequest): boolean {
	return relayedRequestSchema.safeParse(request).success;
}

/** What the ends of a channel send each other. */
export type ChannelPart = Readonly<z.infer<typeof channelPartSchema>>;
export type ChannelPartKind = ChannelPart['kind'];
/** Handlers of the parts that one end expects; it ignores others. */
export type ChannelPartHandlers = Readonly<{[Kind in ChannelPartKind]?: (part: Extract<ChannelPart, {kind: Kind}>) => void}>;
