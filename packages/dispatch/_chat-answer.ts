/**
 * The answer of a chat. Events are delivered as they arrive, but the head is
 * held back until the first content, so that an attempt that fails earlier is
 * retried without the caller noticing. Usage is reported once, before the end.
 */
import {
	createFrameResult, type Answer, type AnswerFrame, type AnswerLimits, type FrameResult,
} from './_answer.ts';
import {StreamSplicer} from './stream-splicer.ts';
import type {AnswerEvent, Usage} from '#core';

type HeadEvent = Extract<AnswerEvent, {kind: 'head'}>;
type FrameHandlers = Readonly<{[Kind in AnswerFrame['kind']]: (frame: Extract<AnswerFrame, {kind: Kind}>) => FrameResult}>;

const maxToolCalls = 1024;
const minEmptyAnswers = 2;

/** Joins the attempts of one chat into one answer. */
export class ChatAnswer implements Answer {
	readonly #limits: AnswerLimits;
	readonly #splicer = new StreamSplicer();
	readonly #toolIndexes = new Set<number>();
	#target = '';
	#head: HeadEvent | undefined;
	#isHeadSent = false;
	#usage: Usage | undefined;
	/** Number of tokens that earlier attempts delivered. */
	#earlierTokens = 0;
	/** Number of tokens that this attempt delivered; each data frame with new text counts as one. */
	#attemptTokens = 0;
	#emptyAnswer: readonly AnswerEvent[] = [];
	#emptyCount = 0;

	readonly #handlers: FrameHandlers = {
		head: frame => this.#handleHead(frame),
		data: frame => this.#handleData(frame),
		tool: ({call}) => this.#handleTool(call),
		usage: ({usage}) => {
			this.#usage = usage;
			return createFrameResult();
		},
		end: ({finish}) => this.#handleEnd(finish),
	};

	constructor(limits: AnswerLimits) {
		this.#limits = limits;
	}

	getOffset(): number {
		return this.#splicer.offset;
	}

	getText(): string {
		return this.#splicer.getText();
	}

	hasBegun(): boolean {
		return this.#isHeadSent;
	}

	startAttempt(target: string): void {
		this.#target = target;
		this.#head = undefined;
		this.#usage = undefined;
		this.#earlierTokens += this.#attemptTokens;
		this.#attemptTokens = 0;
		this.#splicer.clearHeldBytes();
	}

	handleFrame(frame: AnswerFrame): FrameResult {
		const handle: (frame: never) => FrameResult = this.#handlers[frame.kind];
		return handle(frame as never); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the table is keyed by the frame's own kind
	}

	getEmptyAnswer(): readonly AnswerEvent[] {
		return this.#isHeadSent ? [] : this.#emptyAnswer;
	}

	#handleHead(frame: Extract<AnswerFrame, {kind: 'head'}>): FrameResult {
		this.#head = {
			kind: 'head', target: this.#target, status: frame.status, contentType: frame.contentType, cachedTokens: frame.cachedTokens, isReplayed: false,
		};
		return createFrameResult();
	}

	#handleData(frame: Extract<AnswerFrame, {kind: 'data'}>): FrameResult {
		const previousOffset = this.#splicer.offset;
		const bytes = this.#splicer.addData(frame);
		if (!bytes || !this.#head) {
			return {cause: 'gap'};
		}

		if (this.#splicer.offset > this.#limits.maxBytes) {
			return {cause: 'too_long'};
		}

		this.#attemptTokens += frame.offset + frame.bytes.length > previousOffset ? 1 : 0;
		return bytes.length > 0 ? this.#deliver({kind: 'data', bytes}) : createFrameResult();
	}

	#handleTool(call: Extract<AnswerEvent, {kind: 'tool'}>['call']): FrameResult {
		if (!this.#head) {
			return {cause: 'gap'};
		}

		if (this.#toolIndexes.has(call.index)) {
			return createFrameResult();
		}

		this.#toolIndexes.add(call.index);
		const bytes = call.arguments.length + call.name.length + call.id.length;
		return this.#toolIndexes.size > maxToolCalls || bytes > this.#limits.maxBytes ? {cause: 'too_long'} : this.#deliver({kind: 'tool', call});
	}

	#handleEnd(finish: string): FrameResult {
		const tail = this.#splicer.flush();
		if (!this.#isHeadSent && tail.length === 0) {
			return this.#handleEmptyEnd(finish);
		}

		return this.#deliver(...(tail.length > 0 ? [{kind: 'data', bytes: tail} as const] : []), ...this.#createEndEvents(finish));
	}

	/**
	 * Accepts an empty answer once two attempts have returned one. An answer
	 * without a head or usage does not count, because an engine that has not loaded
	 * its model states no weights or no usage.
	 */
	#handleEmptyEnd(finish: string): FrameResult {
		if (!this.#head || !this.#usage) {
			return {cause: 'empty'};
		}

		this.#emptyAnswer = [this.#head, ...this.#createEndEvents(finish)];
		this.#emptyCount++;
		return this.#emptyCount >= minEmptyAnswers ? createFrameResult(...this.#emptyAnswer) : {cause: 'empty'};
	}

	#createEndEvents(finish: string): readonly AnswerEvent[] {
		return this.#usage ? [{kind: 'usage', usage: this.#sumUsage(this.#usage)}, {kind: 'end', finish}] : [{kind: 'end', finish}];
	}

	/**
	 * Adds the tokens of earlier attempts, unless the target has counted them already.
	 * A target that resumed the generation states at least as many tokens as were delivered.
	 */
	#sumUsage(usage: Usage): Usage {
		const deliveredTokens = this.#earlierTokens + this.#attemptTokens;
		return usage.completionTokens >= deliveredTokens ? usage : {...usage, completionTokens: usage.completionTokens + this.#earlierTokens};
	}

	#deliver(...events: readonly AnswerEvent[]): FrameResult {
		if (this.#isHeadSent || !this.#head) {
			return createFrameResult(...events);
		}

		this.#isHeadSent = true;
		return createFrameResult(this.#head, ...events);
	}
}
