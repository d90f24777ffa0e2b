/** The Express application that serves operators, the load balancer and the metrics collector. */
import express, {
	type Express, type NextFunction, type Request, type Response,
} from 'express';
import * as z from 'zod';
import {hasOperatorToken} from './_operator-token.ts';
import {handlePublication, maxPublishBytes} from './_publish.ts';
import {sendAdminRefusal} from './_send-admin-refusal.ts';
import {redactConfiguration} from './_redact-configuration.ts';
import type {AdminRefusalReason} from './refusals.ts';
import {explainIssues, type ConfigurationStore} from '#configuration';
import {getErrorMessage, type RefusalReason, type Result} from '#core';
import type {ObjectStore} from '#object-store';
import type {Telemetry} from '#telemetry';

/** A request whose placement is to be explained. */
export type ExplainQuery = Readonly<z.infer<typeof explainSchema>>;

/** The parts of an instance that the administration API uses. */
export type AdminDependencies = Readonly<{
	name: string;
	zone: string;
	telemetry: Telemetry;
	configuration: ConfigurationStore;
	/** Store to which published configuration is committed. */
	platform: ObjectStore;
	/** SHA-256 digests of the operators' tokens. */
	operatorTokenDigests: readonly string[];
	/** Counts the requests that the instance is running. */
	countRunning: () => number;
	/** Explains to which target a request would be sent and why; the result is sent as JSON. */
	explain: (query: ExplainQuery) => Result<unknown, RefusalReason>;
	/** Additional fields of the status. Default: none. */
	getExtraStatus?: () => Readonly<Record<string, unknown>>;
	/** Whether the load balancer should send requests to this instance. Default: once the instance has a configuration. */
	isReady?: () => boolean;
}>;

const maxMessages = 4096;
const maxNameLength = 200;
const explainSchema = z.strictObject({
	customer: z.string().min(1).max(maxNameLength),
	route: z.string().min(1).max(maxNameLength),
	messages: z.array(z.strictObject({role: z.string().min(1).max(64), content: z.string()})).max(maxMessages).default([]),
});

/** Creates the application without listening on an address. */
export function createAdminApp(dependencies: AdminDependencies): Express {
	const {telemetry, configuration} = dependencies;
	const app = express();
	app.disable('x-powered-by');
	addPublicPaths(app, dependencies);
	app.use((req, res, next) => {
		const reason = findAuthorizationRefusal(req, dependencies.operatorTokenDigests);
		if (reason) {
			sendAdminRefusal(res, telemetry, {reason});
			return;
		}

		next();
	});
	// The body is parsed only after the token was checked.
	app.use(express.json({limit: maxPublishBytes, strict: true}));
	app.get('/status', (_req, res) => {
		res.json({
			name: dependencies.name, zone: dependencies.zone, generation: configuration.current?.generation ?? 0, running: dependencies.countRunning(),
			...dependencies.getExtraStatus?.(),
		});
	});
	app.get('/configuration', (_req, res) => {
		if (!configuration.current) {
			sendAdminRefusal(res, telemetry, {reason: 'admin_not_configured'});
			return;
		}

		res.json(redactConfiguration(configuration.current));
	});
	app.post('/configuration', async (req, res) => {
		const published = await handlePublication(dependencies.platform, req.body);
		if (!published.ok) {
			sendAdminRefusal(res, telemetry, published.error);
			return;
		}

		telemetry.log('configuration published', {generation: published.value.generation, services: published.value.services});
		res.json(published.value);
	});
	app.post('/explain', (req, res) => {
		sendExplanation(dependencies, req, res);
	});
	app.use((req, res) => {
		sendAdminRefusal(res, telemetry, {reason: 'admin_unknown_path', detail: `${req.method} ${req.path}`});
	});
	app.use((error: unknown, _req: Request, res: Response, _next: NextFunction) => {
		const isTooLarge = error instanceof Error && 'type' in error && error.type === 'entity.too.large';
		sendAdminRefusal(res, telemetry, {reason: isTooLarge ? 'admin_body_too_large' : 'admin_bad_request', detail: getErrorMessage(error)});
	});
	return app;
}

/** Adds the paths that the load balancer and the metrics collector read without a token. */
function addPublicPaths(app: Express, dependencies: AdminDependencies): void {
	app.get('/healthz', (_req, res) => {
		res.json({status: 'ok'});
	});
	app.get('/readyz', (_req, res) => {
		const isReady = dependencies.isReady?.() ?? dependencies.configuration.current !== undefined;
		res.status(isReady ? 200 : 503).json({ready: isReady});
	});
	app.get('/metrics', async (_req, res) => {
		res.type('text/plain').send(await dependencies.telemetry.render());
	});
}

function findAuthorizationRefusal(req: Request, digests: readonly string[]): AdminRefusalReason | undefined {
	if (digests.length === 0) {
		return 'admin_no_operators';
	}

	return hasOperatorToken(req.get('authorization'), digests) ? undefined : 'admin_unauthenticated';
}

function sendExplanation(dependencies: AdminDependencies, req: Request, res: Response): void {
	const query = explainSchema.safeParse(req.body);
	if (!query.success) {
		sendAdminRefusal(res, dependencies.telemetry, {reason: 'admin_bad_request', extra: {faults: explainIssues(explainSchema, query.error)}});
		return;
	}

	const explanation = dependencies.explain(query.data);
	if (explanation.ok) {
		res.json(explanation.value);
		return;
	}

	sendAdminRefusal(res, dependencies.telemetry, {reason: 'admin_explain_refused', detail: explanation.error, extra: {refusal: explanation.error}});
}
