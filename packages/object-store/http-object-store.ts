/** The platform's object API over HTTP, by `undici`. docs/WIRE.md states the format. */
import {Pool, type Dispatcher} from 'undici';
import * as z from 'zod';
import type {
	InstanceEntry, ObjectList, ObjectStore, StoreFailure, StoredObject, WatchBatch,
} from './object-store.ts';
import {
	fail, succeed, toMessage, type Result,
} from '#core';

/** Options of {@link createHttpObjectStore}. */
export type HttpObjectStoreOptions = Readonly<{
	/** Bearer token. Default: none is sent. */
	token?: string;
	/** Time for a call other than a watch, in milliseconds. Default: 2000. */
	timeoutMs?: number;
	/** Time for which a watch waits, in milliseconds. Default: 10 000. */
	watchMs?: number;
	/** Connections kept open. Default: 8. */
	connections?: number;
}>;

const storedSchema = z.object({
	key: z.string(), value: z.string(), version: z.number(), revision: z.number(),
});
const batchSchema = z.object({
	changed: z.array(storedSchema), deleted: z.array(z.string()), revision: z.number(),
});
const listSchema = z.object({objects: z.array(storedSchema), revision: z.number()});
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

type HttpAnswer = Readonly<{status: number; body: unknown}>;

/**
 * Creates the adapter.
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
	const pool = new Pool(origin, {connections: options.connections ?? 8});
	const headers = {
		'content-type': 'application/json',
		...(options.token ? {authorization: `Bearer ${options.token}`} : {}),
	};

	async function send(method: Dispatcher.HttpMethod, path: string, body?: unknown, signal?: AbortSignal): Promise<Result<HttpAnswer, StoreFailure>> {
		const limit = AbortSignal.timeout(path.startsWith('/watch') ? watchMs + timeoutMs : timeoutMs);
		try {
			const answer = await pool.request({
				method, path, headers,
				body: body === undefined ? undefined : JSON.stringify(body),
				signal: signal ? AbortSignal.any([signal, limit]) : limit,
			});
			const text = await answer.body.text();
			const json: unknown = text === '' ? undefined : JSON.parse(text);
			return succeed({status: answer.statusCode, body: json});
		} catch (error) {
			const detail = toMessage(error);
			const refused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
			return fail({kind: refused ? 'unavailable' : 'unknown', detail});
		}
	}

	async function read<Value>(schema: z.ZodType<Value>, answer: Promise<Result<HttpAnswer, StoreFailure>>): Promise<Result<Value, StoreFailure>> {
		const result = await answer;
		if (!result.ok) {
			return result;
		}

		const {status, body} = result.value;
		if (status !== 200) {
			return fail({kind: failureKinds[status] ?? 'unknown', detail: `platform answered ${status}`});
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

			return read<StoredObject>(storedSchema, Promise.resolve(result));
		},
		async put(key, value, put = {}) {
			return read<StoredObject>(storedSchema, send('PUT', `/objects/${encodeURIComponent(key)}`, {value, ifVersion: put.ifVersion}));
		},
		async remove(key, put = {}) {
			const query = put.ifVersion === undefined ? '' : `?ifVersion=${put.ifVersion}`;
			const result = await read(z.unknown(), send('DELETE', `/objects/${encodeURIComponent(key)}${query}`));
			return result.ok ? succeed(undefined) : result;
		},
		async list(prefix) {
			return read<ObjectList>(listSchema, send('GET', `/list?prefix=${encodeURIComponent(prefix)}`));
		},
		async watch(prefix, revision, signal) {
			const path = `/watch?prefix=${encodeURIComponent(prefix)}&revision=${revision}&waitMs=${watchMs}`;
			return read<WatchBatch>(batchSchema, send('GET', path, undefined, signal));
		},
		async listInstances() {
			return read<readonly InstanceEntry[]>(instancesSchema, send('GET', '/instances'));
		},
	};
}
