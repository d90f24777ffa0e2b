/** Sends the answer of a plain service to the caller. */
import {Buffer} from 'node:buffer';
import type {Response} from 'express';
import {sendRefusal} from './_refusal.ts';
import type {AnswerEvent} from '#core';

/**
 * Sends a service's answer once it is complete, so that a failure before its end
 * can still be sent as a refusal. If the events close without an end or a
 * refusal, the connection is aborted.
 */
export async function sendServiceAnswer(res: Response, events: AsyncIterable<AnswerEvent>): Promise<void> {
	const chunks: Uint8Array[] = [];
	for await (const event of events) {
		switch (event.kind) {
			case 'head': {
				res.status(event.status).set('x-target', event.target);
				if (event.contentType) {
					res.set('content-type', event.contentType);
				}

				if (event.isReplayed) {
					res.set('x-replayed', '1');
				}

				break;
			}

			case 'data': {
				chunks.push(event.bytes);
				break;
			}

			case 'refused': {
				sendRefusal(res, event.refusal);
				return;
			}

			case 'end': {
				res.end(Buffer.concat(chunks));
				return;
			}

			case 'tool':
			case 'usage': {
				break;
			}
		}
	}

	res.destroy();
}
