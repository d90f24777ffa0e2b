/**
 * Publishes service files. The head object names the generation and one
 * fragment per service; it changes by conditional update, so operators of
 * different services merge and those of the same service conflict.
 */
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {checkFragments, type ConfigurationFault, type Fragment} from './check.ts';
import {headKey, makeFragmentKey} from './keys.ts';
import {fail, succeed, type Result} from '#core';
import type {Platform, PlatformFailure} from '#platform';

/** What the head object holds. */
export const headSchema = z.object({
	generation: z.number().int().min(1),
	/** Checksum of each service's fragment. */
	fragments: z.record(z.string(), z.string()),
});

/** The head object. */
export type Head = z.infer<typeof headSchema>;

/** The generation that was accepted. */
export type PublishReceipt = Readonly<{generation: number; services: readonly string[]}>;

/** Why nothing was published. */
export type PublishFailure
	= | Readonly<{kind: 'invalid'; faults: readonly ConfigurationFault[]}>
		| Readonly<{kind: 'platform'; failure: PlatformFailure}>;

const maxCommitAttempts = 8;

/**
 * Commits the fragments of one or more services.
 *
 * @param platform where the configuration is kept
 * @param fragments checked together with the fragments of all other services
 * @returns the accepted generation; nothing is in force on a failure
 */
export async function publishFragments(platform: Platform, fragments: readonly Fragment[]): Promise<Result<PublishReceipt, PublishFailure>> {
	for (let attempt = 0; attempt < maxCommitAttempts; attempt++) {
		const result = await commit(platform, fragments);
		if (result.ok || result.error.kind !== 'platform' || result.error.failure.kind !== 'conflict') {
			return result;
		}
	}

	return fail({kind: 'platform', failure: {kind: 'conflict', detail: `the head changed ${maxCommitAttempts} times while committing; publish again`}});
}

async function commit(platform: Platform, fragments: readonly Fragment[]): Promise<Result<PublishReceipt, PublishFailure>> {
	const current = await platform.get(headKey);
	if (!current.ok) {
		return fail({kind: 'platform', failure: current.error});
	}

	const head: Head = current.value ? headSchema.parse(JSON.parse(current.value.value)) : {generation: 0, fragments: {}};
	const generation = head.generation + 1;
	const own = checkFragments(fragments, generation);
	const services = fragments.map(fragment => readServiceName(fragment));
	const others: Fragment[] = [];
	for (const [service, checksum] of Object.entries(head.fragments)) {
		if (services.includes(service)) {
			continue;
		}

		const key = makeFragmentKey(service, checksum);
		const stored = await platform.get(key);
		if (!stored.ok) {
			return fail({kind: 'platform', failure: stored.error});
		}

		others.push({file: key, text: stored.value?.value ?? ''});
	}

	const whole = others.length > 0 ? checkFragments([...fragments, ...others], generation) : own;
	if (!whole.ok) {
		return fail({kind: 'invalid', faults: whole.error});
	}

	const next: Record<string, string> = {...head.fragments};
	for (const [index, fragment] of fragments.entries()) {
		const checksum = createHash('sha256').update(fragment.text).digest('hex');
		const service = services[index]!;
		const stored = await platform.put(makeFragmentKey(service, checksum), fragment.text);
		if (!stored.ok) {
			return fail({kind: 'platform', failure: stored.error});
		}

		next[service] = checksum;
	}

	const value: Head = {generation, fragments: next};
	const put = await platform.put(headKey, JSON.stringify(value), {ifVersion: current.value?.version ?? 0});
	return put.ok ? succeed({generation, services}) : fail({kind: 'platform', failure: put.error});
}

function readServiceName(fragment: Fragment): string {
	const parsed = z.object({service: z.string()}).safeParse(JSON.parse(fragment.text));
	return parsed.success ? parsed.data.service : '';
}
