/**
 * Splits a prompt into pieces and hashes them into a chain: each key covers its
 * piece and all pieces before it. The chain is seeded with customer, model and
 * weights version, so that no key matches across customers, models or weights.
 */
import {hash64, type ChatMessage} from '#core';

/** A prompt as a chain of piece keys, in the order of the prompt. */
export type PromptChain = Readonly<{
	keys: readonly string[];
	/** Estimated number of tokens of each piece. */
	tokens: readonly number[];
	totalTokens: number;
	/** Number of pieces up to the end of each message. Prompts with a common prefix usually share whole messages. */
	messageEnds: readonly number[];
}>;

/** Returns the chain of a prompt for a weights version. */
export type ChainFactory = (weights: string) => PromptChain;

/** The seed of a chain; only chains with equal seeds can have keys in common. */
export type ChainSeed = Readonly<{customer: string; model: string; weights: string}>;

/** Mean length of a token of prose, in UTF-16 code units. */
const charsPerToken = 4;

/**
 * Creates the chain of a chat. The end of a message always ends a piece, so
 * prompts with the same preamble share its keys whatever follows it.
 *
 * @param pieceTokens size of a piece in tokens
 */
export function createChain(seed: ChainSeed, messages: readonly ChatMessage[], pieceTokens: number): PromptChain {
	const keys: string[] = [];
	const tokens: number[] = [];
	const messageEnds: number[] = [];
	const pieceChars = pieceTokens * charsPerToken;
	let previous = hash64(JSON.stringify([seed.customer, seed.model, seed.weights]));
	for (const message of messages) {
		const text = message.content;
		for (let start = 0; start === 0 || start < text.length; start += pieceChars) {
			const piece = text.slice(start, start + pieceChars);
			previous = hash64(`${previous}\n${message.role}\n${piece}`);
			keys.push(previous);
			tokens.push(Math.max(1, Math.ceil(piece.length / charsPerToken)));
		}

		messageEnds.push(keys.length);
	}

	return {
		keys, tokens, messageEnds, totalTokens: tokens.reduce((sum, count) => sum + count, 0),
	};
}

/**
 * Creates a function that returns the chain of a chat for a weights version. The
 * function computes each chain once, on its first use.
 *
 * @param seed customer and model
 * @param pieceTokens size of a piece in tokens
 */
export function createChainFactory(seed: Omit<ChainSeed, 'weights'>, messages: readonly ChatMessage[], pieceTokens: number): ChainFactory {
	const chains = new Map<string, PromptChain>();
	return weights => {
		const chain = chains.get(weights) ?? createChain({...seed, weights}, messages, pieceTokens);
		chains.set(weights, chain);
		return chain;
	};
}
