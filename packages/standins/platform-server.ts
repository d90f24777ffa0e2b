/** Serves the object API of the stand-in platform over HTTP. */
import express from 'express';
import * as z from 'zod';
import type {PlatformStandin} from './platform.ts';
import {maxBodySize, sendPlatformResult} from './_send-result.ts';
import {createCloseSignal, startHttpServer, type HttpServer} from '#http';

const putSchema = z.object({value: z.string(), ifVersion: z.number().optional()});
const removeSchema = z.object({ifVersion: z.coerce.number().optional()});
const listSchema = z.object({prefix: z.string()});
const watchSchema = z.object({prefix: z.string(), revision: z.coerce.number(), waitMs: z.coerce.number().optional()});

/**
 * Serves the object API on the loopback interface.
 *
 * @param port 0 chooses a free port
 */
export async function startPlatformServer(platform: PlatformStandin, port = 0): Promise<HttpServer> {
	const app = express();
	app.use(express.json({limit: maxBodySize}));
	app.get('/objects/:key', async (req, res) => {
		const result = await platform.get(req.params.key);
		if (result.ok && !result.value) {
			res.status(404).json({});
			return;
		}

		sendPlatformResult(res, result);
	});
	app.put('/objects/:key', async (req, res) => {
		const {value, ...options} = putSchema.parse(req.body);
		sendPlatformResult(res, await platform.put(req.params.key, value, options));
	});
	app.delete('/objects/:key', async (req, res) => {
		sendPlatformResult(res, await platform.remove(req.params.key, removeSchema.parse(req.query)));
	});
	app.get('/list', async (req, res) => {
		sendPlatformResult(res, await platform.list(listSchema.parse(req.query).prefix));
	});
	app.get('/watch', async (req, res) => {
		const {prefix, revision, waitMs} = watchSchema.parse(req.query);
		sendPlatformResult(res, await platform.watch(prefix, revision, createCloseSignal(res), {waitMs}));
	});
	app.get('/instances', async (_req, res) => {
		sendPlatformResult(res, await platform.listInstances());
	});
	return startHttpServer(app, `127.0.0.1:${port}`);
}
