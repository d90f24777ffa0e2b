/**
 * Sends prompts with shared prefixes to a fleet at a fixed rate, through a
 * simulated load balancer that polls the readiness of the instances.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {Agent, fetch} from 'undici';
import {benchKey, type FleetDeployment} from './_fleet-deployment.ts';
import {createRandom} from '#core';

/** Result of one request as its caller saw it; `atMs` is the time at which it was sent. A request whose connection fails counts as truncated. */
export type LoadSample = Readonly<{atMs: number; ttftMs: number; cachedTokens: number; isComplete: boolean; isTruncated: boolean}>;

const dossierCount = 24;
const readinessPollMs = 100;
const preamble = 'You answer stock queries about meter batches, seals and calibration. '.repeat(120);

/** Sends requests until {@link FleetLoad.stop} and records their results. */
export class FleetLoad {
	readonly samples: LoadSample[] = [];
	readonly #deployment: FleetDeployment;
	readonly #random = createRandom(5);
	readonly #intervalMs: number;
	readonly #agent = new Agent({connections: 64});
	readonly #pendingRequests = new Set<Promise<void>>();
	#readyAddresses: readonly string[] = [];
	#isStopped = false;
	#tasks: ReadonlyArray<Promise<void>> = [];

	constructor(deployment: FleetDeployment, requestsPerSecond: number) {
		this.#deployment = deployment;
		this.#intervalMs = 1000 / requestsPerSecond;
	}

	start(): void {
		this.#tasks = [this.#pollReadiness(), this.#sendRequests()];
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#tasks);
		await Promise.all(this.#pendingRequests);
		await this.#agent.close();
	}

	/** Computes the mean cached tokens per request, the 99th percentile of the time to the first token, and the truncated answers of a period. */
	computeSummary(fromMs: number, toMs: number): Readonly<{requests: number; cachedTokens: number; ttftP99Ms: number; cut: number}> {
		const samples = this.samples.filter(({atMs}) => atMs >= fromMs && atMs < toMs);
		const ttftsMs = samples.filter(({isComplete}) => isComplete).map(({ttftMs}) => ttftMs).toSorted((a, b) => a - b);
		const cached = samples.reduce((sum, sample) => sum + sample.cachedTokens, 0);
		return {
			requests: samples.length, cachedTokens: cached / Math.max(1, samples.length),
			ttftP99Ms: ttftsMs[Math.floor(ttftsMs.length * 0.99)] ?? 0, cut: samples.filter(({isTruncated}) => isTruncated).length,
		};
	}

	async #pollReadiness(): Promise<void> {
		while (!this.#isStopped) {
			const {processes} = this.#deployment;
			const ready = await Promise.all(processes.map(async instance => instance.isReady()));
			this.#readyAddresses = processes.filter((_, index) => ready[index]).map(({plan}) => plan.address);
			await pause(readinessPollMs);
		}
	}

	async #sendRequests(): Promise<void> {
		for (let number = 0; !this.#isStopped; number++) {
			const address = this.#readyAddresses[this.#random.integerBelow(Math.max(1, this.#readyAddresses.length))];
			if (address !== undefined) {
				const task = this.#sendRequest(address, number);
				this.#pendingRequests.add(task);
				void task.finally(() => {
					this.#pendingRequests.delete(task);
				});
			}

			await pause(this.#intervalMs);
		}
	}

	async #sendRequest(address: string, number: number): Promise<void> {
		const {clock} = this.#deployment;
		const atMs = clock.now();
		// The minimum of two random numbers makes low dossier numbers more frequent.
		const dossier = Math.min(this.#random.integerBelow(dossierCount), this.#random.integerBelow(dossierCount));
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
			const ttftMs = clock.now() - atMs;
			const text = await answer.text();
			const isComplete = answer.status === 200 && text.includes('[DONE]');
			this.samples.push({
				atMs, ttftMs, cachedTokens: Number(answer.headers.get('x-cached-tokens') ?? 0), isComplete, isTruncated: answer.status === 200 && !isComplete,
			});
		} catch {
			this.samples.push({
				atMs, ttftMs: 0, cachedTokens: 0, isComplete: false, isTruncated: true,
			});
		}
	}
}
