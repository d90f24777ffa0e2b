/**
 * The answer of a plain service. It is collected whole before the caller sees
 * any of it: two runs of a call need not give the same bytes, so parts of them
 * are never joined.
 */
import {
	makeEvents, type Answer, type AnswerFrame, type AnswerLimits, type FrameResult,
} from './_answer.ts';
import type {AnswerEvent} from '#core';

/** Collects the attempts of one call. */
export class CallAnswer implements Answer {
	readonly #limits: AnswerLimits;
	#target = '';
	#events: AnswerEvent[] = [];
	#length = 0;

	constructor(limits: AnswerLimits) {
		this.#limits = limits;
	}

	readOffset(): number {
		return 0;
	}

	readText(): string {
		return '';
	}

	hasBegun(): boolean {
		return false;
	}

	beginAttempt(target: string): void {
		this.#target = target;
		this.#events = [];
		this.#length = 0;
	}

	takeFrame(frame: AnswerFrame): FrameResult {
		switch (frame.kind) {
			case 'head': {
				const {status, contentType} = frame;
				this.#events.push({
					kind: 'head', target: this.#target, status, contentType, cachedTokens: 0, replayed: false,
				});
				return makeEvents();
			}

			case 'data': {
				return this.#takeData(frame);
			}

			case 'end': {
				return this.#events.length === 0 ? {cause: 'empty'} : makeEvents(...this.#events, {kind: 'end', finish: frame.finish});
			}

			case 'tool':
			case 'usage': {
				return makeEvents();
			}
		}
	}

	takeEmpty(): readonly AnswerEvent[] {
		return [];
	}

	#takeData({offset, bytes}: Extract<AnswerFrame, {kind: 'data'}>): FrameResult {
		if (offset !== this.#length || this.#events.length === 0) {
			return {cause: 'gap'};
		}

		this.#length += bytes.length;
		if (this.#length > this.#limits.maxBytes) {
			return {cause: 'too_long'};
		}

		this.#events.push({kind: 'data', bytes});
		return makeEvents();
	}
}
