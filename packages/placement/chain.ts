/**
 * Cuts a prompt into pieces and hashes them into a chain: each key covers its
 * piece and all pieces before it. The chain is seeded with customer, model and
 * weights version, so that no key matches across customers or weights.
 */
import {hash64, type ChatMessage} from '#core';

/** A prompt as piece keys, outermost first. */
export type PromptChain = Readonly<{
	keys: readonly string[];
	/** Tokens of each piece. */
	tokens: readonly number[];
	totalTokens: number;
	/** Number of pieces up to the end of each message; prompts share upper levels by whole messages. */
	ends: readonly number[];
}>;

/** Makes the chain of a prompt for a weights version. */
export type ChainMaker = (weights: string) => PromptChain;

/** Identifies whose cache entries a chain may match. */
export type ChainSeed = Readonly<{customer: string; model: string; weights: string}>;

/** Mean length of a token of prose, in UTF-16 code units. */
const charsPerToken = 4;

/**
 * Builds the chain of a chat. A message's end always ends a piece, so prompts
 * that share a preamble share its keys whatever follows.
 *
 * @param pieceTokens size of a piece in tokens
 */
export function makeChain(seed: ChainSeed, messages: readonly ChatMessage[], pieceTokens: number): PromptChain {
	const keys: string[] = [];
	const tokens: number[] = [];
	const ends: number[] = [];
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

		ends.push(keys.length);
	}

	return {
		keys, tokens, ends, totalTokens: tokens.reduce((sum, count) => sum + count, 0),
	};
}

/**
 * Prepares the chains of a chat: one for each weights version that is asked
 * for, computed once.
 *
 * @param seed customer and model
 * @param pieceTokens size of a piece in tokens
 */
export function createChainMaker(seed: Omit<ChainSeed, 'weights'>, messages: readonly ChatMessage[], pieceTokens: number): ChainMaker {
	const chains = new Map<string, PromptChain>();
	return weights => {
		const chain = chains.get(weights) ?? makeChain({...seed, weights}, messages, pieceTokens);
		chains.set(weights, chain);
		return chain;
	};
}
