/**
 * Estimates by how much prompts wait longer than the work ahead of them takes, as
 * engines start more urgent prompts that arrive later first. If these take the
 * share r of the engines' time, a prompt waits 1 / (1 - r) times as long (Cobham,
 * 1954). An instance knows r from what it sends itself, as callers are spread over
 * the instances.
 */

/** Number of urgency levels of engines. */
const levelCount = 10;

/** Time in which what was recorded loses half of its weight, in milliseconds. */
const halfLifeMs = 1000;

/** Largest share that more urgent prompts are taken to use. */
const maxShare = 0.95;

/** Part of the computed share that counts: the measured time per token includes the wait for the step in progress, so engines read more than that. */
const countedShare = 0.75;

/** Prompt tokens that one instance sends, by urgency. */
export class Overtaking {
	/** Tokens with their weights. */
	readonly #tokens = Array.from({length: levelCount}, () => 0);
	#updatedMs = 0;

	/** Records the tokens of a prompt that is sent and has to be read. */
	record(urgency: number, tokens: number, nowMs: number): void {
		this.#decay(nowMs);
		this.#tokens[urgency] = (this.#tokens[urgency] ?? 0) + tokens;
	}

	/**
	 * Returns the factor by which a prompt waits longer.
	 *
	 * @param tokensPerMs tokens that the engines read per millisecond for this instance, as one of several
	 */
	getFactor(urgency: number, tokensPerMs: number, nowMs: number): number {
		if (urgency === 0) {
			return 1;
		}

		this.#decay(nowMs);
		let sum = 0;
		for (let level = 0; level < urgency; level++) {
			sum += this.#tokens[level]!;
		}

		// In the long run, the weights of a second's tokens sum up to this time.
		const rate = sum / (halfLifeMs / Math.LN2);
		return 1 / (1 - Math.min(maxShare, countedShare * rate / Math.max(Number.EPSILON, tokensPerMs)));
	}

	#decay(nowMs: number): void {
		const weight = 0.5 ** (Math.max(0, nowMs - this.#updatedMs) / halfLifeMs);
		this.#updatedMs = nowMs;
		for (let level = 0; level < levelCount; level++) {
			this.#tokens[level]! *= weight;
		}
	}
}
