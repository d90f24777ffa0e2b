/** Routing: from a caller's HTTP request to its route and pool. */
export {buildRouteTable, findRoute, type RouteTable} from './route-table.ts';
export {pickPool} from './pick-pool.ts';
