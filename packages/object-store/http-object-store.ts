/** Calls the platform's object API over HTTP with `undici`. docs/WIRE.md specifies the format. */
import {Pool, type Dispatcher} from 'undici';
import * as z from 'zod';
import {classifyCallError} from './classify-call-error.ts';
import type {
	InstanceEntry, ObjectList, ObjectStore, StoreFailure, StoredObject, WatchBatch,
} from './object-store.ts';
import {
	fail, succeed, getErrorMessage, type Result,
} from '#core';
import {checkHeads} from '#http';

/** Options of {@link createHttpObjectStore}. */
export type HttpObjectStoreOptions = Readonly<{
	/** Bearer token. Default: no token is sent. */
	token?: string;
	/** Timeout of a call other than a watch, in milliseconds. Default: 2000. */
	timeoutMs?: number;
	/** Time that the platform waits for changes before it answers a watch, in milliseconds. Default: 10 000. */
	watchMs?: number;
	/** Maximum number of connections. Default: 8. */
	connections?: number;
}>;

const storedObjectSchema = z.object({
	key: z.string(), value: z.string(), version: z.number(), revision: z.number(),
});
const watchBatchSchema = z.object({
	changed: z.array(storedObjectSchema), deleted: z.array(z.string()), revision: z.number(),
});
const objectListSchema = z.object({objects: z.array(storedObjectSchema), revision: z.number()});
const instancesSchema = z.array(z.object({
	name: z.string(), kind: z.enum(['router', 'target']), pool: z.string(), address: z.string(), zone: z.string(), leaving: z.boolean(),
}));

const failureKinds: Readonly<Record<number, StoreFailure['kind']>> = {
	409: 'conflict',
	410: 'gone',
	413: 'too_large',
	429: 'rate_limited',
	503: 'unavailable',
};

type HttpResponse = Readonly<{status: number; body: unknown}>;

/**
 * Creates an object store that calls the platform over HTTP.
 *
 * @param origin `http://host:port` of the platform
 * @example
 * ```ts
 * const platform = createHttpObjectStore('http://127.0.0.1:7000');
 * const head = await platform.get('config/head');
 * ```
 */
export function createHttpObjectStore(origin: string, options: HttpObjectStoreOptions = {}): ObjectStore {
	const timeoutMs = options.timeoutMs ?? 2000;
	const watchMs = options.watchMs ?? 10_000;
	const pool = new Pool(origin, {connections: options.connections ?? 8}).compose(checkHeads);
	const headers = {
		'content-type': 'application/json',
		...(options.token ? {authorization: `Bearer ${options.token}`} : {}),
	};

	async function send(method: Dispatcher.HttpMethod, path: string, body?: unknown, signal?: AbortSignal): Promise<Result<HttpResponse, StoreFailure>> {
		const isWatch = path.startsWith('/watch');
		const timeoutSignal = AbortSignal.timeout(isWatch ? watchMs + timeoutMs : timeoutMs);
		try {
			const response = await pool.request({
				method, path, headers,
				body: body === undefined ? undefined : JSON.stringify(body),
				signal: signal ? AbortSignal.any([signal, timeoutSignal]) : timeoutSignal,
			});
			const text = await response.body.text();
			const json: unknown = text === '' ? undefined : JSON.parse(text);
			return succeed({status: response.statusCode, body: json});
		} catch (error) {
			const detail = getErrorMessage(error);
			return fail({kind: classifyCallError(error, isWatch), detail});
		}
	}

	async function readResponse<Value>(schema: z.ZodType<Value>, response: Promise<Result<HttpResponse, StoreFailure>>): Promise<Result<Value, StoreFailure>> {
		const result = await response;
		if (!result.ok) {
			return result;
		}

		const {status, body} = result.value;
		if (status !== 200) {
			return fail({kind: failureKinds[status] ?? 'unknown', detail: `the platform answered with HTTP status ${status}`});
		}

		const parsed = schema.safeParse(body);
		return parsed.success ? succeed(parsed.data) : fail({kind: 'unknown', detail: parsed.error.message});
	}

	return {
		async get(key) {
			const result = await send('GET', `/objects/${encodeURIComponent(key)}`);
			if (result.ok && result.value.status === 404) {
				return succeed(undefined);
			}

			return readResponse<StoredObject>(storedObjectSchema, Promise.resolve(result));
		},
		async put(key, value, putOptions = {}) {
			return readResponse<StoredObject>(storedObjectSchema, send('PUT', `/objects/${encodeURIComponent(key)}`, {value, ifVersion: putOptions.ifVersion}));
		},
		async remove(key, putOptions = {}) {
			const query = putOptions.ifVersion === undefined ? '' : `?ifVersion=${putOptions.ifVersion}`;
			const result = await readResponse(z.unknown(), send('DELETE', `/objects/${encodeURIComponent(key)}${query}`));
			return result.ok ? succeed(undefined) : result;
		},
		async list(prefix) {
			return readResponse<ObjectList>(objectListSchema, send('GET', `/list?prefix=${encodeURIComponent(prefix)}`));
		},
		async watch(prefix, revision, signal, {waitMs = watchMs} = {}) {
			const path = `/watch?prefix=${encodeURIComponent(prefix)}&revision=${revision}&waitMs=${waitMs}`;
			return readResponse<WatchBatch>(watchBatchSchema, send('GET', path, undefined, signal));
		},
		async listInstances() {
			return readResponse<readonly InstanceEntry[]>(instancesSchema, send('GET', '/instances'));
		},
	};
}
