/** The express application for callers. */
import {Buffer} from 'node:buffer';
import express, {
	type Express, type NextFunction, type Request, type Response,
} from 'express';
import * as z from 'zod';
import {parseChatBody, type CallerRequest} from './caller-request.ts';
import {sendRefusal} from './_refusal.ts';
import {sendServiceAnswer} from './_service-answer.ts';
import {sendChatStream, sendChatJson} from './_chat-answer.ts';
import type {Clock} from '#clock';
import {
	fail, createRefusal, succeed, getErrorMessage, type AnswerEvent, type Refusal, type Result,
} from '#core';
import {createCloseSignal} from '#http';

/** Runs a parsed request and returns the events of its answer. */
export type RequestHandler = (request: CallerRequest, signal: AbortSignal) => AsyncIterable<AnswerEvent>;

export type EntryDependencies = Readonly<{
	handleRequest: RequestHandler;
	/** Counts a refusal of a request that did not reach `handleRequest`. */
	countRefusal: (refusal: Refusal) => void;
	/** Receives the error of a request whose connection is closed without a refusal. Default: it is dropped. */
	handleError?: (error: unknown) => void;
	/** Maximum size of a request's body, in bytes. */
	maxBodyBytes: number;
	clock: Clock;
	/** Aborts when the instance waits no longer for bodies that are still arriving; their requests are refused. Default: never. */
	stopSignal?: AbortSignal;
}>;

/** Options of {@link createEntryApp}. */
export type EntryOptions = Readonly<{
	/** Time after which a caller that reads nothing of its answer is disconnected, in milliseconds. Default: 30 000. */
	stallTimeoutMs?: number;
}>;

/** Time after which a caller may retry a request whose body a stopping instance did not wait for, in milliseconds. */
const stoppingRetryMs = 100;

/** Creates the application without binding it to an address. */
export function createEntryApp(dependencies: EntryDependencies, options: EntryOptions = {}): Express {
	const writeOptions = {clock: dependencies.clock, stallTimeoutMs: options.stallTimeoutMs ?? 30_000};
	const app = express();
	app.disable('x-powered-by');
	const sendCountedRefusal = (res: Response, refusal: Refusal) => {
		dependencies.countRefusal(refusal);
		sendRefusal(res, refusal);
	};

	const arriving = new Set<Response>();
	dependencies.stopSignal?.addEventListener('abort', () => {
		for (const res of arriving) {
			sendCountedRefusal(res, createRefusal('stopping', {retryAfterMs: stoppingRetryMs}));
		}
	}, {once: true});
	app.use((_req, res, next) => {
		arriving.add(res);
		res.once('close', () => {
			arriving.delete(res);
		});
		next();
	});
	const finishArrival = (_req: Request, res: Response, next: NextFunction) => {
		arriving.delete(res);
		if (!res.headersSent) {
			next();
		}
	};

	app.post('/v1/chat/completions', express.json({limit: dependencies.maxBodyBytes}), finishArrival, async (req, res) => {
		const body = parseChatBody(req.body);
		const request = body.ok ? createCallerRequest(req, body.value.route, body.value.work) : body;
		if (!body.ok || !request.ok) {
			sendCountedRefusal(res, request.ok ? createRefusal('bad_request') : request.error);
			return;
		}

		const {route, stream} = body.value;
		const events = dependencies.handleRequest(request.value, createCloseSignal(res));
		await (stream ? sendChatStream(res, route, events, writeOptions) : sendChatJson(res, route, events));
	});
	app.use('/services/:route', express.raw({type: () => true, limit: dependencies.maxBodyBytes}), finishArrival, async (req, res) => {
		const body = Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0);
		const work = {
			kind: 'call', method: req.method, path: req.url, contentType: req.get('content-type'), body,
		} as const;
		const request = createCallerRequest(req, String(req.params.route), work);
		if (!request.ok) {
			sendCountedRefusal(res, request.error);
			return;
		}

		await sendServiceAnswer(res, dependencies.handleRequest(request.value, createCloseSignal(res)));
	});
	app.use((req, res) => {
		sendRefusal(res, createRefusal('route_unknown', {detail: `There is no ${req.method} ${req.path}.`}));
	});
	app.use((error: unknown, _req: Request, res: Response, _next: NextFunction) => {
		const refusal = res.headersSent ? undefined : classifyError(error);
		if (refusal) {
			sendCountedRefusal(res, refusal);
		} else {
			dependencies.handleError?.(error);
			res.destroy();
		}
	});
	return app;
}

const maxIdempotencyKeyLength = 255;

function createCallerRequest(req: Request, route: string, work: CallerRequest['work']): Result<CallerRequest, Refusal> {
	const idempotencyKey = req.get('idempotency-key');
	if (idempotencyKey !== undefined && (idempotencyKey === '' || idempotencyKey.length > maxIdempotencyKeyLength)) {
		return fail(createRefusal('bad_request', {detail: `Idempotency-Key must have 1 to ${maxIdempotencyKeyLength} characters.`}));
	}

	return succeed({
		route, authorization: req.get('authorization'), idempotencyKey, work,
	});
}

/** Returns the refusal for an error in reading a request. Any other error gives `undefined`, and the connection is aborted. */
function classifyError(error: unknown): Refusal | undefined {
	const fields = z.object({status: z.number(), type: z.string().optional()}).safeParse(error);
	if (!fields.success || fields.data.status >= 500) {
		return undefined;
	}

	return fields.data.type === 'entity.too.large'
		? createRefusal('body_too_large')
		: createRefusal('bad_request', {detail: `${getErrorMessage(error)}.`});
}
