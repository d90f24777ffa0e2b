/**
 * Learns how much time callers give the requests of each route when they first send
 * them, as a request does not state whether its caller has returned after a refusal.
 */

/** Time for which the longest time counts, in milliseconds; at most twice that. */
const windowMs = 10_000;

type LongestTime = {startedMs: number; currentMs: number; previousMs: number};

export class StatedTimes {
	readonly #routes = new Map<string, LongestTime>();

	/**
	 * Records a request, and estimates the time since its caller first sent it, in milliseconds.
	 *
	 * @param remainingMs time until its deadline
	 */
	estimateElapsedMs(route: string, remainingMs: number, nowMs: number): number {
		let longest = this.#routes.get(route);
		if (!longest || nowMs - longest.startedMs >= 2 * windowMs) {
			longest = {startedMs: nowMs, currentMs: 0, previousMs: 0};
		} else if (nowMs - longest.startedMs >= windowMs) {
			longest = {startedMs: nowMs, currentMs: 0, previousMs: longest.currentMs};
		}

		longest.currentMs = Math.max(longest.currentMs, remainingMs);
		this.#routes.set(route, longest);
		return Math.max(longest.currentMs, longest.previousMs) - remainingMs;
	}
}
