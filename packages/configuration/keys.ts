/** Keys of the configuration's objects in the platform's object store. */

/** Key of the head, which names the newest generation and its fragments. */
export const headKey = 'config/head';

/** Prefix of the keys of fragments; there is one object for each service and checksum. */
export const fragmentPrefix = 'config/fragments/';

/** Creates the key of a service's fragment. */
export function createFragmentKey(service: string, checksum: string): string {
	return `${fragmentPrefix}${service}/${checksum}`;
}
