/** Functions that both HTTP adapters share: connection pools, classification of transport errors, JSON requests. */
import type {IncomingHttpHeaders} from 'node:http';
import {
	Agent, errors, Pool, type Dispatcher,
} from 'undici';
import * as z from 'zod';
import type {HttpConnectorOptions} from './http-connector.ts';
import {
	fail, succeed, getErrorMessage, type Result, type TargetFailure, type TargetFrame,
} from '#core';
import {checkHeads} from '#http';

/** Connections to one target: a keep-alive pool, and new connections for calls that may not be repeated. */
export type HttpLink = Readonly<{
	origin: string;
	pool: Dispatcher;
	/** Creates a dispatcher whose next request opens a new connection. */
	openNewConnection(): Dispatcher;
}>;

/** Creates the connection pool of one target. */
export function createHttpLink(address: string, options: HttpConnectorOptions): HttpLink {
	const origin = `http://${address}`;
	const connect = {timeout: options.connectTimeoutMs ?? 1000};
	// Undici's own time-outs are off: the signal of each call limits its time.
	const agentOptions = {connect, bodyTimeout: 0, headersTimeout: 0};
	return {
		origin,
		pool: new Pool(origin, {...agentOptions, connections: options.maxConnections ?? 64}).compose(checkHeads),
		openNewConnection: () => new Agent({...agentOptions, connections: 1, pipelining: 0}).compose(checkHeads),
	};
}

const notSentErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 * Classifies a transport error. Only a failed connect proves that nothing was
 * sent; a reset proves nothing.
 */
export function classifyError(error: unknown): TargetFailure {
	const code = error instanceof Error && 'code' in error ? String(error.code) : '';
	const detail = getErrorMessage(error);
	const isConnectError = error instanceof Error && 'syscall' in error && error.syscall === 'connect';
	const isNotSent = isConnectError || notSentErrorCodes.has(code) || error instanceof errors.ConnectTimeoutError;
	return {outcome: isNotSent ? 'notSent' : 'unknown', detail: code === '' ? detail : `${code}: ${detail}`};
}

/** Finds the value of a header, the first one if it is repeated. `name` must be in lower case. */
export function findHeaderValue(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/**
 * Reads a `Retry-After` header that is given in seconds (RFC 9110, section 10.2.3).
 *
 * @returns milliseconds
 */
export function readRetryAfterMs(headers: IncomingHttpHeaders): number | undefined {
	const seconds = Number(headers['retry-after'] ?? Number.NaN);
	return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : undefined;
}

/** Creates the frame that closes an attempt after a transport error. */
export function createFaultFrame(error: unknown): TargetFrame {
	return {kind: 'fault', ...classifyError(error)};
}

/** A refusal, and what shows which attempt it belongs to. */
type TargetRefusal = Readonly<{
	/** Id of the attempt. */
	attemptId: string;
	/** Id that the answer states, if it states one. */
	statedId: string | undefined;
	/** Whether the connection has carried no earlier exchange. */
	isNewConnection: boolean;
	detail: string;
	retryAfterMs: number | undefined;
}>;

/**
 * Creates the frame that closes an attempt which the target refuses to run. A
 * refusal that names another attempt, or none on a connection that may have
 * carried an earlier exchange, may be a copy of an earlier one and proves nothing.
 */
export function createRefusalFrame({attemptId, statedId, isNewConnection, detail, retryAfterMs}: TargetRefusal): TargetFrame {
	const isOfAttempt = statedId === undefined ? isNewConnection : statedId === attemptId;
	return isOfAttempt
		? {
			kind: 'fault', outcome: 'refused', detail, retryAfterMs,
		}
		: {kind: 'fault', outcome: 'unknown', detail: `${detail}, but does not name this attempt`};
}

type JsonRequest = Readonly<{
	method: 'GET' | 'POST';
	path: string;
	body?: unknown;
	signal: AbortSignal;
	/** Whether the request opens a connection, so that its answer can be to no earlier request. Default: no. */
	shouldUseNewConnection?: boolean;
}>;

/** Sends a request and checks its JSON answer against a schema. An answer with a status other than 200 counts as a refusal. */
export async function requestJson<Value>(link: HttpLink, schema: z.ZodType<Value>, request: JsonRequest): Promise<Result<Value, TargetFailure>> {
	const newConnection = request.shouldUseNewConnection ? link.openNewConnection() : undefined;
	try {
		const response = await (newConnection ?? link.pool).request({
			origin: link.origin,
			method: request.method,
			path: request.path,
			headers: {'content-type': 'application/json'},
			body: request.body === undefined ? undefined : JSON.stringify(request.body),
			signal: request.signal,
		});
		const json: unknown = await response.body.json();
		if (response.statusCode !== 200) {
			return fail({outcome: 'refused', detail: `target answered with status ${response.statusCode}`});
		}

		const parsed = schema.safeParse(json);
		return parsed.success ? succeed(parsed.data) : fail({outcome: 'failed', detail: parsed.error.message});
	} catch (error) {
		return fail(classifyError(error));
	} finally {
		await newConnection?.destroy();
	}
}

export const loadReportSchema = z.object({
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

export const cacheEventBatchSchema = z.object({
	incarnation: z.string(),
	sequence: z.number(),
	events: z.array(z.object({
		sequence: z.number(), kind: z.enum(['stored', 'evicted', 'cleared']), keys: z.array(z.string()),
	})),
});

export const orderReceiptSchema = z.object({accepted: z.boolean(), fencing: z.number(), lastOrderId: z.string()});
