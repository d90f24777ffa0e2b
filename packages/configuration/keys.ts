/** Keys of the configuration's objects on the platform. */

/** The head: the generation and the fragments that make it up. */
export const headKey = 'config/head';

/** Prefix of the fragments, one object for each service and checksum. */
export const fragmentPrefix = 'config/fragments/';

/** Key of one service's fragment. */
export function makeFragmentKey(service: string, checksum: string): string {
	return `${fragmentPrefix}${service}/${checksum}`;
}
