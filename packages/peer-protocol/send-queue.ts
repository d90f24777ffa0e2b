/**
 * What waits to be written on a link, bounded. When it is full, the oldest
 * periodic frames are dropped, because their senders repeat them; frames that
 * nobody repeats are never dropped: the queue then refuses, and its owner
 * closes the link.
 */

/** A frame that waits. */
export type QueuedFrame = Readonly<{body: Uint8Array; isPeriodic: boolean}>;

/** What became of an added frame. */
export type QueueOutcome = 'queued' | 'dropped_oldest' | 'full';

/** Frames in order of sending, bounded in bytes. */
export class SendQueue {
	readonly #frames: QueuedFrame[] = [];
	#bytes = 0;
	readonly #maxBytes: number;

	/** @param maxBytes most bytes that wait; one frame may be longer when nothing else waits */
	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	get size(): number {
		return this.#frames.length;
	}

	add(frame: QueuedFrame): QueueOutcome {
		let outcome: QueueOutcome = 'queued';
		while (this.#frames.length > 0 && this.#bytes + frame.body.length > this.#maxBytes) {
			const oldest = this.#frames.findIndex(({isPeriodic}) => isPeriodic);
			if (oldest === -1) {
				return frame.isPeriodic ? 'dropped_oldest' : 'full';
			}

			this.#bytes -= this.#frames[oldest]!.body.length;
			this.#frames.splice(oldest, 1);
			outcome = 'dropped_oldest';
		}

		this.#frames.push(frame);
		this.#bytes += frame.body.length;
		return outcome;
	}

	take(): Uint8Array | undefined {
		const frame = this.#frames.shift();
		this.#bytes -= frame?.body.length ?? 0;
		return frame?.body;
	}
}
