/** Publishes configuration through an instance, with the same checks and the same commit as the command line. */
import * as z from 'zod';
import type {AdminRefusal} from './refusals.ts';
import {
	explainIssues, maxFragmentBytes, publishFragments, type PublishFailure, type PublishReceipt,
} from '#configuration';
import {fail, type Result} from '#core';
import type {ObjectStore} from '#object-store';

/** Maximum size of the body of a publish request, in bytes. */
export const maxPublishBytes = 4 * maxFragmentBytes;

const maxFragments = 1000;
const maxNameLength = 200;
const nameSchema = z.string().min(1).max(maxNameLength);

const publishSchema = z.strictObject({
	fragments: z.array(z.strictObject({file: z.string().min(1).max(1000), text: z.string()})).max(maxFragments).default([]),
	remove: z.array(nameSchema).max(maxFragments).default([]),
	bases: z.record(nameSchema, nameSchema).default({}),
	id: nameSchema.optional(),
});

/** Checks the body of a publish request and commits its fragments to the platform. */
export async function handlePublication(platform: ObjectStore, body: unknown): Promise<Result<PublishReceipt, AdminRefusal>> {
	const parsed = publishSchema.safeParse(body);
	if (!parsed.success) {
		return fail({reason: 'admin_bad_request', extra: {faults: explainIssues(publishSchema, parsed.error)}});
	}

	const {fragments, ...options} = parsed.data;
	const published = await publishFragments(platform, fragments, options);
	return published.ok ? published : fail(createPublishRefusal(published.error));
}

function createPublishRefusal(failure: PublishFailure): AdminRefusal {
	switch (failure.kind) {
		case 'invalid': {
			return {reason: 'admin_configuration_invalid', extra: {faults: failure.faults}};
		}

		case 'conflict': {
			const {service, base, found} = failure;
			return {reason: 'admin_configuration_conflict', detail: `Service "${service}".`, extra: {service, base, found}};
		}

		case 'platform': {
			const {kind, detail} = failure.failure;
			return {reason: kind === 'unknown' ? 'admin_outcome_unknown' : 'admin_platform_unavailable', detail: `${kind}: ${detail}`};
		}
	}
}
