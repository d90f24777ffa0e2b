/** The express application that operators and the balancer talk to. */
import express, {type Express} from 'express';
import type {ConfigurationStore} from '#configuration';
import type {Telemetry} from '#telemetry';

/** What the administration API shows. */
export type AdminDeps = Readonly<{
	name: string;
	zone: string;
	telemetry: Telemetry;
	configuration: ConfigurationStore;
	countRunning: () => number;
}>;

/** Creates the application; it listens nowhere yet. */
export function createAdminApp(deps: AdminDeps): Express {
	const app = express();
	app.disable('x-powered-by');
	app.get('/healthz', (_req, res) => {
		res.json({status: 'ok'});
	});
	app.get('/readyz', (_req, res) => {
		const ready = deps.configuration.current !== undefined;
		res.status(ready ? 200 : 503).json({ready});
	});
	app.get('/status', (_req, res) => {
		const generation = deps.configuration.current?.generation ?? 0;
		res.json({
			name: deps.name, zone: deps.zone, generation, running: deps.countRunning(),
		});
	});
	app.get('/metrics', async (_req, res) => {
		res.type('text/plain').send(await deps.telemetry.render());
	});
	return app;
}
