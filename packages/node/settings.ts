/** The settings of one instance: a JSON file, checked. */
import {isIPv4} from 'node:net';
import * as z from 'zod';
import {explainIssues, writeSuggestion, type FieldFault} from '#configuration';
import {
	fail, succeed, toMessage, type Result,
} from '#core';

const listenSchema = z.string()
	.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/v, 'must be an IPv4 number and a port, such as 127.0.0.1:8080')
	.refine(address => isIPv4(address.split(':')[0]!) && Number(address.split(':')[1]) <= maxPort, 'has no valid IPv4 number or port');
const maxPort = 65_535;
const digestSchema = z.string().regex(/^[\da-f]{64}$/v, 'must be the SHA-256 of a token, as 64 hexadecimal digits; `apricotdoor digest` makes one');

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

const stopSchema = z.strictObject({
	/** Time after which the balancer has surely turned away from an instance that is not ready, in milliseconds. */
	balancerMs: z.number().int().min(0).max(600_000).default(15_000),
	/** Longest time for which running requests are waited for, in milliseconds. */
	drainMs: z.number().int().min(0).max(86_400_000).default(4_500_000),
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
	/** Calls per second that the platform takes from all instances together. Default: 300 writes and 2000 reads. */
	platformRates: z.strictObject({
		writesPerSecond: z.number().min(1),
		/** A waiting watch counts as one. */
		readsPerSecond: z.number().min(1),
	}).optional(),
	/** Instances that share the platform's rates until the live ones are known. Default: 8. */
	expectedInstances: z.number().int().min(1).optional(),
	/** Largest request body, in bytes. */
	maxBodyBytes: z.number().int().min(1024).max(67_108_864).default(4_194_304),
	/** Time between polls of a target's load report, in milliseconds. */
	reportPollMs: z.number().int().min(10).default(250),
	/** The other instances. Without it, this one is alone. */
	peers: peersSchema.optional(),
	/** SHA-256 digests of the operators' bearer tokens. Without one, the administration API shows health and metrics only. */
	operatorTokenDigests: z.array(digestSchema).max(64).default([]),
	/** Bounds of a planned stop. Default: those of its fields. */
	stop: stopSchema.optional(),
	logLevel: z.enum(['silent', 'info', 'warn', 'error']).default('info'),
});

/** Settings of one instance. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;

/** A variable prefix: `APRICOTDOOR_MAX_BODY_BYTES` replaces `maxBodyBytes` of the file. */
export const environmentPrefix = 'APRICOTDOOR_';

/** Bounds of a planned stop where the settings name none. */
export const defaultStop = stopSchema.parse({});

/** Variables with the prefix that are read by other verbs than `serve`. */
const otherVariables = new Set(['APRICOTDOOR_ADMIN_TOKEN']);

/** Environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;

/**
 * Checks the text of a settings file, after environment variables have replaced
 * its values. A variable's value is JSON where the setting is no text.
 *
 * @param environment variables that override the file. Default: none
 * @returns the settings, or each fault by field or variable with its mend
 */
export function parseSettings(text: string, environment: Environment = {}): Result<Settings, readonly FieldFault[]> {
	let json: unknown;
	try {
		json = JSON.parse(text);
	} catch (error) {
		return fail([{field: '', message: `is not JSON: ${toMessage(error)}; correct it there`}]);
	}

	if (typeof json !== 'object' || json === null || Array.isArray(json)) {
		return fail([{field: '', message: 'must be a JSON object'}]);
	}

	const {values, faults} = readEnvironment(environment);
	const parsed = settingsSchema.safeParse({...json, ...values});
	const all = [...faults, ...(parsed.success ? [] : explainIssues(settingsSchema, parsed.error))];
	return parsed.success && all.length === 0 ? succeed(parsed.data) : fail(all);
}

/** Name of the variable that overrides a setting. */
export function makeVariableName(key: string): string {
	return environmentPrefix + key.replaceAll(/[A-Z]/gv, letter => `_${letter}`).toUpperCase();
}

type Overrides = Readonly<{values: Readonly<Record<string, unknown>>; faults: readonly FieldFault[]}>;

function readEnvironment(environment: Environment): Overrides {
	const keys = new Map(Object.keys(settingsSchema.shape).filter(key => key !== '$schema').map(key => [makeVariableName(key), key]));
	const values: Record<string, unknown> = {};
	const faults: FieldFault[] = [];
	for (const [variable, value] of Object.entries(environment)) {
		if (value === undefined || !variable.startsWith(environmentPrefix) || otherVariables.has(variable)) {
			continue;
		}

		const key = keys.get(variable);
		if (key === undefined) {
			faults.push({field: variable, message: `unknown variable; ${writeSuggestion(variable, keys.keys())}`});
		} else {
			values[key] = readValue(key, value);
		}
	}

	return {values, faults};
}

/** Reads a value as text where the setting accepts that, else as JSON. */
function readValue(key: string, value: string): unknown {
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

/** Generates the published JSON Schema of settings files. */
export function makeSettingsSchema(): string {
	const schema = z.toJSONSchema(settingsSchema, {io: 'input'});
	return `${JSON.stringify({title: 'Settings of an instance of apricotdoor', ...schema}, undefined, '\t')}\n`;
}
