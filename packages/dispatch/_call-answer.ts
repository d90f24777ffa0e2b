/**
 * The answer of a plain service. It is buffered whole before any of it is
 * delivered: two runs of a call may return different bytes, so parts of
 * different attempts are never joined.
 */
import {
	createFrameResult, type Answer, type AnswerFrame, type AnswerLimits, type FrameResult,
} from './_answer.ts';
import type {AnswerEvent} from '#core';

/** Buffers the answer to one call; each attempt starts from an empty buffer. */
export class CallAnswer implements Answer {
	readonly #limits: AnswerLimits;
	#target = '';
	#events: AnswerEvent[] = [];
	#length = 0;

	constructor(limits: AnswerLimits) {
		this.#limits = limits;
	}

	getOffset(): number {
		return 0;
	}

	getText(): string {
		return '';
	}

	hasBegun(): boolean {
		return false;
	}

	startAttempt(target: string): void {
		this.#target = target;
		this.#events = [];
		this.#length = 0;
	}

	handleFrame(frame: AnswerFrame): FrameResult {
		switch (frame.kind) {
			case 'head': {
				const {status, contentType} = frame;
				this.#events.push({
					kind: 'head', target: this.#target, status, contentType, cachedTokens: 0, isReplayed: false,
				});
				return createFrameResult();
			}

			case 'data': {
				return this.#handleData(frame);
			}

			case 'end': {
				return this.#events.length === 0 ? {cause: 'empty'} : createFrameResult(...this.#events, {kind: 'end', finish: frame.finish});
			}

			case 'tool':
			case 'usage': {
				return createFrameResult();
			}
		}
	}

	getEmptyAnswer(): readonly AnswerEvent[] {
		return [];
	}

	#handleData({offset, bytes}: Extract<AnswerFrame, {kind: 'data'}>): FrameResult {
		if (offset !== this.#length || this.#events.length === 0) {
			return {cause: 'gap'};
		}

		this.#length += bytes.length;
		if (this.#length > this.#limits.maxBytes) {
			return {cause: 'too_long'};
		}

		this.#events.push({kind: 'data', bytes});
		return createFrameResult();
	}
}
