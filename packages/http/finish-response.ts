/** Ends responses to requests that may still be arriving. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';

/**
 * Sends the body of a response at once, and ends the response when its request
 * has arrived in full. A connection that is closed with unread bytes is reset,
 * and the reset may discard an answer that the caller has not read yet
 * (RFC 9112, section 9.6).
 */
export function finishResponse(res: ServerResponse, body: string): void {
	const {req} = res;
	if (req.complete) {
		res.end(body);
		return;
	}

	res.setHeader('content-length', Buffer.byteLength(body));
	res.write(body);
	req.once('end', () => {
		res.end();
	});
	req.resume();
}
