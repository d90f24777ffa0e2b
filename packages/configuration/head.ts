/** The head object: the newest generation, and the checksum of each service's fragment in it. */
import * as z from 'zod';
import {headKey} from './keys.ts';
import {
	fail, succeed, type Result,
} from '#core';
import type {ObjectStore, StoreFailure} from '#object-store';

/** Schema of the head object. */
export const headSchema = z.object({
	generation: z.number().int().min(1),
	/** Checksum of the fragment, by service. */
	fragments: z.record(z.string(), z.string()),
	/** The most recent publications, so that a publisher whose answer was lost can recognise its own. */
	recent: z.array(z.object({id: z.string(), generation: z.number()})).default([]),
});

/** The content of the head object. */
export type Head = z.infer<typeof headSchema>;

/** A head and the version of its stored object; 0 before the first publication. */
export type VersionedHead = Readonly<{head: Head; version: number}>;

/** Reads the head; before the first publication, returns an empty head of generation 0. */
export async function readHead(platform: ObjectStore): Promise<Result<VersionedHead, StoreFailure>> {
	const stored = await platform.get(headKey);
	if (!stored.ok) {
		return stored;
	}

	if (!stored.value) {
		return succeed({head: {generation: 0, fragments: {}, recent: []}, version: 0});
	}

	const head = parseHead(stored.value.value);
	return head ? succeed({head, version: stored.value.version}) : fail({kind: 'unknown', detail: `the object ${headKey} is not a configuration head`});
}

/** Parses the text of the head object; returns `undefined` if it is not a head. */
export function parseHead(text: string): Head | undefined {
	try {
		const parsed = headSchema.safeParse(JSON.parse(text));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
