/**
 * Counts the memory of an engine that requests in progress hold, in tokens: the
 * prompt and the expected output of each request until it ends. Parts that several
 * requests share are held once, whichever instances the requests came through.
 */
import {TokenQueue} from './token-queue.ts';
import {hash64, type Prompt} from '#core';

/** Memory that the requests of one instance hold on a target, as instances tell it each other. */
export type HeldReport = Readonly<{
	/** Tokens that no other request shares, by urgency. */
	byUrgency: readonly number[];
	/** Hashes of the shared parts' keys, and the parts' tokens. */
	parts: ReadonlyArray<readonly [key: number, tokens: number]>;
}>;

/** Number of tokens by which engines allocate memory. */
const blockTokens = 16;

/** Maximum number of parts in a report. */
const maxReportedParts = 32;

/** Number of hexadecimal digits of a part's hash in reports: 32 bits. */
const hashDigits = 8;

/** Weight of the newest measurement in a moving average. */
const smoothingFactor = 0.1;

/** Time for which a request holds memory where none has been measured yet, in milliseconds. */
const initialHoldMs = 500;

/** Memory that requests hold on one target: those of this instance, and those that peers report. */
export class HeldMemory {
	/** Average time for which requests of this instance hold their memory, in milliseconds. */
	holdMs = initialHoldMs;
	readonly #own = new TokenQueue();
	readonly #peers = new TokenQueue();
	readonly #ownParts = new Map<number, {tokens: number; holders: number}>();
	/** Parts of all instances; each instance counts as one holder. */
	readonly #parts = new Map<number, {tokens: number; holders: number}>();
	#partTokens = 0;

	/** All tokens that are held, as far as this instance knows. */
	get total(): number {
		return this.#own.total + this.#peers.total + this.#partTokens;
	}

	/** Sums the tokens that requests hold which an engine serves before one of this urgency; shared parts count whoever holds them. */
	sumAhead(urgency: number): number {
		return this.#own.sumAhead(urgency) + this.#peers.sumAhead(urgency) + this.#partTokens;
	}

	/**
	 * Adds the memory of a request of this instance.
	 *
	 * @param partKeys keys of the prompt's shared parts, its first ones
	 * @returns a function that removes it after the time for which it was held, in milliseconds
	 */
	add(prompt: Prompt, partKeys: readonly string[], urgency: number): (heldMs: number) => void {
		const tokens = computeOwnTokens(prompt, partKeys.length);
		this.#own.add(urgency, tokens);
		const keys = partKeys.map((key, index) => [hashKey(key), roundToBlocks(prompt.parts[index]!.tokens)] as const);
		for (const [key, partTokens] of keys) {
			if (addHolder(this.#ownParts, key, partTokens)) {
				this.#addPart(key, partTokens);
			}
		}

		return heldMs => {
			this.#own.add(urgency, -tokens);
			for (const [key] of keys) {
				if (removeHolder(this.#ownParts, key) > 0) {
					this.#removePart(key);
				}
			}

			this.holdMs += (heldMs - this.holdMs) * smoothingFactor;
		};
	}

	/**
	 * Adds what a peer reports.
	 *
	 * @returns a function that removes it
	 */
	addReport({byUrgency, parts}: HeldReport): () => void {
		for (const [urgency, tokens] of byUrgency.entries()) {
			this.#peers.add(urgency, tokens);
		}

		for (const [key, tokens] of parts) {
			this.#addPart(key, tokens);
		}

		return () => {
			for (const [urgency, tokens] of byUrgency.entries()) {
				this.#peers.add(urgency, -tokens);
			}

			for (const [key] of parts) {
				this.#removePart(key);
			}
		};
	}

	/** Returns what peers are told, or `undefined` if this instance's requests hold nothing. */
	report(): HeldReport | undefined {
		const byUrgency = this.#own.list();
		return byUrgency.length === 0 && this.#ownParts.size === 0
			? undefined
			: {byUrgency, parts: [...this.#ownParts].slice(0, maxReportedParts).map(([key, {tokens}]) => [key, tokens] as const)};
	}

	#addPart(key: number, tokens: number): void {
		this.#partTokens += addHolder(this.#parts, key, tokens) ? tokens : 0;
	}

	#removePart(key: number): void {
		this.#partTokens -= removeHolder(this.#parts, key);
	}
}

/** Computes the memory that a request holds beyond its first `sharedParts` parts, in tokens. */
export function computeOwnTokens({inputTokens, maxOutputTokens, parts}: Prompt, sharedParts: number): number {
	let sharedTokens = 0;
	for (let index = 0; index < sharedParts; index++) {
		sharedTokens += parts[index]!.tokens;
	}

	return roundToBlocks(Math.max(0, inputTokens - sharedTokens) + maxOutputTokens);
}

function roundToBlocks(tokens: number): number {
	return Math.ceil(tokens / blockTokens) * blockTokens;
}

function hashKey(key: string): number {
	return Number.parseInt(hash64(key).slice(0, hashDigits), 16);
}

/** @returns whether the part had no holder */
function addHolder(parts: Map<number, {tokens: number; holders: number}>, key: number, tokens: number): boolean {
	const part = parts.get(key);
	if (part) {
		part.holders++;
		return false;
	}

	parts.set(key, {tokens, holders: 1});
	return true;
}

/** @returns the tokens of the part if it has no holder any more, or else 0 */
function removeHolder(parts: Map<number, {tokens: number; holders: number}>, key: number): number {
	const part = parts.get(key);
	if (!part || --part.holders > 0) {
		return 0;
	}

	parts.delete(key);
	return part.tokens;
}
