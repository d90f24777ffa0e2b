/** Serves the calls and load reports of a stand-in plain service over HTTP. */
import {Buffer} from 'node:buffer';
import express, {type Response} from 'express';
import type {ServiceStandin} from './service.ts';
import {maxBodySize, sendTargetResult} from './_send-result.ts';
import type {TargetCall, TargetFrame} from '#core';
import {createCloseSignal, startHttpServer, type HttpServer} from '#http';

/**
 * Serves a member of a plain service on the loopback interface.
 *
 * @param port 0 chooses a free port
 */
export async function startServiceServer(service: ServiceStandin, port = 0): Promise<HttpServer> {
	const app = express();
	app.get('/report', async (_req, res) => {
		sendTargetResult(res, await service.readReport());
	});
	app.use(express.raw({type: () => true, limit: maxBodySize}));
	app.use(async (req, res) => {
		const call: TargetCall = {
			attemptId: req.get('x-attempt-id') ?? '',
			requestId: req.get('x-request-id') ?? '',
			customer: req.get('x-customer') ?? '',
			work: {
				kind: 'call', method: req.method, path: req.originalUrl, body: Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0),
			},
			chain: [],
			pieceTokens: [],
			priority: 0,
			remainingMs: 0,
			resumeOffset: 0,
			deliveredText: '',
			shouldUseNewConnection: false,
			importKeys: [],
		};
		for await (const frame of service.run(call, createCloseSignal(res))) {
			sendFrame(res, call.attemptId, frame);
		}
	});
	return startHttpServer(app, `127.0.0.1:${port}`);
}

function sendFrame(res: Response, attemptId: string, frame: TargetFrame): void {
	switch (frame.kind) {
		case 'head': {
			res.writeHead(frame.status, {
				'content-type': frame.contentType ?? 'application/octet-stream', 'x-attempt-id': frame.attemptId, 'x-incarnation': frame.incarnation,
			});
			break;
		}

		case 'data': {
			res.write(frame.bytes);
			break;
		}

		case 'end': {
			res.end();
			break;
		}

		case 'fault': {
			sendFault(res, attemptId, frame.outcome === 'refused');
			break;
		}

		case 'tool':
		case 'usage': {
			break;
		}
	}
}

/** Reports a call that did not run with status 503 and a header, and otherwise closes the connection without a response. */
function sendFault(res: Response, attemptId: string, isRefused: boolean): void {
	if (isRefused) {
		res.status(503).set({'x-not-run': '1', 'x-attempt-id': attemptId}).end();
		return;
	}

	res.destroy();
}
