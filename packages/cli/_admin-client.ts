/** Calls to the administration API of running instances. */
import {request} from 'undici';
import * as z from 'zod';
import {
	fail, succeed, toMessage, type Result,
} from '#core';

/** An answer of the administration API. */
export type AdminAnswer = Readonly<{status: number; body: unknown}>;

/** A call to the administration API. */
export type AdminCall = Readonly<{
	/** `host:port` of the instance. */
	address: string;
	token: string;
	method: 'GET' | 'POST';
	path: string;
	/** Sent as JSON. Default: no body. */
	body?: unknown;
}>;

const timeoutMs = 10_000;

/** Calls an instance; an error is a message that names the instance. */
export async function callAdmin(call: AdminCall): Promise<Result<AdminAnswer, string>> {
	try {
		const answer = await request(`http://${call.address}${call.path}`, {
			method: call.method,
			headers: {'content-type': 'application/json', authorization: `Bearer ${call.token}`},
			body: call.body === undefined ? undefined : JSON.stringify(call.body),
			signal: AbortSignal.timeout(timeoutMs),
		});
		const body: unknown = await answer.body.json();
		return succeed({status: answer.statusCode, body});
	} catch (error) {
		return fail(`instance ${call.address} did not answer: ${toMessage(error)}`);
	}
}

const refusalSchema = z.object({
	error: z.object({
		code: z.string(),
		message: z.string(),
		faults: z.array(z.object({file: z.string().default('request'), field: z.string(), message: z.string()})).default([]),
	}),
});

/** A refusal of the administration API. */
export type AdminError = z.infer<typeof refusalSchema>['error'];

/** Reads the refusal out of an answer that is not 200. */
export function readAdminError({status, body}: AdminAnswer): AdminError {
	const parsed = refusalSchema.safeParse(body);
	return parsed.success ? parsed.data.error : {code: 'unexpected', message: `the instance answered ${status}`, faults: []};
}

const statusSchema = z.object({
	name: z.string(),
	zone: z.string(),
	generation: z.number(),
	running: z.number(),
	ready: z.boolean().default(true),
	instances: z.array(z.object({
		name: z.string(),
		zone: z.string(),
		state: z.string(),
		leaving: z.boolean(),
		status: z.object({generation: z.number(), ready: z.boolean(), running: z.number()}).optional(),
	})).default([]),
});

/** Status of an instance, with what it knows of the others. */
export type AdminStatus = z.infer<typeof statusSchema>;

/** Reads the status of one instance. */
export async function readStatus(address: string, token: string): Promise<Result<AdminStatus, string>> {
	const answer = await callAdmin({
		address, token, method: 'GET', path: '/status',
	});
	if (!answer.ok) {
		return answer;
	}

	if (answer.value.status !== 200) {
		return fail(`instance ${address}: ${readAdminError(answer.value).message}`);
	}

	const parsed = statusSchema.safeParse(answer.value.body);
	return parsed.success ? succeed(parsed.data) : fail(`instance ${address} answered with an unknown format`);
}
