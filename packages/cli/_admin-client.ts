/** Sends requests to the administration API of running instances and parses the responses. */
import {request} from 'undici';
import * as z from 'zod';
import {
	fail, succeed, getErrorMessage, type Result,
} from '#core';

/** Response of the administration API. */
export type AdminResponse = Readonly<{status: number; body: unknown}>;

/** Request to the administration API. */
export type AdminRequest = Readonly<{
	/** `host:port` of the instance. */
	address: string;
	token: string;
	method: 'GET' | 'POST';
	path: string;
	/** Value that is sent as JSON. Default: no body. */
	body?: unknown;
}>;

const timeoutMs = 10_000;

/** Sends a request to an instance. An error is a message that contains the address of the instance. */
export async function sendAdminRequest(adminRequest: AdminRequest): Promise<Result<AdminResponse, string>> {
	try {
		const response = await request(`http://${adminRequest.address}${adminRequest.path}`, {
			method: adminRequest.method,
			headers: {'content-type': 'application/json', authorization: `Bearer ${adminRequest.token}`},
			body: adminRequest.body === undefined ? undefined : JSON.stringify(adminRequest.body),
			signal: AbortSignal.timeout(timeoutMs),
		});
		const body: unknown = await response.body.json();
		return succeed({status: response.statusCode, body});
	} catch (error) {
		return fail(`instance ${adminRequest.address} did not answer: ${getErrorMessage(error)}`);
	}
}

/** Refusal of the administration API. A fault in the body of the request itself belongs to no file. */
const refusalSchema = z.object({
	error: z.object({
		code: z.string(),
		message: z.string(),
		faults: z.array(z.object({file: z.string().default('request'), field: z.string(), message: z.string()})).default([]),
	}),
});

/** Error object of a refusal. */
export type AdminError = z.infer<typeof refusalSchema>['error'];

/** Parses the refusal from a response. The code is `unexpected` if the body has another format. */
export function parseAdminError({status, body}: AdminResponse): AdminError {
	const parsed = refusalSchema.safeParse(body);
	return parsed.success ? parsed.data.error : {code: 'unexpected', message: `the instance answered with HTTP status ${status} in an unknown format`, faults: []};
}

/** Status of an instance. `ready` and `instances` are additional fields that an instance may omit. */
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

/** Status of an instance, with the statuses that it received from the other instances. */
export type AdminStatus = z.infer<typeof statusSchema>;

/** Requests the status of one instance. */
export async function requestStatus(address: string, token: string): Promise<Result<AdminStatus, string>> {
	const response = await sendAdminRequest({
		address, token, method: 'GET', path: '/status',
	});
	if (!response.ok) {
		return response;
	}

	if (response.value.status !== 200) {
		return fail(`instance ${address}: ${parseAdminError(response.value).message}`);
	}

	const parsed = statusSchema.safeParse(response.value.body);
	return parsed.success ? succeed(parsed.data) : fail(`instance ${address} sent a status in an unknown format`);
}
