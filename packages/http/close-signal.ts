/** An abort signal for the end of an HTTP response. */
import type {ServerResponse} from 'node:http';

/** Creates a signal that aborts when the response is finished or its connection is closed. */
export function createCloseSignal(res: ServerResponse): AbortSignal {
	const controller = new AbortController();
	res.on('close', () => {
		controller.abort();
	});
	return controller.signal;
}
