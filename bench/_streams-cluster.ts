/** In-memory deployment of the streams bench. */
import {digestKey} from '#admission';
import {ManualClock} from '#clock';
import {publishFragments} from '#configuration';
import {
	createRandom, type AnswerEvent, type ChatWork, type Random,
} from '#core';
import {causeRules} from '#dispatch';
import {createRouter, type Router} from '#node';
import {EngineStandin, PeerNetworkStandin, PlatformStandin} from '#standins';
import {createTelemetry} from '#telemetry';

/** One request of the load; `router` is an index. */
export type StreamRequest = Readonly<{work: ChatWork; promptTokens: number; router: number}>;

const routerCount = 3;
const engineCount = 6;
const dossierCount = 40;
const dossierTokens = 4000;
const charsPerToken = 4;

/** Routers, engines and platform that share one manual clock. */
export class StreamCluster {
	readonly clock = new ManualClock();
	readonly engines = new Map<string, EngineStandin>();
	readonly #platform = new PlatformStandin(this.clock);
	readonly #telemetry = createTelemetry({level: 'silent'});
	readonly #routers: readonly Router[];
	#sentCount = 0;

	constructor(seed: number) {
		const network = new PeerNetworkStandin(this.clock);
		for (let index = 0; index < engineCount; index++) {
			this.engines.set(`e${index}`, new EngineStandin(this.clock, {seed: seed + index, model: 'm', weights: 'v1'}));
		}

		this.#routers = Array.from({length: routerCount}, (_, index) => {
			const name = `r${index}`;
			return createRouter({
				name, zone: 'a', clock: this.clock, random: createRandom(seed + index), platform: this.#platform, telemetry: this.#telemetry, reportPollMs: 250,
				bus: network.join({name, zone: 'a', incarnation: name}),
				connector: {open: (_pool, target) => this.engines.get(target.name)!},
			});
		});
	}

	/** Publishes the configuration and waits until it is in force. */
	async start(): Promise<void> {
		const publishing = publishFragments(this.#platform, [{file: 'bench.json', text: JSON.stringify(this.#createServiceFile())}]);
		await this.clock.advance(100);
		await publishing;
		await this.clock.advanceUntil(() => this.#routers.every(router => router.configuration.current !== undefined), 20_000, 10);
	}

	async stop(): Promise<void> {
		const stopping = Promise.all(this.#routers.map(async router => router.stop()));
		await this.clock.advance(2000);
		await stopping;
	}

	/** Creates a request with a random dossier and a unique question. */
	createRequest(random: Random): StreamRequest {
		const dossier = `dossier ${random.integerBelow(dossierCount)} `.padEnd(dossierTokens * charsPerToken, 'segl ');
		const messages = [{role: 'system', content: dossier}, {role: 'user', content: `question ${this.#sentCount++}`}];
		const promptTokens = messages.reduce((sum, {content}) => sum + Math.max(1, Math.ceil(content.length / charsPerToken)), 0);
		return {
			promptTokens, router: random.integerBelow(routerCount), work: {
				kind: 'chat', messages, maxTokens: 100 + random.integerBelow(200), extra: {},
			},
		};
	}

	send({work, router}: StreamRequest): AsyncIterable<AnswerEvent> {
		return this.#routers[router]!.handle({route: 'chat', authorization: 'Bearer key', work}, new AbortController().signal);
	}

	/** Chooses a random engine that is up. */
	chooseEngine(random: Random): EngineStandin {
		const up = [...this.engines.values()].filter(engine => !engine.isDown);
		return up[random.integerBelow(up.length)]!;
	}

	/** Counts the prompt tokens that the engines computed or read from their caches. */
	countPrefilledTokens(): number {
		let sum = 0;
		for (const engine of this.engines.values()) {
			sum += engine.prefilledTokens + engine.cachedTokens;
		}

		return sum;
	}

	getCounters(): Readonly<{attempts: number; retries: Readonly<Record<string, number>>}> {
		const outcomes = ['answered', 'notSent', 'refused', 'failed', 'unknown'];
		const retries = Object.keys(causeRules).map(reason => [reason, this.#telemetry.getCounter('retries_total', {reason})] as const);
		let attempts = 0;
		for (const outcome of outcomes) {
			attempts += this.#telemetry.getCounter('attempts_total', {pool: 'language', outcome});
		}

		return {attempts, retries: Object.fromEntries(retries.filter(([, count]) => count > 0))};
	}

	#createServiceFile(): unknown {
		return {
			service: 'bench',
			pools: [{
				name: 'language', kind: 'engine', model: 'm', weights: 'v1',
				targets: [...this.engines.keys()].map((name, index) => ({name, address: `10.0.0.${index + 1}:1`, zone: 'a'})),
			}],
			routes: [{name: 'chat', pool: 'language', timeoutMs: 20_000}],
			customers: [{
				name: 'c', keyDigests: [digestKey('key')], routes: ['chat'], limit: {requestsPerSecond: 10_000, burst: 10_000, concurrent: 10_000},
			}],
		};
	}
}
