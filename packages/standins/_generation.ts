/** One request on a stand-in engine: the frames that it has emitted, and the connection that reads them. */
import {Channel, type TargetCall, type TargetFrame} from '#core';
import type {Clock} from '#clock';

/** Stage of a generation. */
export type GenerationStage = 'queued' | 'prefill' | 'decode' | 'done';

/** A generation that may outlive its connection. */
export class Generation {
	stage: GenerationStage = 'queued';
	readonly call: TargetCall;
	readonly totalTokens: number;
	readonly #frames: TargetFrame[] = [];
	readonly #abortController = new AbortController();
	#attemptId: string;
	#sink: Channel<TargetFrame> | undefined;

	constructor(call: TargetCall) {
		this.call = call;
		this.totalTokens = call.pieceTokens.reduce((sum, count) => sum + count, 0);
		this.#attemptId = call.attemptId;
	}

	/** Signal that fires when the generation is aborted. */
	get signal(): AbortSignal {
		return this.#abortController.signal;
	}

	get isAborted(): boolean {
		return this.#abortController.signal.aborted;
	}

	/** Whether a reader is connected, as far as the engine knows. */
	get isConnected(): boolean {
		return this.#sink !== undefined;
	}

	/** Connects a reader, which replaces the current one, and sends it all frames after its resume offset. */
	connect(call: TargetCall): Channel<TargetFrame> {
		const sink = new Channel<TargetFrame>();
		this.#sink = sink;
		this.#attemptId = call.attemptId;
		for (const frame of this.#frames) {
			if (frame.kind !== 'data' || frame.offset + frame.bytes.length > call.resumeOffset) {
				this.#send(frame);
			}
		}

		return sink;
	}

	/** Stores a frame for resumption and sends it to the reader. */
	emit(frame: TargetFrame): void {
		this.#frames.push(frame);
		this.#send(frame);
	}

	/** Resets the connection; the generation continues. */
	resetConnection(): void {
		this.#sink?.push({kind: 'fault', outcome: 'unknown', detail: 'ECONNRESET'});
		this.#sink?.close();
		this.#sink = undefined;
	}

	/** Sends nothing more on the current connection, which stays open. */
	silenceConnection(): void {
		this.#sink = undefined;
	}

	/** Closes a reader's connection. Aborts the generation if that reader was the current one. */
	closeReader(sink: Channel<TargetFrame>): void {
		if (this.#sink === sink) {
			this.#sink = undefined;
			this.abort();
		}

		sink.close();
	}

	abort(): void {
		this.#abortController.abort();
	}

	/** Aborts the generation unless a reader connects within `holdMs`. */
	abortUnlessResumed(clock: Clock, holdMs: number): void {
		clock.setTimer(holdMs, () => {
			if (!this.#sink) {
				this.abort();
			}
		});
	}

	#send(frame: TargetFrame): void {
		this.#sink?.push(frame.kind === 'fault' ? frame : {...frame, attemptId: this.#attemptId});
		if (frame.kind === 'end' || frame.kind === 'fault') {
			this.#sink?.close();
		}
	}
}
