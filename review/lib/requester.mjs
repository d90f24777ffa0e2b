/** A stand-in of the callers: sends one request over a new or a kept connection and reports what it was answered. */
import {Agent, request} from 'node:http';

let count = 0;

/** Error of a request that its caller has given up. */
export const gaveUp = 'the caller has given up';

/** Returns an id that no other request of this run has. */
export function createId(prefix = 'q') {
	count++;
	return `${prefix}${String(count).padStart(5, '0')}`;
}

/** Creates an agent that keeps connections open. */
export function createAgent() {
	return new Agent({keepAlive: true, maxSockets: 50});
}

/**
 * Sends a request; resolves when the answer is complete or the connection has failed.
 *
 * @returns `{id, status, stamp, text, isComplete, error, isReused, ms}`; `status` is absent if no head arrived, `isReused` tells of a kept connection
 */
export async function send(front, {id = createId(), method = 'GET', path, host = 'stock.example', key = 'key-1', deadlineMs = 1500, headers = {}, body, agent = false}) {
	const startedMs = performance.now();
	return new Promise(resolve => {
		const result = {
			id, status: undefined, text: '', isComplete: false, error: undefined,
		};
		const finish = error => {
			clearTimeout(timer);
			resolve({
				...result, error, isReused: req.reusedSocket, ms: Math.round(performance.now() - startedMs),
			});
		};

		const req = request({
			...front, method, path, agent, headers: {
				host, 'x-apricotdoor-request-id': id, 'x-apricotdoor-deadline-ms': String(deadlineMs), ...(key === undefined ? {} : {'api-key': key}), ...headers,
			},
		}, res => {
			result.status = res.statusCode;
			result.stamp = res.headers['x-apricotdoor-response-stamp'];
			res.on('data', chunk => {
				result.text += String(chunk);
			});
			res.on('end', () => {
				result.isComplete = res.complete;
				finish();
			});
			res.on('error', error => {
				finish(error.message);
			});
		});
		const timer = setTimeout(() => {
			req.destroy(new Error(gaveUp));
		}, deadlineMs + 200);
		req.on('error', error => {
			finish(error.message);
		});
		req.end(body);
	});
}
