/** Finds the route of a request: among the routes of its host, the one with the longest matching path prefix. */
import type {RelayRoute} from '#core';

/** Routes by host in lower case, those with longer path prefixes first. */
export type RouteTable = ReadonlyMap<string, readonly RelayRoute[]>;

/** Creates the route table of a configuration. */
export function createRouteTable(routes: readonly RelayRoute[]): RouteTable {
	const table = new Map<string, RelayRoute[]>();
	for (const route of routes) {
		const hostRoutes = table.get(route.host);
		if (hostRoutes) {
			hostRoutes.push(route);
		} else {
			table.set(route.host, [route]);
		}
	}

	for (const hostRoutes of table.values()) {
		hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
	}

	return table;
}

/**
 * Finds the route of a request.
 *
 * @param host value of the `Host` header, in any case
 * @param path path, which may contain a query
 */
export function findRoute(table: RouteTable, host: string, path: string): RelayRoute | undefined {
	const queryStart = path.indexOf('?');
	const pathname = queryStart === -1 ? path : path.slice(0, queryStart);
	return table.get(host.toLowerCase())?.find(({pathPrefix}) => pathname.startsWith(pathPrefix));
}
