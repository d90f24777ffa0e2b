/** Finds the route of a request: among the routes of its host, the one with the longest prefix of its path. */
import type {RelayRoute} from '#core';

/** Routes by host, those with longer prefixes first. */
export type RouteTable = ReadonlyMap<string, readonly RelayRoute[]>;

/** Builds the table of a configuration. */
export function buildRouteTable(routes: readonly RelayRoute[]): RouteTable {
	const table = new Map<string, RelayRoute[]>();
	for (const route of routes) {
		const sameHost = table.get(route.host);
		if (sameHost) {
			sameHost.push(route);
		} else {
			table.set(route.host, [route]);
		}
	}

	for (const sameHost of table.values()) {
		sameHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
	}

	return table;
}

/**
 * Finds a request's route.
 *
 * @param host value of the `Host` header
 * @param path path with the query
 */
export function findRoute(table: RouteTable, host: string, path: string): RelayRoute | undefined {
	const query = path.indexOf('?');
	const plain = query === -1 ? path : path.slice(0, query);
	return table.get(host.toLowerCase())?.find(({pathPrefix}) => plain.startsWith(pathPrefix));
}
