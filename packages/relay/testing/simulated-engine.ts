/** An engine on simulated time: it reads prompts in chunks between the tokens of other requests, and has slots, memory, a queue by urgency and a cache of prompt parts. */
import type {Prompt} from '#core';

/** A request on an engine. */
export type SimulatedWork = {
	readonly prompt: Prompt;
	/** Keys of the prompt's shared parts. */
	readonly partKeys: readonly string[];
	readonly urgency: number;
	readonly handleStart: () => void;
	readonly handleEnd: () => void;
	/** Whether parts can be fetched from another engine, by key. */
	readonly canFetch: (key: string) => boolean;
	sequence: number;
	unreadTokens: number;
	/** Keys of the parts that have to be read. */
	unreadParts: readonly string[];
	outputTokens: number;
	hasStarted: boolean;
};

export type SimulatedEngineOptions = Readonly<{
	slots: number;
	memoryTokens: number;
	maxWaiting: number;
	tokensPerMs: number;
	minStepMs: number;
	chunkTokens: number;
}>;

export class SimulatedEngine {
	isDown = false;
	preemptions = 0;
	/** Tokens of shared parts, and those that had been read by an engine before. */
	sharedTokens = 0;
	rereadTokens = 0;
	readonly #options: SimulatedEngineOptions;
	readonly #everRead: Set<string>;
	readonly #handleEvicted: (key: string) => void;
	readonly #running = new Set<SimulatedWork>();
	#waiting: SimulatedWork[] = [];
	/** Cached parts and their tokens; the one used last is at the end. */
	readonly #parts = new Map<string, number>();
	#stepEndMs = 0;
	#sequence = 0;
	/** Work of the step in progress, which takes effect at its end. */
	#step: Array<{work: SimulatedWork; tokens: number}> = [];

	/**
	 * @param everRead keys of the parts that any engine has read
	 * @param handleEvicted called with the key of a part that leaves the cache
	 */
	constructor(options: SimulatedEngineOptions, everRead: Set<string>, handleEvicted: (key: string) => void) {
		this.#options = options;
		this.#everRead = everRead;
		this.#handleEvicted = handleEvicted;
	}

	get running(): number {
		return this.#running.size;
	}

	get waiting(): number {
		return this.#waiting.length;
	}

	hasPart(key: string): boolean {
		return !this.isDown && this.#parts.has(key);
	}

	/** Adds a request; returns `undefined` if the queue is full, or a function that removes it. */
	add(work: Omit<SimulatedWork, 'sequence' | 'unreadTokens' | 'unreadParts' | 'outputTokens' | 'hasStarted'>): (() => void) | undefined {
		if (this.#waiting.length >= this.#options.maxWaiting) {
			return undefined;
		}

		const added: SimulatedWork = {
			...work, sequence: this.#sequence++, unreadTokens: 0, unreadParts: [], outputTokens: work.prompt.maxOutputTokens, hasStarted: false,
		};
		this.#waiting.push(added);
		return () => {
			this.#running.delete(added);
			this.#waiting = this.#waiting.filter(other => other !== added);
		};
	}

	/** Ends all requests without a word and forgets all parts. */
	crash(): void {
		this.isDown = true;
		this.#running.clear();
		this.#waiting = [];
		this.#parts.clear();
		this.#step = [];
	}

	/** Starts again, with an empty cache. */
	resume(nowMs: number): void {
		this.isDown = false;
		this.#stepEndMs = nowMs;
	}

	/** Runs the steps that end until `nowMs`. */
	advance(nowMs: number): void {
		while (!this.isDown && this.#stepEndMs <= nowMs) {
			this.#finishStep();
			this.#admitWaiting();
			this.#startStep();
		}
	}

	#startStep(): void {
		const {chunkTokens, tokensPerMs, minStepMs} = this.#options;
		let budget = chunkTokens;
		for (const work of [...this.#running].toSorted((a, b) => a.urgency - b.urgency || a.sequence - b.sequence)) {
			const tokens = Math.min(budget, work.unreadTokens);
			if (tokens > 0 || work.unreadTokens === 0) {
				this.#step.push({work, tokens});
				budget -= tokens;
			}
		}

		this.#stepEndMs += Math.max(minStepMs, (chunkTokens - budget) / tokensPerMs);
	}

	#finishStep(): void {
		for (const {work, tokens} of this.#step) {
			if (!this.#running.has(work)) {
				continue;
			}

			if (tokens > 0) {
				work.unreadTokens -= tokens;
				if (work.unreadTokens === 0) {
					this.#storeParts(work);
				}
			} else {
				work.outputTokens--;
			}

			if (work.unreadTokens === 0 && !work.hasStarted && work.outputTokens < work.prompt.maxOutputTokens) {
				work.hasStarted = true;
				work.handleStart();
			}

			if (work.outputTokens <= 0) {
				this.#running.delete(work);
				work.handleEnd();
			}
		}

		this.#step = [];
	}

	/** Keeps the parts of a prompt that has been read. */
	#storeParts({partKeys, prompt, unreadParts}: SimulatedWork): void {
		for (const [index, key] of partKeys.entries()) {
			const {tokens} = prompt.parts[index]!;
			this.sharedTokens += tokens;
			this.rereadTokens += unreadParts.includes(key) && this.#everRead.has(key) ? tokens : 0;
			this.#everRead.add(key);
			this.#parts.delete(key);
			this.#parts.set(key, tokens);
		}

		this.#evict();
	}

	#admitWaiting(): void {
		this.#waiting.sort((a, b) => a.urgency - b.urgency || a.sequence - b.sequence);
		for (let next = this.#waiting[0]; next; next = this.#waiting[0]) {
			if (!this.#makeRoom(next)) {
				return;
			}

			this.#waiting.shift();
			this.#running.add(next);
			next.unreadTokens = computeOwnTokens(next);
			next.unreadParts = [];
			for (const [index, key] of next.partKeys.entries()) {
				const {tokens} = next.prompt.parts[index]!;
				const isFound = this.#parts.has(key) || next.canFetch(key);
				next.unreadTokens += isFound ? 0 : tokens;
				next.unreadParts = isFound ? next.unreadParts : [...next.unreadParts, key];
			}

			this.#evict();
		}
	}

	/** Makes room for a request by preempting less urgent ones, the last one first. */
	#makeRoom(next: SimulatedWork): boolean {
		while (this.#running.size >= this.#options.slots || this.#sumHeld([...this.#running, next]) > this.#options.memoryTokens) {
			const [victim] = [...this.#running].filter(({urgency}) => urgency > next.urgency).toSorted((a, b) => b.urgency - a.urgency || b.sequence - a.sequence);
			if (!victim) {
				return false;
			}

			this.preemptions++;
			this.#running.delete(victim);
			this.#waiting.push(victim);
		}

		return true;
	}

	#sumHeld(works: readonly SimulatedWork[]): number {
		const parts = new Map<string, number>();
		let sum = 0;
		for (const work of works) {
			sum += computeOwnTokens(work) + work.prompt.maxOutputTokens;
			for (const [index, key] of work.partKeys.entries()) {
				parts.set(key, work.prompt.parts[index]!.tokens);
			}
		}

		return sum + [...parts.values()].reduce((total, tokens) => total + tokens, 0);
	}

	/** Evicts parts that no request uses, the one used longest ago first, while memory is short. */
	#evict(): void {
		const used = new Set([...this.#running].flatMap(({partKeys}) => partKeys));
		let tokens = this.#sumHeld([...this.#running]);
		for (const [key, partTokens] of this.#parts) {
			tokens += used.has(key) ? 0 : partTokens;
		}

		for (const [key, partTokens] of this.#parts) {
			if (tokens <= this.#options.memoryTokens) {
				return;
			}

			if (!used.has(key)) {
				this.#parts.delete(key);
				this.#handleEvicted(key);
				tokens -= partTokens;
			}
		}
	}
}

function computeOwnTokens({prompt, partKeys}: SimulatedWork): number {
	return prompt.inputTokens - partKeys.reduce((sum, _key, index) => sum + prompt.parts[index]!.tokens, 0);
}
