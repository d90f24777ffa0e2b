/** Routing: finds the route of a caller's HTTP request and chooses a pool of the route. */
export {createRouteTable, findRoute, type RouteTable} from './route-table.ts';
export {choosePool} from './choose-pool.ts';
