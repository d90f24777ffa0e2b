/**
 * The answer of a chat. Events go out as they come, but the head waits for the
 * first content, so that all that fails before it is retried unseen; usage is
 * reported once, with the end.
 */
import {
	makeEvents, type Answer, type AnswerFrame, type AnswerLimits, type FrameResult,
} from './_answer.ts';
import {StreamSplicer} from './splice.ts';
import type {AnswerEvent, Usage} from '#core';

type HeadEvent = Extract<AnswerEvent, {kind: 'head'}>;
type FrameTakers = Readonly<{[Kind in AnswerFrame['kind']]: (frame: Extract<AnswerFrame, {kind: Kind}>) => FrameResult}>;

const maxToolCalls = 1024;
const emptyAnswersBelieved = 2;

/** Splices the attempts of one chat. */
export class ChatAnswer implements Answer {
	readonly #limits: AnswerLimits;
	readonly #splicer = new StreamSplicer();
	readonly #tools = new Set<number>();
	#target = '';
	#head: HeadEvent | undefined;
	#headSent = false;
	#usage: Usage | undefined;
	#earlierTokens = 0;
	#attemptTokens = 0;
	#emptyEnds: readonly AnswerEvent[] = [];
	#emptyCount = 0;

	readonly #takers: FrameTakers = {
		head: frame => this.#takeHead(frame),
		data: frame => this.#takeData(frame),
		tool: ({call}) => this.#takeTool(call),
		usage: ({usage}) => {
			this.#usage = usage;
			return makeEvents();
		},
		end: ({finish}) => this.#takeEnd(finish),
	};

	constructor(limits: AnswerLimits) {
		this.#limits = limits;
	}

	readOffset(): number {
		return this.#splicer.offset;
	}

	readText(): string {
		return this.#splicer.readText();
	}

	hasBegun(): boolean {
		return this.#headSent;
	}

	beginAttempt(target: string): void {
		this.#target = target;
		this.#head = undefined;
		this.#usage = undefined;
		this.#earlierTokens += this.#attemptTokens;
		this.#attemptTokens = 0;
		this.#splicer.resetHeld();
	}

	takeFrame(frame: AnswerFrame): FrameResult {
		const take: (frame: never) => FrameResult = this.#takers[frame.kind];
		return take(frame as never); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the table is keyed by the frame's own kind
	}

	takeEmpty(): readonly AnswerEvent[] {
		return this.#emptyEnds;
	}

	#takeHead(frame: Extract<AnswerFrame, {kind: 'head'}>): FrameResult {
		this.#head = {
			kind: 'head', target: this.#target, status: frame.status, contentType: frame.contentType, cachedTokens: frame.cachedTokens, replayed: false,
		};
		return makeEvents();
	}

	#takeData(frame: Extract<AnswerFrame, {kind: 'data'}>): FrameResult {
		const before = this.#splicer.offset;
		const bytes = this.#splicer.takeData(frame);
		if (!bytes || !this.#head) {
			return {cause: 'gap'};
		}

		if (this.#splicer.offset > this.#limits.maxBytes) {
			return {cause: 'too_long'};
		}

		this.#attemptTokens += frame.offset + frame.bytes.length > before ? 1 : 0;
		return bytes.length > 0 ? this.#deliver({kind: 'data', bytes}) : makeEvents();
	}

	#takeTool(call: Extract<AnswerEvent, {kind: 'tool'}>['call']): FrameResult {
		if (!this.#head) {
			return {cause: 'gap'};
		}

		if (this.#tools.has(call.index)) {
			return makeEvents();
		}

		this.#tools.add(call.index);
		const bytes = call.arguments.length + call.name.length + call.id.length;
		return this.#tools.size > maxToolCalls || bytes > this.#limits.maxBytes ? {cause: 'too_long'} : this.#deliver({kind: 'tool', call});
	}

	#takeEnd(finish: string): FrameResult {
		const tail = this.#splicer.flush();
		if (!this.#headSent && tail.length === 0) {
			return this.#takeEmptyEnd(finish);
		}

		return this.#deliver(...(tail.length > 0 ? [{kind: 'data', bytes: tail} as const] : []), ...this.#close(finish));
	}

	/** An empty answer is believed once two attempts agree on it; an engine without its model states no weights or no usage. */
	#takeEmptyEnd(finish: string): FrameResult {
		if (!this.#head || !this.#usage) {
			return {cause: 'empty'};
		}

		this.#emptyEnds = [this.#head, ...this.#close(finish)];
		this.#emptyCount++;
		return this.#emptyCount >= emptyAnswersBelieved ? makeEvents(...this.#emptyEnds) : {cause: 'empty'};
	}

	#close(finish: string): readonly AnswerEvent[] {
		return this.#usage ? [{kind: 'usage', usage: this.#sumUsage(this.#usage)}, {kind: 'end', finish}] : [{kind: 'end', finish}];
	}

	/** Adds the tokens of earlier attempts, unless the target resumed and has counted them itself. */
	#sumUsage(usage: Usage): Usage {
		const delivered = this.#earlierTokens + this.#attemptTokens;
		return usage.completionTokens >= delivered ? usage : {...usage, completionTokens: usage.completionTokens + this.#earlierTokens};
	}

	#deliver(...events: readonly AnswerEvent[]): FrameResult {
		if (this.#headSent || !this.#head) {
			return makeEvents(...events);
		}

		this.#headSent = true;
		return makeEvents(this.#head, ...events);
	}
}
