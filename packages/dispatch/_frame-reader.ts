/** Reads a target's frames one at a time, each within a bound of silence; nothing is read ahead. */
import type {Clock} from '#clock';
import {toMessage, type TargetFrame} from '#core';

/** What a read gives: a frame, or why there is none. */
export type FrameRead = TargetFrame | 'silent' | 'aborted' | 'closed';

const recheckMs = 30_000;

/** Shortest timer; a shorter one can vanish in the rounding of the clock's time. */
const leastTimerMs = 1;

/** Pulls from the iteration of one attempt. */
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
	 * @param getLimitMs the bound of silence; asked again when it has passed, since the target's pace may have changed
	 */
	async read(getLimitMs: () => number): Promise<FrameRead> {
		if (this.#signal.aborted) {
			return 'aborted';
		}

		const startMs = this.#clock.now();
		const next = this.#pull();
		return new Promise(resolve => {
			let cancel = () => {
				// No timer runs yet.
			};

			const settle = (read: FrameRead) => {
				cancel();
				this.#signal.removeEventListener('abort', abort);
				resolve(read);
			};

			const abort = () => {
				settle('aborted');
			};

			const watch = () => {
				const leftMs = getLimitMs() - (this.#clock.now() - startMs);
				if (leftMs <= 0) {
					settle('silent');
					return;
				}

				cancel = this.#clock.after(Math.min(Math.max(leftMs, leastTimerMs), recheckMs), watch);
			};

			this.#signal.addEventListener('abort', abort, {once: true});
			watch();
			void (async () => {
				settle(await next);
			})();
		});
	}

	/** Ends the iteration without waiting for it. */
	stop(): void {
		void this.#close();
	}

	async #close(): Promise<void> {
		try {
			await this.#frames.return?.();
		} catch {
			// An abandoned attempt's failure changes nothing.
		}
	}

	async #pull(): Promise<FrameRead> {
		try {
			const next = await this.#frames.next();
			return next.done ? 'closed' : next.value;
		} catch (error) {
			return {kind: 'fault', outcome: 'unknown', detail: toMessage(error)};
		}
	}
}
