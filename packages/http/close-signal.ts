/** Tells when the peer of an HTTP response has gone. */
import type {ServerResponse} from 'node:http';

/** Makes a signal that aborts when the response is finished or its connection has closed. */
export function makeCloseSignal(res: ServerResponse): AbortSignal {
	const controller = new AbortController();
	res.on('close', () => {
		controller.abort();
	});
	return controller.signal;
}
