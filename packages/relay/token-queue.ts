/** Counts the prompt tokens that wait to be read by an engine, by urgency: an engine reads more urgent prompts first. */

/** Number of urgency levels of engines, 0 to 9. */
const urgencyLevels = 10;

/** Waiting tokens by urgency. */
export class TokenQueue {
	readonly #tokens: number[] = Array.from({length: urgencyLevels}, () => 0);

	/** Sum of the tokens of all urgencies. */
	get total(): number {
		return this.#tokens.reduce((sum, tokens) => sum + tokens, 0);
	}

	/** Adds tokens, or removes them if `tokens` is negative. The count does not fall below zero. */
	add(urgency: number, tokens: number): void {
		this.#tokens[urgency] = Math.max(0, (this.#tokens[urgency] ?? 0) + tokens);
	}

	/** Sums the tokens that are read before a prompt of this urgency. */
	sumAhead(urgency: number): number {
		return sumAhead(this.#tokens, urgency);
	}

	/** Lists the tokens by urgency, without trailing zeros. */
	list(): readonly number[] {
		return this.#tokens.slice(0, this.#tokens.findLastIndex(tokens => tokens > 0) + 1);
	}
}

/** Sums the tokens that are read before a prompt of this urgency, from a list of tokens by urgency. */
export function sumAhead(tokens: readonly number[], urgency: number): number {
	let sum = 0;
	for (let level = 0; level <= urgency && level < tokens.length; level++) {
		sum += tokens[level]!;
	}

	return sum;
}
