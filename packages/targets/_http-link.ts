/** What both HTTP adapters share: connection pools, outcome of a transport error, JSON reads. */
import type {IncomingHttpHeaders} from 'node:http';
import {Agent, errors, Pool} from 'undici';
import * as z from 'zod';
import type {HttpConnectorOptions} from './http-connector.ts';
import {
	fail, succeed, toMessage, type Result, type TargetFailure, type TargetFrame,
} from '#core';

/** Connections to one target: a kept-alive pool, and fresh ones for calls that may not be repeated. */
export type HttpLink = Readonly<{
	origin: string;
	pool: Pool;
	/** Opens a dispatcher whose next request uses a new connection. */
	openFresh(): Agent;
}>;

/** Creates the connection pool of one target. */
export function createHttpLink(address: string, options: HttpConnectorOptions): HttpLink {
	const origin = `http://${address}`;
	const connect = {timeout: options.connectMs ?? 1000};
	const shared = {connect, bodyTimeout: 0, headersTimeout: 0};
	return {
		origin,
		pool: new Pool(origin, {...shared, connections: options.connections ?? 64}),
		openFresh: () => new Agent({...shared, connections: 1, pipelining: 0}),
	};
}

const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 * Classifies a transport error. Only a failed connect proves that nothing was
 * sent; a reset proves nothing.
 */
export function classifyError(error: unknown): TargetFailure {
	const code = error instanceof Error && 'code' in error ? String(error.code) : '';
	const detail = toMessage(error);
	const isConnect = error instanceof Error && 'syscall' in error && error.syscall === 'connect';
	const unsent = isConnect || unsentCodes.has(code) || error instanceof errors.ConnectTimeoutError;
	return {outcome: unsent ? 'notSent' : 'unknown', detail: code === '' ? detail : `${code}: ${detail}`};
}

/**
 * Reads a `Retry-After` header in its form of seconds (RFC 9110, section 10.2.3).
 *
 * @returns milliseconds
 */
export function readRetryAfterMs(headers: IncomingHttpHeaders): number | undefined {
	const seconds = Number(headers['retry-after'] ?? Number.NaN);
	return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : undefined;
}

/** Turns a transport error into the frame that closes an attempt. */
export function makeFault(error: unknown): TargetFrame {
	return {kind: 'fault', ...classifyError(error)};
}

type JsonRequest = Readonly<{
	method: 'GET' | 'POST';
	path: string;
	body?: unknown;
	signal: AbortSignal;
}>;

/** Sends a request and checks its JSON answer against a schema. */
export async function readJson<Value>(link: HttpLink, schema: z.ZodType<Value>, request: JsonRequest): Promise<Result<Value, TargetFailure>> {
	try {
		const answer = await link.pool.request({
			method: request.method,
			path: request.path,
			headers: {'content-type': 'application/json'},
			body: request.body === undefined ? undefined : JSON.stringify(request.body),
			signal: request.signal,
		});
		const json: unknown = await answer.body.json();
		if (answer.statusCode !== 200) {
			return fail({outcome: 'refused', detail: `target answered ${answer.statusCode}`});
		}

		const parsed = schema.safeParse(json);
		return parsed.success ? succeed(parsed.data) : fail({outcome: 'failed', detail: parsed.error.message});
	} catch (error) {
		return fail(classifyError(error));
	}
}

/** Schema of a load report. */
export const reportSchema = z.object({
	incarnation: z.string(),
	weights: z.string().optional(),
	model: z.string().optional(),
	running: z.number(),
	queued: z.number(),
	queuedTokens: z.number(),
	prefillTokensPerMs: z.number(),
	tokenGapMs: z.number(),
	ageMs: z.number(),
	leaving: z.boolean(),
	cacheSequence: z.number(),
	loading: z.boolean(),
});

/** Schema of a batch of cache events. */
export const eventsSchema = z.object({
	incarnation: z.string(),
	sequence: z.number(),
	events: z.array(z.object({
		sequence: z.number(), kind: z.enum(['stored', 'evicted', 'cleared']), keys: z.array(z.string()),
	})),
});

/** Schema of the answer to an order. */
export const receiptSchema = z.object({accepted: z.boolean(), fencing: z.number(), lastOrderId: z.string()});
