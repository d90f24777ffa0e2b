/** Starts a relay on a manual clock, with targets that follow scripts and a caller that records what it is sent. */
import {Buffer} from 'node:buffer';
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {Test} from 'tap';
import type {RelayCaller} from '../caller.ts';
import type {TargetDialect} from '../dialect.ts';
import {findHeader} from '../exchange.ts';
import {CachedParts} from '../cached-parts.ts';
import {OpenRequests} from '../open-requests.ts';
import {Relay} from '../relay.ts';
import {StreamOrigins} from '../stream-origins.ts';
import {PeerPaths} from '../peer-paths.ts';
import {TargetReach} from '../target-reach.ts';
import {TargetSet} from '../target-set.ts';
import {PublishedWeights} from '../published-weights.ts';
import {limitedCustomers} from './limited-customers.ts';
import {HeldBodies} from '#admission';
import {ManualClock, SuspensionMonitor, type Clock} from '#clock';
import {
	createRandom, prepareHash, type Prompt, type Refusal, type RelayConfiguration, type RelayPool, type RelayRequest, type RelayRoute,
} from '#core';
import {RetryBudget} from '#dispatch';
import {createNoopBus} from '#peer-protocol';
import {PartQuarantine, Quarantine} from '#quarantine';
import {startRawTarget, type RawScript, type RawTarget} from '#standins';
import {createTelemetry} from '#telemetry';

/** Names of the headers of answers that reach the caller. */
export const forwardedNames: ReadonlySet<string> = new Set(['x-signed', 'content-type', 'content-encoding']);

/** A minimal dialect for these tests. */
const dialect: TargetDialect = {
	encodeHead: (request, parameters) => [
		...request.headers,
		'x-id',
		request.id,
		'x-left',
		String(Math.floor(parameters.remainingMs)),
		...(parameters.lastEventId === undefined ? [] : ['x-after', parameters.lastEventId]),
		...(parameters.urgency === undefined ? [] : ['x-urgency', String(parameters.urgency)]),
	],
	decodeHead: ({status, headers}) => ({
		status, headers: headers.filter((_line, index) => forwardedNames.has(headers[index - (index % 2)]!.toLowerCase())),
		requestId: findHeader(headers, 'x-id'), isSigned: findHeader(headers, 'x-signed') !== undefined,
		hasNotRun: findHeader(headers, 'x-not-run') !== undefined, isMisdirected: status === 421, targetId: findHeader(headers, 'x-target'),
		load: undefined, weights: undefined, statement: {},
	}),
};

const telemetry = createTelemetry({level: 'silent'});
export const pool: RelayPool = {name: 'p', healthPath: '/health', maxConnections: 10};
const enginePool: RelayPool = {
	...pool, engine: {
		slots: 64, cacheTokens: 100_000, bytesPerToken: 1000, linkMbps: 1_000_000, models: ['m'],
	},
};
export const safeRoute: RelayRoute = {
	name: 'r', host: 'h', pathPrefix: '/', pools: [{pool: 'p', weight: 1}], isStream: false, retryPolicy: 'any', maxTargets: 2,
	timeoutMs: 800, promisedMs: 100, promisedGapMs: 0, priority: 2, isPublic: true,
};
export const onceRoute: RelayRoute = {...safeRoute, retryPolicy: 'once', maxTargets: 1};
export const streamRoute: RelayRoute = {
	...safeRoute, isStream: true, retryPolicy: 'resume', timeoutMs: 3000, promisedMs: 500, promisedGapMs: 400,
};

export const ok = 'HTTP/1.1 200 OK\r\nx-signed: s1\r\ncontent-length: 2\r\n\r\nok';
export const failed = 'HTTP/1.1 500 Oh\r\nx-signed: s2\r\ncontent-length: 2\r\n\r\nno';
export const notRun = 'HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n';
export const streamHead = 'HTTP/1.1 200 OK\r\nx-signed: s3\r\ntransfer-encoding: chunked\r\n\r\n';

export function formatChunk(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

export function formatEvent(id: number): string {
	return formatChunk(`id: ${id}\ndata: e${id}\n\n`);
}

/** A caller that records what it is sent. */
class RecordingCaller implements RelayCaller {
	text = '';
	readonly records: string[] = [];
	refusal: Refusal | undefined;
	#hasLeft = false;
	readonly #handlers = new Set<() => void>();

	leave(): void {
		this.#hasLeft = true;
		for (const handler of this.#handlers) {
			handler();
		}
	}

	hasLeft(): boolean {
		return this.#hasLeft;
	}

	subscribeLeave(handler: () => void) {
		this.#handlers.add(handler);
		return () => {
			this.#handlers.delete(handler);
		};
	}

	sendHead(status: number, headers: readonly string[]): void {
		this.records.push(`${status} ${headers[1] ?? ''}`);
	}

	write(bytes: Uint8Array): boolean {
		this.text += Buffer.from(bytes).toString();
		return true;
	}

	async waitForDrain(): Promise<void> {
		// The buffer never fills.
	}

	finish(): void {
		this.records.push('end');
	}

	abort(): void {
		this.records.push('aborted');
	}

	refuse(refusal: Refusal): void {
		this.refusal = refusal;
		this.records.push(`refused ${refusal.status} ${refusal.reason} ${refusal.ran}`);
	}
}

/** Creates room for request bodies; by default, for all that a test sends. */
export function createHeldBodies(clock: Clock, maxBytes = 1_000_000_000): HeldBodies {
	return new HeldBodies({clock, random: createRandom(6), telemetry}, {maxBytes});
}

export async function startRelay(t: Pick<Test, 'teardown' | 'ok'>, ...scripts: readonly RawScript[]) {
	await prepareHash();
	const clock = new ManualClock();
	let configuration: Pick<RelayConfiguration, 'customers' | 'routes'> = {customers: limitedCustomers, routes: []};
	const raw: RawTarget[] = [];
	for (const script of scripts) {
		raw.push(await startRawTarget(script));
	}

	const targets = new TargetSet(clock, {connectTimeoutMs: 1000, idleTimeoutMs: 30_000});
	targets.update(raw.map(({address}, index) => ({
		id: `t${index}`, incarnation: `t${index}@1`, startedWallMs: 0, pool: 'p', address, zone: 'z', slots: 4, isDraining: false, softwareVersion: 'v1', weights: new Map(),
	})));
	const mismatches: string[] = [];
	/** Targets to which this instance cannot connect. */
	const unreachable = new Set<string>();
	const alive = new Set(raw.map((_target, index) => `t${index}`));
	/** Called during each probe of a target. */
	let onProbe: () => unknown = () => undefined;
	/** Checks whether this instance reaches a target. */
	let checkReach = async (id: string) => !unreachable.has(id);
	const quarantine = new Quarantine({
		clock, random: createRandom(1), telemetry, bus: createNoopBus(),
	}, {strikeLimit: 3});
	const partStrikes = new Quarantine({
		clock, random: createRandom(3), telemetry, bus: createNoopBus(),
	}, {namespace: 'part', strikeLimit: 3});
	const partQuarantine = new PartQuarantine({
		clock, telemetry, strikes: partStrikes, getRank: () => 0,
	});
	const bus = createNoopBus();
	const targetReach = new TargetReach({
		clock, random: createRandom(4), telemetry, targets, getPool: () => pool, checkReach: async ({id}) => checkReach(id),
	});
	const budget = new RetryBudget(clock, {ratio: 0, slack: 8});
	const openRequests = new OpenRequests();
	/** Called with each head of an answer before it is decoded. */
	let onHead: () => void = () => undefined;
	const relay = new Relay({
		bus, targetReach, openRequests, listSharers: () => [], peerPaths: new PeerPaths({
			bus, clock, random: createRandom(5), zone: 'z',
		}),
		clock, random: createRandom(2), telemetry, targets, dialect: {
			...dialect, decodeHead(head) {
				onHead();
				return dialect.decodeHead(head);
			},
		}, budget, quarantine, partQuarantine, cachedParts: new CachedParts(), listKvCacheStores: () => [],
		streamOrigins: new StreamOrigins(clock), publishedWeights: new PublishedWeights({clock, suspensions: new SuspensionMonitor(clock)}),
		maxStaleWeightsMs: 8000, zone: 'z', countInstances: () => 2, getConfiguration: () => configuration, getLimitSharing: () => ({instances: 2, rank: 0}), async probe({id}) {
			await onProbe();
			return alive.has(id);
		},
		handleMismatch(state, mismatch) {
			mismatches.push(`${state.target.id} ${mismatch}`);
		},
	});
	t.teardown(async () => {
		quarantine.close();
		partStrikes.close();
		targets.close();
		await Promise.all(raw.map(async target => target.close()));
	});

	/** Starts a request whose first attempt goes to the target with index `first`. */
	const startRequest = (route: RelayRoute, first = 0, id = 'a', {prompt, method = 'POST', lastEventId}: Readonly<{prompt?: Prompt; method?: 'GET' | 'POST' | 'HEAD'; lastEventId?: string}> = {}) => {
		const caller = new RecordingCaller();
		for (const [index, state] of targets.list().entries()) {
			for (let measurement = 0; measurement < 40; measurement++) {
				state.speed.recordServiceTime(index === first ? 1 : 30, clock.now());
			}
		}

		const request: RelayRequest = {
			id, method, path: '/x', headers: ['x-own', '1'], body: method === 'POST' ? Buffer.from('body') : undefined, route, customer: undefined, prompt,
			cacheScope: undefined, lastEventId, resumedRequestId: undefined, softwareVersion: undefined, configurationVersion: 1,
			arrivedMs: clock.now(), deadlineMs: clock.now() + route.timeoutMs,
		};
		let isDone = false;
		const done = relay.run(request, prompt ? enginePool : pool, caller).then(() => {
			isDone = true;
		});
		return {caller, done, isDone: () => isDone};
	};

	/** Advances the clock in small steps until a condition holds, and runs turns of the event loop in between. */
	const waitUntil = async (condition: () => boolean, limitMs = 20_000) => {
		for (let step = 0; step < limitMs / 10 && !condition(); step++) {
			for (let turn = 0; turn < 20 && !condition(); turn++) {
				await nextTurn();
			}

			if (!condition()) {
				await clock.advance(10);
			}
		}

		t.ok(condition(), 'the awaited condition holds');
	};

	return {
		clock, relay, raw, targets, telemetry, openRequests, quarantine, budget, alive, unreachable, startRequest, waitUntil, mismatches,
		setConfiguration(next: typeof configuration) {
			configuration = next;
		},
		handleHead(handler: () => void) {
			onHead = handler;
		},
		handleProbe(handler: () => unknown) {
			onProbe = handler;
		},
		handleCheck(handler: (id: string) => Promise<boolean>) {
			checkReach = handler;
		},
	};
}

/** Runs one request to its end. */
export async function runRequest(t: Test, route: RelayRoute, ...scripts: readonly RawScript[]) {
	const setup = await startRelay(t, ...scripts);
	const {caller, isDone} = setup.startRequest(route);
	await setup.waitUntil(isDone);
	return {...setup, caller, counts: setup.raw.map(({requests}) => requests.length)};
}

export const sendText = (text: string): RawScript => (_request, reply) => {
	reply.write(text);
};

export const sendTextAndClose = (text: string): RawScript => (_request, reply) => {
	reply.write(text);
	reply.close();
};

export const reset: RawScript = (_request, reply) => {
	reply.reset();
};

export const silent: RawScript = () => undefined;
