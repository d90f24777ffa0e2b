/** A whole deployment in memory for the placement bench: routers, engines and platform on one manual clock. */
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

/** Makes the policy of one router. */
export type PolicyFactory = (cluster: Cluster) => PlacementPolicy | undefined;

/** What a cluster is made from. */
export type ClusterOptions = Readonly<{
	shape: Shape;
	makePolicy: PolicyFactory;
	/** Whether the pool has a store of kept KV cache. */
	kept: boolean;
	seed: number;
}>;

const reportPollMs = 250;
const cacheTokens = 100_000;
const firstTokenMs = 1800;
const timeoutMs = 20_000;

/** Promised time to the first token, in milliseconds. */
export const promisedFirstTokenMs = firstTokenMs;

/** The running deployment. */
export class Cluster {
	readonly clock = new ManualClock();
	readonly platform = new PlatformStandin(this.clock);
	readonly engines = new Map<string, EngineStandin>();
	/** Routers that the balancer sends to. */
	routers: readonly Router[] = [];
	/** Tokens that some engine had computed before. */
	recomputedTokens = 0;
	readonly #computed = new Set<string>();
	readonly #options: ClusterOptions;
	readonly #network = new PeerNetworkStandin(this.clock);
	#started = 0;

	constructor(options: ClusterOptions) {
		this.#options = options;
		const keptStore = options.kept ? new Set<string>() : undefined;
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
		const publishing = publishFragments(this.platform, [{file: 'bench.json', text: JSON.stringify(this.#makeFile())}]);
		await this.clock.advance(100);
		const published = await publishing;
		if (!published.ok) {
			throw new Error(`the bench's configuration was not accepted: ${JSON.stringify(published.error)}`);
		}

		this.beginReplacement();
		await this.clock.advanceUntil(() => this.routers.length > 0, 5000, 10);
	}

	/** Starts a router for each present one at once, moves callers to them, and stops the old ones when they are idle. */
	beginReplacement(): void {
		void this.#replaceRouters();
	}

	/** Stops all routers. */
	async stop(): Promise<void> {
		const stopping = Promise.all(this.routers.map(async router => router.stop()));
		await this.clock.advance(2000);
		await stopping;
	}

	async #replaceRouters(): Promise<void> {
		const old = this.routers;
		const fresh = Array.from({length: this.shape.routers}, (_, index) => this.#startRouter(index));
		while (fresh.some(router => router.configuration.current === undefined)) {
			await this.clock.sleep(10);
		}

		this.routers = fresh;
		for (const router of old) {
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
		const {shape, makePolicy, seed} = this.#options;
		const name = `r${index}-${this.#started++}`;
		const zone = shape.zones[index % shape.zones.length]!;
		return createRouter({
			name, zone, clock: this.clock, random: createRandom(seed + this.#started), platform: this.platform, reportPollMs,
			telemetry: createTelemetry({level: 'silent'}),
			bus: this.#network.join({name, zone, incarnation: name}),
			connector: {open: (_pool, target) => this.#makeLink(this.engines.get(target.name)!, target.zone === zone ? 0 : shape.zoneMs * 2)},
			choose: makePolicy(this),
		});
	}

	/** An engine across the network: the round trip is spent before the request arrives. */
	#makeLink(engine: EngineStandin, roundTripMs: number): TargetLink {
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
			if (this.#computed.has(key)) {
				this.recomputedTokens += tokens[index]!;
			} else {
				this.#computed.add(key);
			}
		}
	}

	#makeFile(): unknown {
		const {shape, kept} = this.#options;
		return {
			service: 'bench',
			pools: [{
				name: 'language', kind: 'engine', model: 'm', weights: 'v1', ...(kept && {keptStore: '10.0.1.1:1'}),
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
