/**
 * A bounded queue of frames waiting to be written to a link. When it is full, it
 * drops the oldest periodic frames, because their senders repeat them. Other
 * frames are never dropped: if no periodic frame can make room, the queue refuses
 * the new frame and its owner closes the link.
 */

/** A frame waiting to be written. */
export type QueuedFrame = Readonly<{body: Uint8Array; isPeriodic: boolean}>;

/** The result of adding a frame. `dropped_oldest` also stands for a new periodic frame that was itself dropped. */
export type QueueOutcome = 'queued' | 'dropped_oldest' | 'full';

/** A first-in, first-out queue of frames with a limit in bytes. */
export class SendQueue {
	readonly #frames: QueuedFrame[] = [];
	#queuedBytes = 0;
	readonly #maxBytes: number;

	/** @param maxBytes maximum number of queued bytes; a single longer frame is accepted if the queue is empty */
	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	get size(): number {
		return this.#frames.length;
	}

	add(frame: QueuedFrame): QueueOutcome {
		let outcome: QueueOutcome = 'queued';
		while (this.#frames.length > 0 && this.#queuedBytes + frame.body.length > this.#maxBytes) {
			const oldestPeriodicIndex = this.#frames.findIndex(({isPeriodic}) => isPeriodic);
			if (oldestPeriodicIndex === -1) {
				return frame.isPeriodic ? 'dropped_oldest' : 'full';
			}

			this.#queuedBytes -= this.#frames[oldestPeriodicIndex]!.body.length;
			this.#frames.splice(oldestPeriodicIndex, 1);
			outcome = 'dropped_oldest';
		}

		this.#frames.push(frame);
		this.#queuedBytes += frame.body.length;
		return outcome;
	}

	removeFirst(): Uint8Array | undefined {
		const frame = this.#frames.shift();
		this.#queuedBytes -= frame?.body.length ?? 0;
		return frame?.body;
	}
}
