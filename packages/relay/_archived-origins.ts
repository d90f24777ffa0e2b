/** Encodes origins of streams for the object store: the keys, in binary, by origin. */
import {Buffer} from 'node:buffer';
import * as z from 'zod';
import type {StreamOrigin, StreamOriginRecord} from './stream-origins.ts';

const archivedSchema = z.object({
	origins: z.array(z.object({pool: z.string(), softwareVersion: z.string(), keys: z.string()})),
});

/** Length of a key in the archive, in bytes. */
const keyBytes = 8;

const keyPattern = /^[\da-f]{16}$/v;

/** Whether the archive can hold this key of a stream. */
export function isArchivableKey(key: string): boolean {
	return keyPattern.test(key);
}

/** Encodes origins as JSON text. */
export function encodeArchivedOrigins(records: readonly StreamOriginRecord[]): string {
	const byOrigin = new Map<string, {origin: StreamOrigin; keys: Uint8Array[]}>();
	for (const {key, origin} of records) {
		const text = JSON.stringify([origin.pool, origin.softwareVersion]);
		const group = byOrigin.get(text) ?? {origin, keys: []};
		byOrigin.set(text, group);
		group.keys.push(Buffer.from(key, 'hex'));
	}

	return JSON.stringify({
		origins: [...byOrigin.values()].map(({origin: {pool, softwareVersion}, keys}) => ({pool, softwareVersion, keys: Buffer.concat(keys).toString('base64')})),
	});
}

/** Decodes archived origins; `undefined` if the text holds none, such as that of another writer. */
export function decodeArchivedOrigins(text: string): readonly StreamOriginRecord[] | undefined {
	try {
		const {data} = archivedSchema.safeParse(JSON.parse(text));
		return data?.origins.flatMap(({pool, softwareVersion, keys}) => {
			const origin = {pool, softwareVersion};
			return splitKeys(keys).map(key => ({key, origin}));
		});
	} catch {
		return undefined;
	}
}

function splitKeys(text: string): readonly string[] {
	const bytes = Buffer.from(text, 'base64');
	return Array.from({length: Math.floor(bytes.length / keyBytes)}, (_item, index) => bytes.toString('hex', index * keyBytes, (index + 1) * keyBytes));
}
