/** The settings of one instance: a JSON file, checked. */
import {z} from 'zod';
import {
	fail, succeed, toMessage, type Result,
} from '#core';

const listenSchema = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/v, 'must be an IPv4 number and a port, such as 127.0.0.1:8080');

const peersSchema = z.strictObject({
	/** Address for the other instances; port 0 takes a free one. */
	listen: listenSchema,
	/** Address by which the other instances reach this one. Default: the one that it listens on. */
	advertise: listenSchema.optional(),
	/** Secret that all instances of the deployment share; it authenticates them to each other. */
	secret: z.string().min(16, 'must have at least 16 characters'),
	/** Addresses of other instances to begin with; the platform's list and the peers name the rest. */
	seeds: z.array(listenSchema).max(64).default([]),
});

/** Schema of the settings file. */
export const settingsSchema = z.strictObject({
	$schema: z.string().optional(),
	/** Name of this instance, unique in the deployment. */
	name: z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v, 'must be 1 to 63 lower-case letters, digits or hyphens'),
	/** Availability zone of this instance. */
	zone: z.string().min(1),
	/** Address for callers. */
	listen: listenSchema,
	/** Address for operators: health, status, metrics, publishing. */
	adminListen: listenSchema,
	/** Origin of the platform's object API. */
	platformOrigin: z.url(),
	/** Token for the platform. */
	platformToken: z.string().optional(),
	/** Largest request body, in bytes. */
	maxBodyBytes: z.number().int().min(1024).max(67_108_864).default(4_194_304),
	/** Time between polls of a target's load report, in milliseconds. */
	reportPollMs: z.number().int().min(10).default(250),
	/** The other instances. Without it, this one is alone. */
	peers: peersSchema.optional(),
	logLevel: z.enum(['silent', 'info', 'warn', 'error']).default('info'),
});

/** Settings of one instance. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;

/** A fault of a settings file. */
export type SettingsFault = Readonly<{field: string; message: string}>;

/** Checks the text of a settings file. */
export function parseSettings(text: string): Result<Settings, readonly SettingsFault[]> {
	let json: unknown;
	try {
		json = JSON.parse(text);
	} catch (error) {
		return fail([{field: '', message: `is not JSON: ${toMessage(error)}`}]);
	}

	const parsed = settingsSchema.safeParse(json);
	return parsed.success
		? succeed(parsed.data)
		: fail(parsed.error.issues.map(issue => ({field: issue.path.join('.'), message: issue.message})));
}
