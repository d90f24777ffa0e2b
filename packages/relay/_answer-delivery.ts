/**
 * Delivers the answer to one request to its caller, over all attempts. A small
 * answer that is not a stream is collected whole before it is sent, so that
 * another attempt can replace it if it is incomplete. A stream is forwarded event
 * by event as it arrives.
 */
import {Buffer} from 'node:buffer';
import type {RelayCaller} from './caller.ts';
import type {AnswerBody} from './_answer-body.ts';
import type {TargetAnswer} from './dialect.ts';
import type {StreamEvent} from './event-splitter.ts';
import {findHeader, type HeaderLines} from './exchange.ts';
import type {Clock} from '#clock';
import type {RelayRequest} from '#core';
import {ByteBlocks} from '#http';

/** Maximum size of an answer that is collected whole, in bytes; a longer one is forwarded as it arrives. */
const maxCollectedBytes = 262_144;

const streamMediaType = 'text/event-stream';

/** Delivery of the answer to one caller. */
export class AnswerDelivery {
	/** Time at which the head of the answer was sent to the caller, in milliseconds; `undefined` before that. */
	headSentMs: number | undefined;
	/** Id of the last event that was sent to the caller. */
	lastEventId: string | undefined;
	readonly #caller: RelayCaller;
	readonly #clock: Clock;
	readonly #isResumable: boolean;
	readonly #isStream: boolean;
	/** Id of the last event that the caller has from an earlier request, if it resumes a stream. */
	readonly #resumedEventId: string | undefined;
	/** Head that the caller was sent. */
	#sentHead: TargetAnswer | undefined;
	/** Whether the caller was sent an event, and one without an id. */
	#hasSentEvent = false;
	#hasSentEventWithoutId = false;
	#errorAnswer: Readonly<{answer: TargetAnswer; body: Uint8Array}> | undefined;

	constructor({route, lastEventId}: RelayRequest, caller: RelayCaller, clock: Clock) {
		this.#caller = caller;
		this.#clock = clock;
		this.#isStream = route.isStream;
		this.#isResumable = route.isStream && route.retryPolicy === 'resume';
		this.#resumedEventId = this.#isResumable ? lastEventId : undefined;
	}

	/** Whether a part of the answer, at least its head, was sent to the caller. */
	get hasStarted(): boolean {
		return this.headSentMs !== undefined;
	}

	/** Whether another attempt may still give the caller a complete answer: nothing was sent yet, or the stream can be resumed after its last event. */
	get canContinue(): boolean {
		return !this.hasStarted || (this.#isResumable && this.lastEventId !== undefined);
	}

	/** Returns why the answer cannot continue what the caller was sent: it is of another kind. There is no reason if nothing was sent yet. */
	explainMismatch(answer: TargetAnswer): string | undefined {
		if (!this.#sentHead) {
			return undefined;
		}

		if (answer.status !== this.#sentHead.status) {
			return `the status ${answer.status} where a started answer should go on`;
		}

		const mediaType = getMediaType(answer.headers);
		if (mediaType !== undefined && mediaType !== (getMediaType(this.#sentHead.headers) ?? streamMediaType)) {
			return `the media type ${mediaType} where a started answer should go on`;
		}

		return findHeader(answer.headers, 'content-encoding') === findHeader(this.#sentHead.headers, 'content-encoding') ? undefined : 'another encoding where a started answer should go on';
	}

	/** Stores a target's error answer, which is delivered if no other attempt succeeds. */
	setErrorAnswer(answer: TargetAnswer, body: Uint8Array): void {
		this.#errorAnswer = {answer, body};
	}

	/** Delivers the stored error answer. Returns `false` if there is none or another answer has started. */
	deliverErrorAnswer(): boolean {
		if (!this.#errorAnswer || this.hasStarted) {
			return false;
		}

		const {answer, body} = this.#errorAnswer;
		this.#sendHead(answer, body.length);
		this.#caller.write(body);
		this.#caller.finish();
		return true;
	}

	/**
	 * Delivers the answer of one attempt.
	 *
	 * @param handleStreamStart called before the first event of a resumable stream is sent
	 * @returns `undefined` once the caller was sent all of it, else why it is incomplete
	 */
	async deliver(answer: TargetAnswer, body: AnswerBody, handleStreamStart: () => void): Promise<string | undefined> {
		return this.#isStream && answer.status < 300 ? this.#sendStream(answer, body, handleStreamStart) : this.#sendCollected(answer, body);
	}

	async #sendStream(answer: TargetAnswer, body: AnswerBody, handleStreamStart: () => void): Promise<string | undefined> {
		const isContinuation = this.hasStarted;
		for (;;) {
			const read = await body.read();
			if (read.kind === 'fault') {
				return read.detail;
			}

			if (read.kind === 'end') {
				this.#sendHead(answer, undefined);
				this.#caller.finish();
				return undefined;
			}

			const {events, fault} = this.#filterEvents(read.events, isContinuation);
			const bytes = concatEvents(events);
			if (bytes.length > 0) {
				if (this.#isResumable && !this.hasStarted) {
					handleStreamStart();
				}

				this.#sendHead(answer, undefined);
				await this.#write(bytes);
			}

			if (fault !== undefined) {
				body.abort(fault);
				return fault;
			}
		}
	}

	/** Returns the events that the caller is to be sent, without those that a resumed stream repeats, up to the first that does not belong to the stream. */
	#filterEvents(events: readonly StreamEvent[], isContinuation: boolean): Readonly<{events: readonly StreamEvent[]; fault?: string}> {
		const newEvents: StreamEvent[] = [];
		for (const event of events) {
			const {id, kind} = event;
			if (kind === 'text' && (this.#hasSentEvent || this.#resumedEventId !== undefined)) {
				return {events: newEvents, fault: 'the stream contains text that is no event'};
			}

			if (kind === 'event' && id === undefined && isContinuation && !this.#hasSentEventWithoutId) {
				return {events: newEvents, fault: 'the continued stream contains an event without an id'};
			}

			if (!this.#isResumable || id === undefined || isLater(id, this.lastEventId ?? this.#resumedEventId)) {
				this.lastEventId = this.#isResumable ? id ?? this.lastEventId : undefined;
				this.#hasSentEvent ||= kind === 'event';
				this.#hasSentEventWithoutId ||= kind === 'event' && id === undefined;
				newEvents.push(event);
			}
		}

		return {events: newEvents};
	}

	async #sendCollected(answer: TargetAnswer, body: AnswerBody): Promise<string | undefined> {
		const collected = new ByteBlocks();
		let length = 0;
		for (;;) {
			const read = await body.read();
			if (read.kind === 'fault') {
				return read.detail;
			}

			if (read.kind === 'end') {
				break;
			}

			collected.add(read.bytes);
			length += read.bytes.length;
			if (length > maxCollectedBytes) {
				this.#sendHead(answer, undefined);
				await this.#write(collected.takeAll());
			}
		}

		this.#sendHead(answer, length);
		await this.#write(collected.takeAll());
		this.#caller.finish();
		return undefined;
	}

	#sendHead(answer: TargetAnswer, bodyBytes: number | undefined): void {
		if (!this.hasStarted) {
			this.headSentMs = this.#clock.now();
			this.#sentHead = answer;
			this.#caller.sendHead(answer.status, answer.headers, bodyBytes);
		}
	}

	async #write(bytes: Uint8Array): Promise<void> {
		if (bytes.length > 0 && !this.#caller.write(bytes)) {
			await this.#caller.waitForDrain();
		}
	}
}

/** Returns the media type without its parameters, in lower case; `undefined` if none is stated. */
function getMediaType(headers: HeaderLines): string | undefined {
	return findHeader(headers, 'content-type')?.split(';', 1)[0]!.trim().toLowerCase();
}

function concatEvents(events: readonly StreamEvent[]): Uint8Array {
	return events.length === 1 ? events[0]!.bytes : Buffer.concat(events.map(({bytes}) => bytes));
}

/** Compares event ids, which ascend; an id that is not a number always counts as later. */
function isLater(id: string, last: string | undefined): boolean {
	return last === undefined || !(Number(id) <= Number(last));
}
