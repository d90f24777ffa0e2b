/** Computes fingerprints by which a request is recognised when its caller sends it again. */
import {Buffer} from 'node:buffer';
import {
	hash64, type RelayRequest, type RoutedRequest, type Work,
} from '#core';

/**
 * Hashes the customer, route and body of a request.
 *
 * @returns 16 hexadecimal digits of XXH64, which is not collision-resistant against an adversary
 */
export function computeFingerprint({customer, route, work}: RoutedRequest): string {
	return hash64(`${customer.name}\n${route.name}\n${formatBody(work)}`);
}

/** Hashes the customer, method, path and body of a relayed request. */
export function computeRelayFingerprint({customer, method, path, body}: RelayRequest): string {
	return hash64(`${customer?.name ?? ''}\n${method} ${path}\n${body ? Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('latin1') : ''}`);
}

function formatBody(work: Work): string {
	return work.kind === 'chat'
		? JSON.stringify([work.messages, work.maxTokens, work.extra])
		: `${work.method} ${work.path}\n${Buffer.from(work.body).toString('latin1')}`;
}
