/** In-memory deployment of the placement bench: routers, engines and platform on one manual clock. */
import {customers} from './_placement-load.ts';
import type {Shape} from './_placement-shapes.ts';
import {digestKey} from '#admission';
import {ManualClock} from '#clock';
import {publishFragments} from '#configuration';
import {
	createRandom, type TargetCall, type TargetFrame, type TargetLink,
} from '#core';
import {createRouter, type Router} from '#node';
import type {PlacementPolicy} from '#placement';
import {EngineStandin, PeerNetworkStandin, PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

/** Creates the placement policy of one router; `undefined` selects the policy of the product. */
export type PolicyFactory = (cluster: Cluster) => PlacementPolicy | undefined;

export type ClusterOptions = Readonly<{
	shape: Shape;
	createPolicy: PolicyFactory;
	/** Whether the pool has an external store for KV cache. */
	hasCacheStore: boolean;
	seed: number;
}>;

const reportPollMs = 250;
const cacheTokens = 100_000;
const firstTokenMs = 1800;
const timeoutMs = 20_000;

/** Promised time to the first token, in milliseconds. */
export const promisedFirstTokenMs = firstTokenMs;

/** Routers, engines and platform of one run. */
export class Cluster {
	readonly clock = new ManualClock();
	readonly platform = new PlatformStandin(this.clock);
	readonly engines = new Map<string, EngineStandin>();
	/** Routers that receive new requests. */
	routers: readonly Router[] = [];
	/** Prompt tokens computed again although some engine had computed them before. */
	recomputedTokens = 0;
	readonly #computedKeys = new Set<string>();
	readonly #options: ClusterOptions;
	readonly #network = new PeerNetworkStandin(this.clock);
	#startedRouters = 0;

	constructor(options: ClusterOptions) {
		this.#options = options;
		const keptStore = options.hasCacheStore ? new Set<string>() : undefined;
		for (let index = 0; index < options.shape.engines; index++) {
			this.engines.set(`e${index}`, new EngineStandin(this.clock, {
				seed: options.seed + index, model: 'm', weights: 'v1', cacheTokens, keptStore,
				onPrefill: (keys, tokens) => {
					this.#countRecomputed(keys, tokens);
				},
			}));
		}
	}

	get shape(): Shape {
		return this.#options.shape;
	}

	/** Publishes the configuration and starts all routers. */
	async start(): Promise<void> {
		const publishing = publishFragments(this.platform, [{file: 'bench.json', text: JSON.stringify(this.#createServiceFile())}]);
		await this.clock.advance(100);
		const published = await publishing;
		if (!published.ok) {
			throw new Error(`the configuration of the placement bench was not accepted: ${JSON.stringify(published.error)}`);
		}

		this.startReplacements();
		await this.clock.advanceUntil(() => this.routers.length > 0, 5000, 10);
	}

	/** Starts replacements for all routers at once, sends new requests to them when they are configured, and stops each old router when it is idle. */
	startReplacements(): void {
		void this.#replaceRouters();
	}

	async stop(): Promise<void> {
		const stopping = Promise.all(this.routers.map(async router => router.stop()));
		await this.clock.advance(2000);
		await stopping;
	}

	async #replaceRouters(): Promise<void> {
		const oldRouters = this.routers;
		const replacements = Array.from({length: this.shape.routers}, (_, index) => this.#startRouter(index));
		while (replacements.some(router => router.configuration.current === undefined)) {
			await this.clock.sleep(10);
		}

		this.routers = replacements;
		for (const router of oldRouters) {
			void this.#stopWhenIdle(router);
		}
	}

	async #stopWhenIdle(router: Router): Promise<void> {
		while (router.countRunning() > 0) {
			await this.clock.sleep(100);
		}

		await router.stop();
	}

	#startRouter(index: number): Router {
		const {shape, createPolicy, seed} = this.#options;
		const name = `r${index}-${this.#startedRouters++}`;
		const zone = shape.zones[index % shape.zones.length]!;
		return createRouter({
			name, zone, clock: this.clock, random: createRandom(seed + this.#startedRouters), platform: this.platform, reportPollMs,
			telemetry: createTelemetry({level: 'silent'}),
			bus: this.#network.join({name, zone, incarnation: name}),
			connector: {open: (_pool, target) => this.#createLink(this.engines.get(target.name)!, target.zone === zone ? 0 : shape.zoneLatencyMs * 2)},
			choose: createPolicy(this),
		});
	}

	/** Creates a link to an engine; the whole round trip between the zones is spent before the request arrives. */
	#createLink(engine: EngineStandin, roundTripMs: number): TargetLink {
		const {clock} = this;
		return {
			async * run(call: TargetCall, signal: AbortSignal): AsyncGenerator<TargetFrame> {
				await clock.sleep(roundTripMs, signal);
				yield * engine.run(call, signal);
			},
			readReport: async () => engine.readReport(),
			readCacheEvents: async after => engine.readCacheEvents(after),
			sendOrder: async order => engine.sendOrder(order),
			close: async () => engine.close(),
		};
	}

	#countRecomputed(keys: readonly string[], tokens: readonly number[]): void {
		for (const [index, key] of keys.entries()) {
			if (this.#computedKeys.has(key)) {
				this.recomputedTokens += tokens[index]!;
			} else {
				this.#computedKeys.add(key);
			}
		}
	}

	#createServiceFile(): unknown {
		const {shape, hasCacheStore} = this.#options;
		return {
			service: 'bench',
			pools: [{
				name: 'language', kind: 'engine', model: 'm', weights: 'v1', ...(hasCacheStore && {keptStore: '10.0.1.1:1'}),
				targets: [...this.engines.keys()].map((name, index) => ({
					name, address: `10.0.0.${index + 1}:1`, zone: shape.zones[index % shape.zones.length],
				})),
			}],
			routes: [{
				name: 'chat', pool: 'language', firstTokenMs, timeoutMs,
			}],
			customers: customers.map(({name}) => ({
				name, keyDigests: [digestKey(name)], routes: ['chat'], limit: {requestsPerSecond: 10_000, burst: 10_000, concurrent: 10_000},
			})),
		};
	}
}
