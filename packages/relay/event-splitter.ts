/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) into
 * events, so that only complete events are forwarded and the stream can be
 * resumed after the last of them.
 */
import {Buffer} from 'node:buffer';

/** A complete event, including the blank line that ends it. */
export type StreamEvent = Readonly<{
	bytes: Uint8Array;
	/** Value of its `id` field, if it has one. */
	id: string | undefined;
	/** `comment` has no field but a retry time, and `text` nothing that belongs to a stream of events. */
	kind: 'event' | 'comment' | 'text';
}>;

/** A field that the receiver of an event is given; a byte order mark may come before the first one. */
const fieldPattern = /(?:^(?:\u00EF\u00BB\u00BF)?|[\r\n])(?:data|event|id)(?=[:\r\n])/v;

/** A comment or a retry time, or nothing but blank lines. */
const commentPattern = /(?:^(?:\u00EF\u00BB\u00BF)?|[\r\n])(?::|retry(?=[:\r\n]))|^[\r\n]*$/v;

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** Buffers bytes until an event is complete. */
export class EventSplitter {
	#incomplete: Uint8Array = new Uint8Array();

	/** Number of buffered bytes: those of an incomplete event. */
	get incompleteBytes(): number {
		return this.#incomplete.length;
	}

	/** Adds bytes and returns the events that they complete. */
	push(bytes: Uint8Array): readonly StreamEvent[] {
		this.#incomplete = this.#incomplete.length === 0 ? bytes : Buffer.concat([this.#incomplete, bytes]);
		const events: StreamEvent[] = [];
		for (let end = findEventEnd(this.#incomplete); end !== -1; end = findEventEnd(this.#incomplete)) {
			const event = this.#incomplete.subarray(0, end);
			this.#incomplete = this.#incomplete.subarray(end);
			const text = Buffer.from(event.buffer, event.byteOffset, event.byteLength).toString('latin1');
			events.push({bytes: event, id: parseId(text), kind: classifyEvent(text)});
		}

		return events;
	}
}

/** Returns the length of the first complete event, or -1 if there is none. */
function findEventEnd(bytes: Uint8Array): number {
	for (let at = bytes.indexOf(lineFeed); at !== -1; at = bytes.indexOf(lineFeed, at + 1)) {
		const next = bytes[at + 1];
		if (next === lineFeed) {
			return at + 2;
		}

		if (next === carriageReturn && bytes[at + 2] === lineFeed) {
			return at + 3;
		}
	}

	return -1;
}

function parseId(text: string): string | undefined {
	return /(?:^|\n)id:\s?(?<id>[^\r\n]*)/v.exec(text)?.groups?.id;
}

function classifyEvent(text: string): StreamEvent['kind'] {
	if (fieldPattern.test(text)) {
		return 'event';
	}

	return commentPattern.test(text) ? 'comment' : 'text';
}
