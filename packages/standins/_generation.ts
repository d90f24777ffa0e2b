/** One request on a stand-in engine: what it has produced, and the connection that reads it. */
import {Channel, type TargetCall, type TargetFrame} from '#core';
import type {Clock} from '#clock';

/** Where a generation stands. */
export type GenerationStage = 'queued' | 'prefill' | 'decode' | 'done';

/** A generation that may outlive its connection. */
export class Generation {
	stage: GenerationStage = 'queued';
	readonly call: TargetCall;
	readonly totalTokens: number;
	readonly #produced: TargetFrame[] = [];
	readonly #stopped = new AbortController();
	#attemptId: string;
	#sink: Channel<TargetFrame> | undefined;

	constructor(call: TargetCall) {
		this.call = call;
		this.totalTokens = call.pieceTokens.reduce((sum, count) => sum + count, 0);
		this.#attemptId = call.attemptId;
	}

	/** Aborts when the generation is cancelled. */
	get signal(): AbortSignal {
		return this.#stopped.signal;
	}

	get cancelled(): boolean {
		return this.#stopped.signal.aborted;
	}

	/** Whether a connection reads the answer, as far as the engine knows. */
	get connected(): boolean {
		return this.#sink !== undefined;
	}

	/** Connects a reader and sends it all frames after its offset. */
	connect(call: TargetCall): Channel<TargetFrame> {
		const sink = new Channel<TargetFrame>();
		this.#sink = sink;
		this.#attemptId = call.attemptId;
		for (const frame of this.#produced) {
			if (frame.kind !== 'data' || frame.offset + frame.bytes.length > call.resumeOffset) {
				this.#deliver(frame);
			}
		}

		return sink;
	}

	/** Keeps a frame for resumption and sends it to the reader. */
	produce(frame: TargetFrame): void {
		this.#produced.push(frame);
		this.#deliver(frame);
	}

	/** Resets the connection; the generation goes on. */
	cut(): void {
		this.#sink?.push({kind: 'fault', outcome: 'unknown', detail: 'ECONNRESET'});
		this.#sink?.close();
		this.#sink = undefined;
	}

	/** Sends nothing more on the present connection. */
	silence(): void {
		this.#sink = undefined;
	}

	/** Closes a reader's connection; cancels the generation when it was the present one. */
	closeReader(sink: Channel<TargetFrame>): void {
		if (this.#sink === sink) {
			this.#sink = undefined;
			this.cancel();
		}

		sink.close();
	}

	cancel(): void {
		this.#stopped.abort();
	}

	/** Cancels the generation unless a reader connects within the time. */
	expire(clock: Clock, holdMs: number): void {
		clock.after(holdMs, () => {
			if (!this.#sink) {
				this.cancel();
			}
		});
	}

	#deliver(frame: TargetFrame): void {
		this.#sink?.push(frame.kind === 'fault' ? frame : {...frame, attemptId: this.#attemptId});
		if (frame.kind === 'end' || frame.kind === 'fault') {
			this.#sink?.close();
		}
	}
}
