/** Schema and parser of an instance's settings: a JSON file, with overrides from environment variables. */
import {isIPv4} from 'node:net';
import * as z from 'zod';
import {explainIssues, formatSuggestion, type FieldFault} from '#configuration';
import {
	fail, succeed, getErrorMessage, type Result,
} from '#core';

const listenSchema = z.string()
	.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/v, 'must be an IPv4 address and a port, such as 127.0.0.1:8080')
	.refine(address => isIPv4(address.split(':')[0]!) && Number(address.split(':')[1]) <= maxPort, 'has an invalid IPv4 address or port');
const maxPort = 65_535;
const digestSchema = z.string().regex(/^[\da-f]{64}$/v, 'must be the SHA-256 of a token, as 64 hexadecimal digits; `apricotdoor digest` computes one');

const peersSchema = z.strictObject({
	/** Address on which to listen for other instances; port 0 means any free port. */
	listen: listenSchema,
	/** Address at which other instances reach this one. Default: the listening address. */
	advertise: listenSchema.optional(),
	/** Shared secret by which the instances of a deployment authenticate each other. */
	secret: z.string().min(16, 'must have at least 16 characters'),
	/** Addresses of other instances to connect to first; further instances are learned from the platform's list and from peers. */
	seeds: z.array(listenSchema).max(64).default([]),
});

const stopSchema = z.strictObject({
	/** Maximum time until the load balancer sends no more requests to an instance that is not ready, in milliseconds. */
	balancerMs: z.number().int().min(0).max(600_000).default(15_000),
	/** Maximum time to wait for running requests, in milliseconds. */
	drainMs: z.number().int().min(0).max(86_400_000).default(4_500_000),
});

/** Schema of the settings file. */
export const settingsSchema = z.strictObject({
	$schema: z.string().optional(),
	/** Name of this instance, unique in the deployment. */
	name: z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v, 'must be 1 to 63 lower-case letters, digits or hyphens'),
	/** Availability zone of this instance. */
	zone: z.string().min(1),
	/** Address on which to listen for callers. */
	listen: listenSchema,
	/** Address on which to listen for operators: health, status, metrics and publishing. */
	adminListen: listenSchema,
	/** Origin of the platform's object API. */
	platformOrigin: z.url(),
	/** Token that authenticates this instance to the platform. */
	platformToken: z.string().optional(),
	/** Calls per second that the platform accepts from all instances together. Default: 300 writes and 2000 reads. */
	platformRates: z.strictObject({
		writesPerSecond: z.number().min(1),
		/** A pending watch counts as one read. */
		readsPerSecond: z.number().min(1),
	}).optional(),
	/** Number of instances that share the platform's rates, assumed until the live instances are known. Default: 8. */
	expectedInstances: z.number().int().min(1).optional(),
	/** Maximum size of a request body, in bytes. */
	maxBodyBytes: z.number().int().min(1024).max(67_108_864).default(4_194_304),
	/** Time between polls of a target's load report, in milliseconds. */
	reportPollMs: z.number().int().min(10).default(250),
	/** Connections to other instances. Without it, the instance runs alone. */
	peers: peersSchema.optional(),
	/** SHA-256 digests of the operators' bearer tokens. Without any, the administration API serves only health and metrics. */
	operatorTokenDigests: z.array(digestSchema).max(64).default([]),
	/** Time limits of a graceful shutdown. Default: those of its fields. */
	stop: stopSchema.optional(),
	logLevel: z.enum(['silent', 'info', 'warn', 'error']).default('info'),
});

/** Settings of one instance. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;

/** Prefix of the environment variables that override settings: `APRICOTDOOR_MAX_BODY_BYTES` replaces `maxBodyBytes` of the file. */
export const environmentPrefix = 'APRICOTDOOR_';

/** Time limits of a graceful shutdown if the settings have none. */
export const defaultStop = stopSchema.parse({});

/** Variables with the prefix that only commands other than `serve` read. */
const otherCommandVariables = new Set(['APRICOTDOOR_ADMIN_TOKEN']);

/** Environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;

/**
 * Parses and checks a settings file whose values environment variables may
 * override. The value of a variable is JSON if the setting is not a string.
 *
 * @param environment variables that override the file. Default: none
 * @returns the settings, or the faults by field or variable; each message says how to correct it
 */
export function parseSettings(text: string, environment: Environment = {}): Result<Settings, readonly FieldFault[]> {
	let json: unknown;
	try {
		json = JSON.parse(text);
	} catch (error) {
		return fail([{field: '', message: `is not JSON: ${getErrorMessage(error)}; correct the syntax`}]);
	}

	if (typeof json !== 'object' || json === null || Array.isArray(json)) {
		return fail([{field: '', message: 'must be a JSON object'}]);
	}

	const {values, faults} = readEnvironment(environment);
	const parsed = settingsSchema.safeParse({...json, ...values});
	const allFaults = [...faults, ...(parsed.success ? [] : explainIssues(settingsSchema, parsed.error))];
	return parsed.success && allFaults.length === 0 ? succeed(parsed.data) : fail(allFaults);
}

/** Formats the name of the environment variable that overrides a setting. */
export function formatVariableName(key: string): string {
	return environmentPrefix + key.replaceAll(/[A-Z]/gv, letter => `_${letter}`).toUpperCase();
}

type Overrides = Readonly<{values: Readonly<Record<string, unknown>>; faults: readonly FieldFault[]}>;

function readEnvironment(environment: Environment): Overrides {
	const keys = new Map(Object.keys(settingsSchema.shape).filter(key => key !== '$schema').map(key => [formatVariableName(key), key]));
	const values: Record<string, unknown> = {};
	const faults: FieldFault[] = [];
	for (const [variable, value] of Object.entries(environment)) {
		if (value === undefined || !variable.startsWith(environmentPrefix) || otherCommandVariables.has(variable)) {
			continue;
		}

		const key = keys.get(variable);
		if (key === undefined) {
			faults.push({field: variable, message: `unknown variable; ${formatSuggestion(variable, keys.keys())}`});
		} else {
			values[key] = parseValue(key, value);
		}
	}

	return {values, faults};
}

/** Parses a variable's value: a string if the setting accepts it as such, else JSON. */
function parseValue(key: string, value: string): unknown {
	const schema: z.ZodType = settingsSchema.shape[key as keyof typeof settingsSchema.shape]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the key comes from the shape
	if (schema.safeParse(value).success) {
		return value;
	}

	try {
		return JSON.parse(value) as unknown;
	} catch {
		return value;
	}
}

/** Creates the text of the published JSON Schema of settings files. */
export function createSettingsSchema(): string {
	const schema = z.toJSONSchema(settingsSchema, {io: 'input'});
	return `${JSON.stringify({title: 'Settings of an instance of apricotdoor', ...schema}, undefined, '\t')}\n`;
}
