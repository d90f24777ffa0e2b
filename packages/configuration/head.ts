/** The head object: the generation, and the fragment of each service that makes it up. */
import * as z from 'zod';
import {headKey} from './keys.ts';
import {
	fail, succeed, type Result,
} from '#core';
import type {ObjectStore, StoreFailure} from '#object-store';

/** Schema of the head object. */
export const headSchema = z.object({
	generation: z.number().int().min(1),
	/** Checksum of each service's fragment. */
	fragments: z.record(z.string(), z.string()),
	/** The newest publications, so that one whose answer was lost is recognised. */
	recent: z.array(z.object({id: z.string(), generation: z.number()})).default([]),
});

/** The head object. */
export type Head = z.infer<typeof headSchema>;

/** A head with the version under which it is stored; version 0 when nothing was published. */
export type VersionedHead = Readonly<{head: Head; version: number}>;

/** Reads the head; an empty one of generation 0 before the first publication. */
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

/** @returns nothing when the text is not a head */
export function parseHead(text: string): Head | undefined {
	try {
		const parsed = headSchema.safeParse(JSON.parse(text));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
