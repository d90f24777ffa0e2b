/** Listening HTTP servers, shared by the router and the stand-ins. */
export {startHttpServer, type HttpServer} from './server.ts';
export {createCloseSignal} from './close-signal.ts';
