/** Prompt tokens that wait to be read at an engine, by urgency: an engine reads more urgent prompts first. */

/** Urgencies of engines, 0 to 9. */
const levels = 10;

/** Tokens by urgency. */
export class TokenQueue {
	readonly #tokens: number[] = Array.from({length: levels}, () => 0);

	/** Tokens of all urgencies. */
	get total(): number {
		return this.#tokens.reduce((sum, tokens) => sum + tokens, 0);
	}

	/** Adds tokens, or takes them away where `tokens` is negative. */
	add(urgency: number, tokens: number): void {
		this.#tokens[urgency] = Math.max(0, (this.#tokens[urgency] ?? 0) + tokens);
	}

	/** Tokens that are read before a prompt of this urgency. */
	sumAhead(urgency: number): number {
		return sumAhead(this.#tokens, urgency);
	}

	/** Tokens by urgency, without the zeros at the end. */
	list(): readonly number[] {
		return this.#tokens.slice(0, this.#tokens.findLastIndex(tokens => tokens > 0) + 1);
	}
}

/** Sums what a list of tokens by urgency has up to one of them. */
export function sumAhead(tokens: readonly number[], urgency: number): number {
	let sum = 0;
	for (let level = 0; level <= urgency && level < tokens.length; level++) {
		sum += tokens[level]!;
	}

	return sum;
}
