/** The schema of a service file: the JSON file that is kept with a service's code. */
import {isIPv4} from 'node:net';
import * as z from 'zod';

const nameSchema = z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v, 'must be 1 to 63 lower-case letters, digits or hyphens, starting with a letter');
/** Schema of an IPv4 address and port to which an instance can connect. */
export const addressSchema = z.string()
	.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/v, 'must be an IPv4 address and a port, such as 10.0.0.1:8000')
	.refine(address => isConnectable(address), 'is not an address to which an instance can connect; state the IPv4 address of one host and a port from 1 to 65535');

const maxPort = 65_535;

function isConnectable(address: string): boolean {
	const [host = '', port] = address.split(':');
	return isIPv4(host) && host !== '0.0.0.0' && Number(port) >= 1 && Number(port) <= maxPort;
}

const msSchema = z.number().int().positive();

const targetSchema = z.strictObject({
	name: nameSchema,
	address: addressSchema,
	zone: nameSchema.describe('Availability zone.'),
});

const poolSchema = z.strictObject({
	name: nameSchema,
	kind: z.enum(['engine', 'service']),
	model: z.string().min(1).optional().describe('Model that the engines serve.'),
	weights: z.string().min(1).optional().describe('Weights version that the engines should serve.'),
	pieceTokens: z.number().int().min(16).max(65_536).default(2000).describe('Size of a cache piece in tokens.'),
	checksFencing: z.boolean().default(false).describe('Whether targets refuse orders with an old fencing token.'),
	loadsAtOnce: z.number().int().min(1).default(1).describe('Weight loads that may run at once.'),
	minLoaded: z.number().int().min(0).default(1).describe('Engines that always keep the model loaded.'),
	slots: z.number().int().min(1).default(8).describe('Requests that a target runs at once without queueing.'),
	keptStore: addressSchema.optional().describe('Address of the store of kept KV cache.'),
	targets: z.array(targetSchema).min(1),
});

const callSchema = z.strictObject({
	method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
	path: z.string().startsWith('/').describe('Path pattern: `*` for one segment, a final `**` for the rest.'),
	repeatable: z.boolean(),
});

const routeSchema = z.strictObject({
	name: nameSchema,
	pool: nameSchema,
	firstTokenMs: msSchema.default(1800).describe('Promised time to the first token, in milliseconds.'),
	tokenGapMs: msSchema.default(39).describe('Promised time between tokens, in milliseconds.'),
	timeoutMs: msSchema.default(60_000).describe('Longest time for a whole answer, in milliseconds.'),
	repeatable: z.boolean().default(true).describe('Whether requests may run more than once.'),
	calls: z.array(callSchema).default([]).describe('Rules for single calls of a plain service; the first match decides.'),
});

const customerSchema = z.strictObject({
	name: nameSchema,
	keyDigests: z.array(z.string().regex(/^[\da-f]{64}$/v, 'must be the SHA-256 of a key, as 64 hexadecimal digits')).min(1),
	routes: z.array(nameSchema).min(1),
	limit: z.strictObject({
		requestsPerSecond: z.number().positive(),
		burst: z.number().int().min(1).default(10),
		concurrent: z.number().int().min(1).default(64),
	}),
	weight: z.number().positive().default(1).describe('Share under overload, relative to other customers.'),
	priority: z.number().int().min(0).max(9).default(5).describe('Priority that engines are told; larger goes first.'),
});

/** Schema of a service file: one service's routes, target pools and customers. */
export const serviceFileSchema = z.strictObject({
	$schema: z.string().optional(),
	service: nameSchema,
	routes: z.array(routeSchema).default([]),
	pools: z.array(poolSchema).default([]),
	customers: z.array(customerSchema).default([]),
});

/** A service file that matches {@link serviceFileSchema}, with defaults filled in. */
export type ServiceFile = z.infer<typeof serviceFileSchema>;
