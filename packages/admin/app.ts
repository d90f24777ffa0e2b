/** The express application that operators and the balancer talk to. */
import express, {
	type Express, type NextFunction, type Request, type Response,
} from 'express';
import * as z from 'zod';
import {isOperator} from './_operators.ts';
import {acceptPublication, maxPublishBytes} from './_publish.ts';
import {sendAdminRefusal} from './_send.ts';
import {showConfiguration} from './_show-configuration.ts';
import type {AdminRefusalReason} from './refusals.ts';
import {explainIssues, type ConfigurationStore} from '#configuration';
import {toMessage, type RefusalReason, type Result} from '#core';
import type {ObjectStore} from '#object-store';
import type {Telemetry} from '#telemetry';

/** A request whose placement is asked for. */
export type ExplainQuery = Readonly<z.infer<typeof explainSchema>>;

/** What the administration API shows. */
export type AdminDeps = Readonly<{
	name: string;
	zone: string;
	telemetry: Telemetry;
	configuration: ConfigurationStore;
	/** Where publications are committed. */
	platform: ObjectStore;
	/** SHA-256 digests of the operators' tokens. */
	operatorTokenDigests: readonly string[];
	countRunning: () => number;
	/** Says where a request would be sent and why; the answer is sent as JSON. */
	explain: (query: ExplainQuery) => Result<unknown, RefusalReason>;
	/** Further fields of the status. Default: none. */
	readStatus?: () => Readonly<Record<string, unknown>>;
	/** Whether the balancer should send requests. Default: once there is a configuration. */
	isReady?: () => boolean;
}>;

const maxMessages = 4096;
const maxNameLength = 200;
const explainSchema = z.strictObject({
	customer: z.string().min(1).max(maxNameLength),
	route: z.string().min(1).max(maxNameLength),
	messages: z.array(z.strictObject({role: z.string().min(1).max(64), content: z.string()})).max(maxMessages).default([]),
});

/** Creates the application; it listens nowhere yet. */
export function createAdminApp(deps: AdminDeps): Express {
	const {telemetry, configuration} = deps;
	const app = express();
	app.disable('x-powered-by');
	addOpenPaths(app, deps);
	app.use((req, res, next) => {
		const reason = findDenial(req, deps.operatorTokenDigests);
		if (reason) {
			sendAdminRefusal(res, telemetry, {reason});
			return;
		}

		next();
	});
	app.use(express.json({limit: maxPublishBytes, strict: true}));
	app.get('/status', (_req, res) => {
		res.json({
			name: deps.name, zone: deps.zone, generation: configuration.current?.generation ?? 0, running: deps.countRunning(),
			...deps.readStatus?.(),
		});
	});
	app.get('/configuration', (_req, res) => {
		if (!configuration.current) {
			sendAdminRefusal(res, telemetry, {reason: 'admin_not_configured'});
			return;
		}

		res.json(showConfiguration(configuration.current));
	});
	app.post('/configuration', async (req, res) => {
		const accepted = await acceptPublication(deps.platform, req.body);
		if (!accepted.ok) {
			sendAdminRefusal(res, telemetry, accepted.error);
			return;
		}

		telemetry.log('configuration published', {generation: accepted.value.generation, services: accepted.value.services});
		res.json(accepted.value);
	});
	app.post('/explain', (req, res) => {
		sendExplanation(deps, req, res);
	});
	app.use((req, res) => {
		sendAdminRefusal(res, telemetry, {reason: 'admin_unknown_path', detail: `${req.method} ${req.path}`});
	});
	app.use((error: unknown, _req: Request, res: Response, _next: NextFunction) => {
		const isTooLarge = error instanceof Error && 'type' in error && error.type === 'entity.too.large';
		sendAdminRefusal(res, telemetry, {reason: isTooLarge ? 'admin_body_too_large' : 'admin_bad_request', detail: toMessage(error)});
	});
	return app;
}

/** What the balancer and the collector of metrics read without a token. */
function addOpenPaths(app: Express, deps: AdminDeps): void {
	app.get('/healthz', (_req, res) => {
		res.json({status: 'ok'});
	});
	app.get('/readyz', (_req, res) => {
		const ready = deps.isReady?.() ?? deps.configuration.current !== undefined;
		res.status(ready ? 200 : 503).json({ready});
	});
	app.get('/metrics', async (_req, res) => {
		res.type('text/plain').send(await deps.telemetry.render());
	});
}

function findDenial(req: Request, digests: readonly string[]): AdminRefusalReason | undefined {
	if (digests.length === 0) {
		return 'admin_no_operators';
	}

	return isOperator(req.get('authorization'), digests) ? undefined : 'admin_unauthenticated';
}

function sendExplanation(deps: AdminDeps, req: Request, res: Response): void {
	const query = explainSchema.safeParse(req.body);
	if (!query.success) {
		sendAdminRefusal(res, deps.telemetry, {reason: 'admin_bad_request', extra: {faults: explainIssues(explainSchema, query.error)}});
		return;
	}

	const explained = deps.explain(query.data);
	if (explained.ok) {
		res.json(explained.value);
		return;
	}

	sendAdminRefusal(res, deps.telemetry, {reason: 'admin_explain_refused', detail: explained.error, extra: {refusal: explained.error}});
}
