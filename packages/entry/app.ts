/** The express application that callers talk to. */
import {Buffer} from 'node:buffer';
import express, {
	type Express, type NextFunction, type Request, type Response,
} from 'express';
import {parseChatBody, type CallerRequest} from './caller-request.ts';
import {sendRefusal} from './_refusal.ts';
import {sendCall} from './_call-answer.ts';
import {sendChatStream, sendChatWhole} from './_chat-answer.ts';
import {
	makeRefusal, toMessage, type AnswerEvent, type Refusal,
} from '#core';
import {makeCloseSignal} from '#http';

/** Runs a parsed request; the node provides it. */
export type HandleRequest = (request: CallerRequest, signal: AbortSignal) => AsyncIterable<AnswerEvent>;

/** What the entry works with. */
export type EntryDeps = Readonly<{
	handle: HandleRequest;
	/** Counts a refusal made before the request reached the node. */
	countRefusal: (refusal: Refusal) => void;
	/** Largest body accepted, in bytes. */
	maxBodyBytes: number;
}>;

/** Creates the application; it listens nowhere yet. */
export function createEntryApp(deps: EntryDeps): Express {
	const app = express();
	app.disable('x-powered-by');
	app.post('/v1/chat/completions', express.json({limit: deps.maxBodyBytes}), async (req, res) => {
		const body = parseChatBody(req.body);
		if (!body.ok) {
			deps.countRefusal(body.error);
			sendRefusal(res, body.error);
			return;
		}

		const {route, stream, work} = body.value;
		const events = deps.handle(makeCallerRequest(req, route, work), makeCloseSignal(res));
		await (stream ? sendChatStream(res, route, events) : sendChatWhole(res, route, events));
	});
	app.use('/services/:route', express.raw({type: () => true, limit: deps.maxBodyBytes}), async (req, res) => {
		const body = Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0);
		const work = {
			kind: 'call', method: req.method, path: req.url, contentType: req.get('content-type'), body,
		} as const;
		const route = String(req.params.route);
		await sendCall(res, deps.handle(makeCallerRequest(req, route, work), makeCloseSignal(res)));
	});
	app.use((req, res) => {
		sendRefusal(res, makeRefusal('route_unknown', {detail: `There is no ${req.method} ${req.path}.`}));
	});
	app.use((error: unknown, _req: Request, res: Response, _next: NextFunction) => {
		const refusal = classifyBodyError(error);
		deps.countRefusal(refusal);
		sendRefusal(res, refusal);
	});
	return app;
}

function makeCallerRequest(req: Request, route: string, work: CallerRequest['work']): CallerRequest {
	return {
		route, authorization: req.get('authorization'), idempotencyKey: req.get('idempotency-key'), work,
	};
}

function classifyBodyError(error: unknown): Refusal {
	const type = error instanceof Error && 'type' in error ? String(error.type) : '';
	if (type === 'entity.too.large') {
		return makeRefusal('body_too_large');
	}

	return makeRefusal('bad_request', {detail: `${toMessage(error)}.`});
}
