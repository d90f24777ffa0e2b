/** Serves the requests, load reports, cache events and orders of a stand-in engine over HTTP. */
import {Buffer} from 'node:buffer';
import express, {type Response} from 'express';
import * as z from 'zod';
import type {EngineStandin} from './engine.ts';
import {maxBodySize, sendTargetResult} from './_send-result.ts';
import type {TargetCall, TargetFrame} from '#core';
import {createCloseSignal, startHttpServer, type HttpServer} from '#http';

const callSchema = z.object({
	model: z.string().optional(),
	messages: z.array(z.object({role: z.string(), content: z.string()})),
	max_tokens: z.number(),
	routing: z.object({
		attempt: z.string(),
		request: z.string(),
		customer: z.string(),
		weights: z.string().optional(),
		incarnation: z.string().optional(),
		chain: z.array(z.string()),
		pieceTokens: z.array(z.number()),
		priority: z.number(),
		remainingMs: z.number(),
		resumeOffset: z.number(),
		deliveredText: z.string(),
		importKeys: z.array(z.string()),
	}),
});

const orderSchema = z.object({
	kind: z.enum(['load', 'unload', 'drain', 'role', 'adapter']),
	model: z.string(),
	value: z.string(),
	fencing: z.number(),
	orderId: z.string(),
});

const eventsSchema = z.object({after: z.coerce.number()});

/**
 * Serves an engine on the loopback interface.
 *
 * @param port 0 chooses a free port
 */
export async function startEngineServer(engine: EngineStandin, port = 0): Promise<HttpServer> {
	const app = express();
	app.use(express.json({limit: maxBodySize}));
	app.post('/v1/chat/completions', async (req, res) => {
		await streamChat(engine, decodeCall(callSchema.parse(req.body)), res);
	});
	app.get('/report', async (_req, res) => {
		sendTargetResult(res, await engine.readReport());
	});
	app.get('/events', async (req, res) => {
		sendTargetResult(res, await engine.readCacheEvents(eventsSchema.parse(req.query).after));
	});
	app.post('/orders', async (req, res) => {
		sendTargetResult(res, await engine.sendOrder(orderSchema.parse(req.body)));
	});
	return startHttpServer(app, `127.0.0.1:${port}`);
}

function decodeCall(body: z.infer<typeof callSchema>): TargetCall {
	const {attempt, request, ...routing} = body.routing;
	return {
		...routing,
		attemptId: attempt,
		requestId: request,
		model: body.model,
		shouldUseNewConnection: false,
		work: {
			kind: 'chat', messages: body.messages, maxTokens: body.max_tokens, extra: {},
		},
	};
}

async function streamChat(engine: EngineStandin, call: TargetCall, res: Response): Promise<void> {
	for await (const frame of engine.run(call, createCloseSignal(res))) {
		if (frame.kind === 'fault' && frame.outcome !== 'failed') {
			sendFault(res, call.attemptId, frame.outcome === 'refused');
			return;
		}

		if (!res.headersSent) {
			res.writeHead(200, {'content-type': 'text/event-stream'});
		}

		res.write(`data: ${JSON.stringify(encodeFrame(frame))}\n\n`);
	}

	res.end();
}

/** Reports a request that did not run with status 503, and otherwise closes the connection without a further response. */
function sendFault(res: Response, attemptId: string, isRefused: boolean): void {
	if (isRefused && !res.headersSent) {
		res.status(503).set('x-attempt-id', attemptId).json({detail: 'not run'});
		return;
	}

	res.destroy();
}

type FrameEncoders = Readonly<{[Kind in TargetFrame['kind']]: (frame: Extract<TargetFrame, {kind: Kind}>) => unknown}>;

const frameEncoders: FrameEncoders = {
	head: ({attemptId, incarnation, weights, promptTokens, cachedTokens}) =>
		({
			type: 'head', attempt: attemptId, incarnation, weights, promptTokens, cachedTokens,
		}),
	data: ({attemptId, offset, bytes}) => ({
		type: 'data', attempt: attemptId, offset, base64: Buffer.from(bytes).toString('base64'),
	}),
	tool: ({attemptId, call}) => ({type: 'tool', attempt: attemptId, ...call}),
	usage: ({attemptId, usage}) => ({type: 'usage', attempt: attemptId, ...usage}),
	end: ({attemptId, finish}) => ({type: 'end', attempt: attemptId, finish}),
	fault: ({outcome, detail}) => ({type: 'error', ran: outcome === 'failed', detail}),
};

function encodeFrame(frame: TargetFrame): unknown {
	const encode: (frame: never) => unknown = frameEncoders[frame.kind];
	return encode(frame as never); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the table is keyed by the frame's own kind
}
