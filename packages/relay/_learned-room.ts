/**
 * The number of requests that a target runs at once for this instance, learned
 * from its refusals. It may be lower than the slots that the target's entry
 * states, for example if memory runs out first. A refusal lowers it to what was
 * in progress without the refused request; time raises it again, so that room
 * which has become free is found.
 */

/** Time without a refusal after which one more request is tried, in milliseconds. A try that fails costs a rest of the target. */
const growthIntervalMs = 5000;

export class LearnedRoom {
	#room = Infinity;
	#learnedMs = 0;

	/**
	 * Records a refusal.
	 *
	 * @param inFlight requests of this instance in progress on the target, with the refused one
	 */
	recordRefusal(inFlight: number, nowMs: number): void {
		this.#room = Math.max(1, Math.min(inFlight - 1, this.get(nowMs)));
		this.#learnedMs = nowMs;
	}

	/** Returns the number of requests that this instance may have in progress; `Infinity` before the first refusal. */
	get(nowMs: number): number {
		return this.#room + Math.floor((nowMs - this.#learnedMs) / growthIntervalMs);
	}
}
