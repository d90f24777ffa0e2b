/** Finds the customer that a bearer key belongs to. Only digests of keys are kept. */
import {createHash} from 'node:crypto';
import type {Configuration, Customer} from '#core';

/** The digest under which a key stands in the configuration. */
export function digestKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

const indexes = new WeakMap<Configuration, ReadonlyMap<string, Customer>>();

/**
 * Looks up the customer of an `Authorization` header.
 *
 * @param header value of the header, `Bearer KEY`
 * @returns nothing when the header is missing or the key is unknown
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
