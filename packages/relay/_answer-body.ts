/**
 * The body of a target's answer: reads it, splits an event stream into events,
 * and records how the body was framed and how far it got.
 */
import {EventSplitter, type StreamEvent} from './event-splitter.ts';
import type {BodyFraming, Exchange, ExchangeFault} from './exchange.ts';

/**
 * How a body ended: as its framing states (`regular`), in the same way but inside an
 * event (`inside_event`), by a fault or an abort (`fault`), or not yet (`open`).
 */
export type BodyEnd = 'regular' | 'inside_event' | 'fault' | 'open';

/** A body as written to the log. */
export type BodyRecord = Readonly<{
	framing: BodyFraming;
	end: BodyEnd;
	bytes: number;
	/** Number of complete events; absent if the body is not an event stream. */
	events?: number;
	/** Number of bytes after the last complete event; absent if there are none. */
	openEventBytes?: number;
}>;

/** The next part of a body, its end, or why it is incomplete. */
export type BodyPart
	= | Readonly<{kind: 'data'; bytes: Uint8Array; /** Events that the bytes complete; empty if the body is not an event stream. */ events: readonly StreamEvent[]}>
		| Readonly<{kind: 'end'}>
		| Readonly<{kind: 'fault'; fault: ExchangeFault}>;

/** What a body needs of its exchange. */
type ReadableExchange = Pick<Exchange, 'framing' | 'readBody' | 'abort'>;

const noEvents: readonly StreamEvent[] = [];

export class AnswerBody {
	readonly #exchange: ReadableExchange;
	readonly #splitter: EventSplitter | undefined;
	#end: BodyEnd = 'open';
	#bytes = 0;
	#events = 0;

	/** @param isEventStream whether the body is a stream of server-sent events */
	constructor(exchange: ReadableExchange, isEventStream: boolean) {
		this.#exchange = exchange;
		this.#splitter = isEventStream ? new EventSplitter() : undefined;
	}

	/** Whether the body received so far ends inside an event. */
	get isInsideEvent(): boolean {
		return this.#splitter !== undefined && this.#splitter.incompleteBytes > 0;
	}

	/** Returns the next part; waits if none has arrived yet. */
	async read(): Promise<BodyPart> {
		const read = await this.#exchange.readBody();
		if (read.kind !== 'data') {
			this.#end = read.kind === 'fault' ? 'fault' : (this.isInsideEvent ? 'inside_event' : 'regular');
			return read;
		}

		const {bytes} = read;
		const events = this.#splitter?.push(bytes) ?? noEvents;
		this.#bytes += bytes.length;
		this.#events += events.length;
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
			...(this.#splitter && {events: this.#events}),
			...(this.isInsideEvent && {openEventBytes: this.#splitter!.incompleteBytes}),
		};
	}
}
