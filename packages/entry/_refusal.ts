/** Refusals as JSON. */
import type {Response} from 'express';
import type {Refusal} from '#core';

/** The JSON body of a refusal. */
export function writeRefusal(refusal: Refusal): unknown {
	return {
		error: {
			code: refusal.reason, message: refusal.message, ran: refusal.ran, retryAfterMs: refusal.retryAfterMs,
		},
	};
}

/** Answers a request with a refusal. */
export function sendRefusal(res: Response, refusal: Refusal): void {
	if (res.destroyed || res.headersSent) {
		res.destroy();
		return;
	}

	if (refusal.retryAfterMs !== undefined) {
		res.set('retry-after', String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1000))));
	}

	res.status(refusal.status).json(writeRefusal(refusal));
}
