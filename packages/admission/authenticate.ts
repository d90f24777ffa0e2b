/** Authenticates customers by bearer keys. The configuration holds only digests of the keys. */
import {createHash} from 'node:crypto';
import type {Configuration, Customer} from '#core';

/** Computes the digest of a key as the configuration holds it: SHA-256 in hexadecimal. */
export function digestKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Customers by key digest, for each configuration. */
const indexes = new WeakMap<Configuration, ReadonlyMap<string, Customer>>();

/**
 * Finds the customer of an `Authorization` header.
 *
 * @param header value of the header, `Bearer KEY`
 * @returns `undefined` if the header is missing or malformed, or the key is unknown
 */
export function authenticate(configuration: Configuration, header: string | undefined): Customer | undefined {
	const key = /^bearer (\S{1,512})$/iv.exec(header ?? '')?.[1];
	return key === undefined ? undefined : getIndex(configuration).get(digestKey(key));
}

function getIndex(configuration: Configuration): ReadonlyMap<string, Customer> {
	const known = indexes.get(configuration);
	if (known) {
		return known;
	}

	const index = new Map<string, Customer>();
	for (const customer of configuration.customers.values()) {
		for (const digest of customer.keyDigests) {
			index.set(digest, customer);
		}
	}

	indexes.set(configuration, index);
	return index;
}
