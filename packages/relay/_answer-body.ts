/**
 * The body of a target's answer: reads it, splits an event stream into events,
 * and decides whether it is complete. The end of a body that its framing marks is
 * no proof for a stream: a target that breaks off may close its connection, and
 * a body without a length and chunks ends in the same way when it is complete.
 * Such a stream is complete only after a whole event.
 */
import {EventSplitter, type StreamEvent} from './event-splitter.ts';
import type {BodyFraming, Exchange} from './exchange.ts';

/**
 * How a body ended: complete (`regular`), as its framing states but inside an event
 * (`inside_event`) or before the first one (`no_event`), by a fault or an abort
 * (`fault`), or not yet (`open`).
 */
export type BodyEnd = 'regular' | 'inside_event' | 'no_event' | 'fault' | 'open';

/** A body as written to the log. */
export type BodyRecord = Readonly<{
	framing: BodyFraming;
	end: BodyEnd;
	bytes: number;
	/** Number of complete events; absent if the body is not an event stream. */
	events?: number;
	/** Number of bytes after the last complete event; absent if there are none. */
	openEventBytes?: number;
	/** Time from the first complete event, or in other bodies the first bytes, to the last bytes, in milliseconds. */
	spanMs: number;
}>;

/** The next part of a body, the end of a complete body, or why the body is incomplete. */
export type BodyPart
	= | Readonly<{kind: 'data'; bytes: Uint8Array; /** Events that the bytes complete; empty if the body is not an event stream. */ events: readonly StreamEvent[]}>
		| Readonly<{kind: 'end'}>
		| Readonly<{kind: 'fault'; detail: string}>;

/** What a body needs of its exchange. */
type ReadableExchange = Pick<Exchange, 'framing' | 'readBody' | 'abort' | 'lastReceivedMs'>;

/** Maximum size of an event, in bytes; it bounds the memory that a target's incomplete event takes. */
const maxEventBytes = 1_048_576;

/** Maximum size of a body, in bytes: far more than the longest answer, for a target that does not stop sending. */
const maxBodyBytes = 33_554_432;

/** Details of faults that the framing of the body does not show. */
const endFaults: Readonly<Partial<Record<BodyEnd, string>>> = {
	inside_event: 'the stream ended inside an event',
	no_event: 'the stream ended with its connection before its first event',
};

const noEvents: readonly StreamEvent[] = [];

export class AnswerBody {
	readonly #exchange: ReadableExchange;
	readonly #splitter: EventSplitter | undefined;
	#end: BodyEnd = 'open';
	#bytes = 0;
	#events = 0;
	/** Time at which the first complete event, or in other bodies the first bytes, had arrived, in milliseconds. */
	#firstMs: number | undefined;

	/** @param isEventStream whether the body is a stream of server-sent events */
	constructor(exchange: ReadableExchange, isEventStream: boolean) {
		this.#exchange = exchange;
		this.#splitter = isEventStream ? new EventSplitter() : undefined;
	}

	/** Returns the next part; waits if none has arrived yet. */
	async read(): Promise<BodyPart> {
		const read = await this.#exchange.readBody();
		if (read.kind === 'fault') {
			this.#end = 'fault';
			return {kind: 'fault', detail: read.fault.detail};
		}

		if (read.kind === 'end') {
			this.#end = this.#classifyEnd();
			const detail = endFaults[this.#end];
			return detail === undefined ? read : {kind: 'fault', detail};
		}

		const {bytes} = read;
		const events = this.#splitter?.push(bytes) ?? noEvents;
		this.#bytes += bytes.length;
		this.#events += events.length;
		if (events.length > 0 || !this.#splitter) {
			this.#firstMs ??= this.#exchange.lastReceivedMs;
		}

		if (this.#openEventBytes > maxEventBytes) {
			// The next read returns the fault.
			this.#exchange.abort(`an event is longer than ${maxEventBytes} bytes`);
		} else if (this.#bytes > maxBodyBytes) {
			this.#exchange.abort(`the answer is longer than ${maxBodyBytes} bytes`);
		}

		return {kind: 'data', bytes, events};
	}

	/** Aborts the exchange; `detail` becomes the detail of the fault. */
	abort(detail: string): void {
		this.#exchange.abort(detail);
	}

	/** Describes what was received so far. */
	describe(): BodyRecord {
		return {
			framing: this.#exchange.framing, end: this.#end, bytes: this.#bytes,
			spanMs: this.#firstMs === undefined ? 0 : Math.round(this.#exchange.lastReceivedMs - this.#firstMs),
			...(this.#splitter && {events: this.#events}),
			...(this.#openEventBytes > 0 && {openEventBytes: this.#openEventBytes}),
		};
	}

	get #openEventBytes(): number {
		return this.#splitter?.incompleteBytes ?? 0;
	}

	/** Classifies an end that the framing marks. */
	#classifyEnd(): BodyEnd {
		if (this.#openEventBytes > 0) {
			return 'inside_event';
		}

		return this.#splitter && this.#events === 0 && this.#exchange.framing === 'connection' ? 'no_event' : 'regular';
	}
}
