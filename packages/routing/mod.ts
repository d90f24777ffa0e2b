/** Routing: finds the route of a caller's HTTP request and chooses a pool of the route. */
export {buildRouteTable, findRoute, type RouteTable} from './route-table.ts';
export {pickPool} from './choose-pool.ts';
