/**
 * Keeps the requests of one connection in order. Node.js hands over a request
 * that its caller has sent behind another one at once, though its response has no
 * connection until the one before has been sent: it gets none if the connection
 * closes after that, and then it emits no `close` either.
 */
import type {ServerResponse} from 'node:http';

/** Runs `handler` once the responses before this one on its connection have been sent; never if the connection closes before that. */
export function runInTurn(res: ServerResponse, handler: () => void): void {
	if (res.socket) {
		handler();
	} else {
		res.once('socket', handler);
	}
}
