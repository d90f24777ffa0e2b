/** A steady load of nested prompts on a fleet, behind a balancer that follows readiness. */
import {setTimeout as pause} from 'node:timers/promises';
import {Agent, fetch} from 'undici';
import {benchKey, type FleetWorld} from './_fleet-world.ts';
import {createRandom} from '#core';

/** One request as its caller saw it. */
export type LoadSample = Readonly<{atMs: number; firstMs: number; cachedTokens: number; isWhole: boolean; isCut: boolean}>;

const dossiers = 24;
const healthMs = 100;
const preamble = 'You answer stock queries about meter batches, seals and calibration. '.repeat(120);

/** Sends requests until stopped. */
export class FleetLoad {
	readonly samples: LoadSample[] = [];
	readonly #world: FleetWorld;
	readonly #random = createRandom(5);
	readonly #gapMs: number;
	readonly #agent = new Agent({connections: 64});
	readonly #running = new Set<Promise<void>>();
	#ready: readonly string[] = [];
	#isStopped = false;
	#tasks: ReadonlyArray<Promise<void>> = [];

	constructor(world: FleetWorld, requestsPerSecond: number) {
		this.#world = world;
		this.#gapMs = 1000 / requestsPerSecond;
	}

	start(): void {
		this.#tasks = [this.#followReadiness(), this.#sendAll()];
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#tasks);
		await Promise.all(this.#running);
		await this.#agent.close();
	}

	/** Hit tokens for each request, 99th percentile of the time to the first token, and cut requests, in a span of time. */
	summarise(fromMs: number, toMs: number): Readonly<{requests: number; cachedTokens: number; ttftP99Ms: number; cut: number}> {
		const samples = this.samples.filter(({atMs}) => atMs >= fromMs && atMs < toMs);
		const times = samples.filter(({isWhole}) => isWhole).map(({firstMs}) => firstMs).toSorted((a, b) => a - b);
		const cached = samples.reduce((sum, sample) => sum + sample.cachedTokens, 0);
		return {
			requests: samples.length, cachedTokens: cached / Math.max(1, samples.length),
			ttftP99Ms: times[Math.floor(times.length * 0.99)] ?? 0, cut: samples.filter(({isCut}) => isCut).length,
		};
	}

	async #followReadiness(): Promise<void> {
		while (!this.#isStopped) {
			const {processes} = this.#world;
			const ready = await Promise.all(processes.map(async instance => instance.isReady()));
			this.#ready = processes.filter((_, index) => ready[index]).map(({plan}) => plan.address);
			await pause(healthMs);
		}
	}

	async #sendAll(): Promise<void> {
		for (let number = 0; !this.#isStopped; number++) {
			const address = this.#ready[this.#random.below(Math.max(1, this.#ready.length))];
			if (address !== undefined) {
				const task = this.#send(address, number);
				this.#running.add(task);
				void task.finally(() => {
					this.#running.delete(task);
				});
			}

			await pause(this.#gapMs);
		}
	}

	async #send(address: string, number: number): Promise<void> {
		const {clock} = this.#world;
		const atMs = clock.now();
		const dossier = Math.min(this.#random.below(dossiers), this.#random.below(dossiers));
		const messages = [
			{role: 'system', content: preamble},
			{role: 'user', content: `Dossier ${dossier}: meters, sealed, calibrated. `.repeat(700)},
			{role: 'user', content: `Question ${number}?`},
		];
		try {
			const answer = await fetch(`http://${address}/v1/chat/completions`, {
				dispatcher: this.#agent, method: 'POST', headers: {'content-type': 'application/json', authorization: `Bearer ${benchKey}`},
				body: JSON.stringify({
					model: 'chat', stream: true, max_tokens: 16, messages,
				}),
			});
			const firstMs = clock.now() - atMs;
			const text = await answer.text();
			const isWhole = answer.status === 200 && text.includes('[DONE]');
			this.samples.push({
				atMs, firstMs, cachedTokens: Number(answer.headers.get('x-cached-tokens') ?? 0), isWhole, isCut: answer.status === 200 && !isWhole,
			});
		} catch {
			this.samples.push({
				atMs, firstMs: 0, cachedTokens: 0, isWhole: false, isCut: true,
			});
		}
	}
}
