/** Fingerprints that recognise a request when its caller sends it again. */
import {Buffer} from 'node:buffer';
import {
	hash64, type RelayRequest, type RoutedRequest, type Work,
} from '#core';

/**
 * Hashes customer, route and body.
 *
 * @returns 16 hexadecimal digits; not for use against an adversary (XXH64)
 */
export function makeFingerprint({customer, route, work}: RoutedRequest): string {
	return hash64(`${customer.name}\n${route.name}\n${writeBody(work)}`);
}

/** Hashes customer, method, path and body of a relayed request. */
export function makeRelayFingerprint({customer, method, path, body}: RelayRequest): string {
	return hash64(`${customer?.name ?? ''}\n${method} ${path}\n${body ? Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('latin1') : ''}`);
}

function writeBody(work: Work): string {
	return work.kind === 'chat'
		? JSON.stringify([work.messages, work.maxTokens, work.extra])
		: `${work.method} ${work.path}\n${Buffer.from(work.body).toString('latin1')}`;
}
