/** Reads a target's frames one at a time, each within a time-out; no frame is read ahead. */
import type {Clock} from '#clock';
import {getErrorMessage, type TargetFrame} from '#core';

/** A frame, or the reason why there is none. */
export type ReadResult = TargetFrame | 'silent' | 'aborted' | 'closed';

/** Maximum length of a timer; the time-out is computed again after it. */
const maxTimerMs = 30_000;

/** Minimum length of a timer; the rounding of the clock's time could reduce a shorter one to zero. */
const minTimerMs = 1;

/** Reads the frames of one attempt. */
export class FrameReader {
	readonly #frames: AsyncIterator<TargetFrame>;
	readonly #clock: Clock;
	readonly #signal: AbortSignal;

	constructor(frames: AsyncIterable<TargetFrame>, clock: Clock, signal: AbortSignal) {
		this.#frames = frames[Symbol.asyncIterator]();
		this.#clock = clock;
		this.#signal = signal;
	}

	/**
	 * Reads the next frame.
	 *
	 * @param computeTimeoutMs returns the time-out; called again when it has passed, because the target's pace may have changed
	 */
	async read(computeTimeoutMs: () => number): Promise<ReadResult> {
		if (this.#signal.aborted) {
			return 'aborted';
		}

		const startMs = this.#clock.now();
		const next = this.#readFrame();
		return new Promise(resolve => {
			let cancel = () => {
				// No timer has been started yet.
			};

			const finish = (read: ReadResult) => {
				cancel();
				this.#signal.removeEventListener('abort', handleAbort);
				resolve(read);
			};

			const handleAbort = () => {
				finish('aborted');
			};

			const checkTimeout = () => {
				const remainingMs = computeTimeoutMs() - (this.#clock.now() - startMs);
				if (remainingMs <= 0) {
					finish('silent');
					return;
				}

				cancel = this.#clock.setTimer(Math.min(Math.max(remainingMs, minTimerMs), maxTimerMs), checkTimeout);
			};

			this.#signal.addEventListener('abort', handleAbort, {once: true});
			checkTimeout();
			void (async () => {
				finish(await next);
			})();
		});
	}

	/** Closes the iteration without waiting for it. */
	stop(): void {
		void this.#closeFrames();
	}

	async #closeFrames(): Promise<void> {
		try {
			await this.#frames.return?.();
		} catch {
			// The attempt has ended already; a failure to close it changes nothing.
		}
	}

	async #readFrame(): Promise<ReadResult> {
		try {
			const next = await this.#frames.next();
			return next.done ? 'closed' : next.value;
		} catch (error) {
			return {kind: 'fault', outcome: 'unknown', detail: getErrorMessage(error)};
		}
	}
}
