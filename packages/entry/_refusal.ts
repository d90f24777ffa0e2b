/** Refusals as JSON. */
import type {Response} from 'express';
import type {Refusal} from '#core';
import {finishResponse} from '#http';

/** Creates the JSON body of a refusal. */
export function encodeRefusal(refusal: Refusal): unknown {
	return {
		error: {
			code: refusal.reason, message: refusal.message, ran: refusal.ran, retryAfterMs: refusal.retryAfterMs,
		},
	};
}

/** Answers a request with a refusal; aborts the connection if the answer has already begun. */
export function sendRefusal(res: Response, refusal: Refusal): void {
	if (res.destroyed || res.headersSent) {
		res.destroy();
		return;
	}

	if (refusal.retryAfterMs !== undefined) {
		res.set('retry-after', String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1000))));
	}

	res.status(refusal.status).set('content-type', 'application/json; charset=utf-8');
	finishResponse(res, JSON.stringify(encodeRefusal(refusal)));
}
