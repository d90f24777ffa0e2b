/**
 * Child processes of the overhead and relay benches: targets that answer without
 * prefill time, a plain pass-through proxy, and a complete instance.
 */
import {createServer, type ServerResponse} from 'node:http';
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {json} from 'node:stream/consumers';
import {pipeline} from 'node:stream/promises';
import express from 'express';
import {Pool} from 'undici';
import * as z from 'zod';
import {roleReadySchema, type RoleReady} from './_role-ready.ts';
import {runRelayBackend} from './_relay-backend.ts';
import {digestKey} from '#admission';
import {createSystemClock} from '#clock';
import {publishFragments} from '#configuration';
import {startHttpServer} from '#http';
import {parseSettings, startInstance} from '#node';
import {createHttpObjectStore} from '#object-store';
import {PlatformStandin, startPlatformServer} from '#standins';

/** API key of the customer that sends the load. */
export const benchKey = 'key-of-the-overhead-bench';
/** Name of the route that the bench calls. */
export const benchRoute = 'chat';

const clock = createSystemClock();
const tokensPerAnswer = 32;
const targetCount = 6;
const routingSchema = z.object({routing: z.object({attempt: z.string()}).optional()});
const loadReport = {
	incarnation: 'i1', weights: 'v1', model: 'm', running: 0, queued: 0, queuedTokens: 0, prefillTokensPerMs: 8, tokenGapMs: 10,
	ageMs: 0, leaving: false, cacheSequence: 0, loading: false,
};

/** Runs the platform stand-in and targets that answer without prefill time. */
async function runBackend({gapMs = 0}: RoleReady): Promise<RoleReady> {
	const platform = await startPlatformServer(new PlatformStandin(clock, {latencyMs: 1}));
	const targets = await Promise.all(Array.from({length: targetCount}, async () => {
		const server = await startHttpServer((req, res) => {
			if (req.url === '/report') {
				res.setHeader('content-type', 'application/json').end(JSON.stringify(loadReport));
				return;
			}

			if (req.url?.startsWith('/events')) {
				res.setHeader('content-type', 'application/json').end(JSON.stringify({incarnation: 'i1', events: [], sequence: 0}));
				return;
			}

			void (async () => {
				const body = routingSchema.parse(await json(req));
				res.writeHead(200, {'content-type': 'text/event-stream'});
				await sendAnswer(res, body.routing?.attempt ?? '', gapMs);
			})();
		}, '127.0.0.1:0');
		return server.address;
	}));
	return {address: targets[0]!, platform: platform.address, targets};
}

/** Sends the tokens with `gapMs` between them; 0 sends all at once. */
async function sendAnswer(res: ServerResponse, attempt: string, gapMs: number): Promise<void> {
	const write = (frame: Readonly<Record<string, unknown>>) => res.write(`data: ${JSON.stringify({...frame, attempt})}\n\n`);
	write({
		type: 'head', incarnation: 'i1', weights: 'v1', promptTokens: 4000, cachedTokens: 2000,
	});
	const base64 = Buffer.from('word ').toString('base64');
	for (let index = 0; index < tokensPerAnswer; index++) {
		write({type: 'data', offset: index * 5, base64});
		if (gapMs > 0) {
			await clock.sleep(gapMs);
		}
	}

	write({
		type: 'usage', promptTokens: 4000, completionTokens: tokensPerAnswer, cachedTokens: 2000,
	});
	write({type: 'end', finish: 'stop'});
	res.end();
}

/** Runs a plain pass-through proxy: express receives, undici forwards, and nothing is inspected. */
async function runDirect(backend: RoleReady): Promise<RoleReady> {
	const pool = new Pool(`http://${backend.address}`, {connections: 64});
	const app = express();
	app.disable('x-powered-by');
	app.use(async (req, res) => {
		// `connection` applies to one hop only, so it is not forwarded.
		const {connection: _connection, ...headers} = req.headers;
		const answer = await pool.request({
			method: 'POST', path: req.path, headers, body: req,
		});
		res.writeHead(answer.statusCode, {'content-type': 'text/event-stream'});
		await pipeline(answer.body, res);
	});
	const server = createServer((req, res) => {
		void app(req, res);
	});
	server.keepAliveTimeout = 60_000;
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const bound = server.address();
	return {address: typeof bound === 'object' && bound ? `127.0.0.1:${bound.port}` : ''};
}

/** Runs a complete instance with authentication, admission and placement. */
async function runRouted(backend: RoleReady): Promise<RoleReady> {
	const platformOrigin = `http://${backend.platform!}`;
	const published = await publishFragments(createHttpObjectStore(platformOrigin), [{file: 'bench.json', text: JSON.stringify(createServiceFile(backend.targets!))}]);
	const settings = parseSettings(JSON.stringify({
		name: 'bench', zone: 'a', listen: '127.0.0.1:0', adminListen: '127.0.0.1:0', platformOrigin, logLevel: 'silent',
	}));
	if (!published.ok || !settings.ok) {
		throw new Error(`the configuration or the settings of the overhead bench are invalid: ${JSON.stringify([published, settings])}`);
	}

	const instance = await startInstance(settings.value);
	while (!instance.router.configuration.current || !instance.lifecycle.isReady) {
		await clock.sleep(20);
	}

	return {address: instance.address};
}

function createServiceFile(targets: readonly string[]): unknown {
	const unlimited = {requestsPerSecond: 100_000, burst: 100_000, concurrent: 10_000};
	return {
		service: 'bench',
		pools: [{
			name: 'p', kind: 'engine', model: 'm', weights: 'v1', slots: 64, targets: targets.map((address, index) => ({name: `e${index}`, address, zone: 'a'})),
		}],
		routes: [{name: benchRoute, pool: 'p'}],
		customers: [{
			name: 'c', keyDigests: [digestKey(benchKey)], routes: [benchRoute], limit: unlimited,
		}],
	};
}

/** Functions that start the roles, by role name. */
const roles: Readonly<Record<string, (backend: RoleReady) => Promise<RoleReady>>> = {
	backend: runBackend, direct: runDirect, routed: runRouted, 'relay-backend': runRelayBackend,
};

/** Runs one role in this process and answers each message with the processor time that the process has used, in microseconds. */
export async function runRole(name: string, backend: string): Promise<void> {
	const ready = await roles[name]!(roleReadySchema.parse(JSON.parse(backend)));
	process.send!({ready});
	process.on('disconnect', () => {
		process.exit();
	});
	process.on('message', () => {
		const {user, system} = process.cpuUsage();
		process.send!({cpuMicros: user + system});
	});
}
