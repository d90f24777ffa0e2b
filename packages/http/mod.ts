/** Listening HTTP servers, shared by the router and the stand-ins, and checks of answers that the HTTP parser accepts. */
export {startHttpServer, type HttpServer} from './server.ts';
export {ByteBlocks} from './byte-blocks.ts';
export {finishResponse} from './finish-response.ts';
export {createCloseSignal} from './close-signal.ts';
export {runInTurn} from './run-in-turn.ts';
export {checkHeads, decodeHeaderLines} from './check-heads.ts';
export {explainHeadFault} from './head-fault.ts';
