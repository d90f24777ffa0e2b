/** The adapter to model engines: chat completions over server-sent events, with resume and attempt ids. */
import {Buffer} from 'node:buffer';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import * as z from 'zod';
import {
	createHttpLink, cacheEventBatchSchema, createFaultFrame, createRefusalFrame, findHeaderValue, requestJson, readRetryAfterMs, orderReceiptSchema, loadReportSchema, type HttpLink,
} from './_http-link.ts';
import type {HttpConnectorOptions} from './http-connector.ts';
import type {
	Target, TargetCall, TargetFrame, TargetLink,
} from '#core';

const frameSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('head'), attempt: z.string(), incarnation: z.string(), weights: z.string().optional(),
		promptTokens: z.number(), cachedTokens: z.number(),
	}),
	z.object({
		type: z.literal('data'), attempt: z.string(), offset: z.number(), base64: z.string(),
	}),
	z.object({
		type: z.literal('tool'), attempt: z.string(), index: z.number(), id: z.string(), name: z.string(), arguments: z.string(),
	}),
	z.object({
		type: z.literal('usage'), attempt: z.string(), promptTokens: z.number(), completionTokens: z.number(), cachedTokens: z.number(),
	}),
	z.object({type: z.literal('end'), attempt: z.string(), finish: z.string()}),
	z.object({
		type: z.literal('error'), attempt: z.string().optional(), ran: z.boolean(), detail: z.string(), retryAfterMs: z.number().optional(),
	}),
]);

type WireFrame = z.infer<typeof frameSchema>;

/** Creates the handle to one engine. */
export function createEngineLink(target: Target, options: HttpConnectorOptions): TargetLink {
	const link = createHttpLink(target.address, options);
	return {
		run: (call, signal) => runChat(link, call, signal),
		readReport: async signal => requestJson(link, loadReportSchema, {method: 'GET', path: '/report', signal}),
		readCacheEvents: async (after, signal) => requestJson(link, cacheEventBatchSchema, {method: 'GET', path: `/events?after=${after}`, signal}),
		sendOrder: async (order, signal) => requestJson(link, orderReceiptSchema, {
			method: 'POST', path: '/orders', body: order, signal, shouldUseNewConnection: true,
		}),
		close: async () => link.pool.close(),
	};
}

/** HTTP statuses that mean that the engine did not run the request. */
const refusalStatuses: ReadonlySet<number> = new Set([429, 503]);

/** Maximum length of an engine's event, in UTF-16 code units. */
const maxEventLength = 4_194_304;

async function * runChat(link: HttpLink, call: TargetCall, signal: AbortSignal): AsyncGenerator<TargetFrame> {
	const {work} = call;
	if (work.kind !== 'chat') {
		yield {kind: 'fault', outcome: 'refused', detail: 'an engine accepts only chat requests'};
		return;
	}

	const newConnection = call.shouldUseNewConnection ? link.openNewConnection() : undefined;
	try {
		const response = await (newConnection ?? link.pool).request({
			origin: link.origin,
			method: 'POST',
			path: '/v1/chat/completions',
			headers: {'content-type': 'application/json', 'x-attempt-id': call.attemptId},
			body: JSON.stringify({
				...work.extra,
				model: call.model, messages: work.messages, max_tokens: work.maxTokens, stream: true,
				routing: {
					attempt: call.attemptId, request: call.requestId, customer: call.customer, weights: call.weights,
					incarnation: call.incarnation, chain: call.chain, pieceTokens: call.pieceTokens, priority: call.priority,
					remainingMs: call.remainingMs, resumeOffset: call.resumeOffset, deliveredText: call.deliveredText,
					importKeys: call.importKeys,
				},
			}),
			signal,
		});
		if (response.statusCode !== 200) {
			await response.body.dump();
			const detail = `engine answered with status ${response.statusCode}`;
			const retryAfterMs = readRetryAfterMs(response.headers);
			yield refusalStatuses.has(response.statusCode)
				? createRefusalFrame({
					attemptId: call.attemptId, statedId: findHeaderValue(response.headers, 'x-attempt-id'), isNewConnection: call.shouldUseNewConnection, detail, retryAfterMs,
				})
				: {
					kind: 'fault', outcome: 'failed', detail, retryAfterMs,
				};
			return;
		}

		yield * readFrames(response.body, call);
	} catch (error) {
		yield createFaultFrame(error);
	} finally {
		await newConnection?.destroy();
	}
}

async function * readFrames(body: AsyncIterable<Uint8Array>, call: TargetCall): AsyncGenerator<TargetFrame> {
	const pending: EventSourceMessage[] = [];
	let hasExceededBuffer = false;
	const parser = createParser({
		maxBufferSize: maxEventLength,
		onEvent(event) {
			pending.push(event);
		},
		onError({type}) {
			hasExceededBuffer ||= type === 'max-buffer-size-exceeded';
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of body) {
		parser.feed(decoder.decode(chunk, {stream: true}));
		for (const event of pending.splice(0)) {
			const frame = parseFrame(event.data, call);
			yield frame;
			if (frame.kind === 'end' || frame.kind === 'fault') {
				return;
			}
		}

		if (hasExceededBuffer) {
			yield {kind: 'fault', outcome: 'unknown', detail: `the engine sent an event of more than ${maxEventLength} characters`};
			return;
		}
	}

	yield {kind: 'fault', outcome: 'unknown', detail: 'the engine closed the stream before its end event'};
}

function parseFrame(data: string, call: TargetCall): TargetFrame {
	let json: unknown;
	try {
		json = JSON.parse(data);
	} catch {
		return {kind: 'fault', outcome: 'unknown', detail: 'the engine sent an event that is not JSON'};
	}

	const parsed = frameSchema.safeParse(json);
	if (!parsed.success) {
		return {kind: 'fault', outcome: 'unknown', detail: `the engine sent a malformed event: ${parsed.error.issues[0]?.message ?? ''}`};
	}

	const decode: (frame: never, call: TargetCall) => TargetFrame = frameDecoders[parsed.data.type];
	return decode(parsed.data as never, call); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the table is keyed by the frame's own type
}

type FrameDecoders = Readonly<{[Type in WireFrame['type']]: (frame: Extract<WireFrame, {type: Type}>, call: TargetCall) => TargetFrame}>;

const frameDecoders: FrameDecoders = {
	head: ({attempt, incarnation, weights, promptTokens, cachedTokens}) =>
		({
			kind: 'head', attemptId: attempt, status: 200, incarnation, weights, promptTokens, cachedTokens,
		}),
	data: ({attempt, offset, base64}) => ({
		kind: 'data', attemptId: attempt, offset, bytes: Buffer.from(base64, 'base64'),
	}),
	tool: ({attempt, index, id, name, arguments: text}) => ({
		kind: 'tool', attemptId: attempt, call: {
			index, id, name, arguments: text,
		},
	}),
	usage: ({attempt, promptTokens, completionTokens, cachedTokens}) =>
		({kind: 'usage', attemptId: attempt, usage: {promptTokens, completionTokens, cachedTokens}}),
	end: ({attempt, finish}) => ({kind: 'end', attemptId: attempt, finish}),
	error: ({attempt: statedId, ran, detail, retryAfterMs}, {attemptId, shouldUseNewConnection: isNewConnection}) => ran
		? {
			kind: 'fault', outcome: 'failed', detail, retryAfterMs,
		}
		: createRefusalFrame({
			attemptId, statedId, isNewConnection, detail, retryAfterMs,
		}),
};
