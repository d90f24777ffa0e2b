/**
 * Detects that a customer sends far more requests to this instance than it usually
 * does. It counts requests rather than units, because a single large request is no
 * surge.
 */

/** Time constants of the present and the usual rate, in milliseconds. */
const presentMs = 1000;
const usualMs = 30_000;

/** Number of requests in the present window that is a surge: this many beyond this multiple of the usual number. A steady stream of requests reaches it less than once in 200 windows. */
const surgeFactor = 2;
const surgeMargin = 3;

/** Time without a request after which callers have stopped: a multiple of the mean gap, which a steady stream exceeds once in 20,000 requests, and at least this, in milliseconds. */
const stopGaps = 10;
const minStopMs = 1500;

export class SurgeDetector {
	#present = 0;
	#usual = 0;
	#startMs: number | undefined;
	#updatedMs = 0;
	#recordedMs = 0;

	record(nowMs: number): void {
		this.#startMs ??= nowMs;
		this.#decay(nowMs);
		this.#recordedMs = nowMs;
		this.#present++;
		this.#usual++;
	}

	isSurging(nowMs: number): boolean {
		this.#decay(nowMs);
		const ageMs = Math.max(presentMs, nowMs - (this.#startMs ?? nowMs));
		const usualPerWindow = this.#usual * presentMs / (usualMs * (1 - Math.exp(-ageMs / usualMs)));
		return this.#present > (surgeFactor * usualPerWindow) + surgeMargin;
	}

	/** Whether no request has come for so long that the callers must have stopped or gone to another instance. */
	hasStopped(nowMs: number): boolean {
		this.#decay(nowMs);
		const gapMs = nowMs - this.#recordedMs;
		const meanGapMs = Math.min(usualMs, nowMs - (this.#startMs ?? nowMs)) / Math.max(1, this.#usual);
		return gapMs > Math.max(minStopMs, stopGaps * meanGapMs);
	}

	/** Forgets all requests. */
	reset(): void {
		this.#present = 0;
		this.#usual = 0;
		this.#startMs = undefined;
	}

	#decay(nowMs: number): void {
		const elapsedMs = nowMs - this.#updatedMs;
		this.#present *= Math.exp(-elapsedMs / presentMs);
		this.#usual *= Math.exp(-elapsedMs / usualMs);
		this.#updatedMs = nowMs;
	}
}
