/** The express application that callers talk to. */
import {Buffer} from 'node:buffer';
import express, {
	type Express, type NextFunction, type Request, type Response,
} from 'express';
import * as z from 'zod';
import {parseChatBody, type CallerRequest} from './caller-request.ts';
import {sendRefusal} from './_refusal.ts';
import {sendCall} from './_call-answer.ts';
import {sendChatStream, sendChatWhole} from './_chat-answer.ts';
import type {Clock} from '#clock';
import {
	fail, makeRefusal, succeed, toMessage, type AnswerEvent, type Refusal, type Result,
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
	clock: Clock;
}>;

/** Options of {@link createEntryApp}. */
export type EntryOptions = Readonly<{
	/** Time after which a caller that reads nothing of its answer is cut off, in milliseconds. Default: 30 000. */
	stallMs?: number;
}>;

/** Creates the application; it listens nowhere yet. */
export function createEntryApp(deps: EntryDeps, options: EntryOptions = {}): Express {
	const writing = {clock: deps.clock, stallMs: options.stallMs ?? 30_000};
	const app = express();
	app.disable('x-powered-by');
	const refuse = (res: Response, refusal: Refusal) => {
		deps.countRefusal(refusal);
		sendRefusal(res, refusal);
	};

	app.post('/v1/chat/completions', express.json({limit: deps.maxBodyBytes}), async (req, res) => {
		const body = parseChatBody(req.body);
		const request = body.ok ? makeCallerRequest(req, body.value.route, body.value.work) : body;
		if (!body.ok || !request.ok) {
			refuse(res, request.ok ? makeRefusal('bad_request') : request.error);
			return;
		}

		const {route, stream} = body.value;
		const events = deps.handle(request.value, makeCloseSignal(res));
		await (stream ? sendChatStream(res, route, events, writing) : sendChatWhole(res, route, events));
	});
	app.use('/services/:route', express.raw({type: () => true, limit: deps.maxBodyBytes}), async (req, res) => {
		const body = Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0);
		const work = {
			kind: 'call', method: req.method, path: req.url, contentType: req.get('content-type'), body,
		} as const;
		const request = makeCallerRequest(req, String(req.params.route), work);
		if (!request.ok) {
			refuse(res, request.error);
			return;
		}

		await sendCall(res, deps.handle(request.value, makeCloseSignal(res)));
	});
	app.use((req, res) => {
		sendRefusal(res, makeRefusal('route_unknown', {detail: `There is no ${req.method} ${req.path}.`}));
	});
	app.use((error: unknown, _req: Request, res: Response, _next: NextFunction) => {
		const refusal = classifyError(error);
		if (refusal) {
			refuse(res, refusal);
		} else {
			res.destroy();
		}
	});
	return app;
}

const maxKeyLength = 255;

function makeCallerRequest(req: Request, route: string, work: CallerRequest['work']): Result<CallerRequest, Refusal> {
	const idempotencyKey = req.get('idempotency-key');
	if (idempotencyKey !== undefined && (idempotencyKey === '' || idempotencyKey.length > maxKeyLength)) {
		return fail(makeRefusal('bad_request', {detail: `Idempotency-Key must have 1 to ${maxKeyLength} characters.`}));
	}

	return succeed({
		route, authorization: req.get('authorization'), idempotencyKey, work,
	});
}

/** Recognises the errors of a request that could not be read; any other cuts the connection without a clean end. */
function classifyError(error: unknown): Refusal | undefined {
	const fields = z.object({status: z.number(), type: z.string().optional()}).safeParse(error);
	if (!fields.success || fields.data.status >= 500) {
		return undefined;
	}

	return fields.data.type === 'entity.too.large'
		? makeRefusal('body_too_large')
		: makeRefusal('bad_request', {detail: `${toMessage(error)}.`});
}
