/**
 * Cuts a stream of server-sent events (WHATWG HTML, section 9.2) into whole
 * events, so that only whole ones are passed on and a stream can be resumed
 * after the last of them.
 */
import {Buffer} from 'node:buffer';

/** A whole event with the blank line that ends it. */
export type StreamEvent = Readonly<{
	bytes: Uint8Array;
	/** Value of its `id` field; absent where it has none. */
	id: string | undefined;
}>;

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** Collects bytes until events are whole. */
export class EventSplitter {
	#held: Uint8Array = new Uint8Array();

	/** Whether bytes of an incomplete event are held. */
	get isInsideEvent(): boolean {
		return this.#held.length > 0;
	}

	/** Takes in bytes, and gives the events that are whole now. */
	push(bytes: Uint8Array): readonly StreamEvent[] {
		this.#held = this.#held.length === 0 ? bytes : Buffer.concat([this.#held, bytes]);
		const events: StreamEvent[] = [];
		for (let end = findEventEnd(this.#held); end !== -1; end = findEventEnd(this.#held)) {
			const event = this.#held.subarray(0, end);
			this.#held = this.#held.subarray(end);
			events.push({bytes: event, id: readId(event)});
		}

		return events;
	}

	/** Forgets held bytes, which a resumed stream sends again. */
	reset(): void {
		this.#held = new Uint8Array();
	}
}

/** @returns the length of the first whole event, or -1 */
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

function readId(event: Uint8Array): string | undefined {
	const match = /(?:^|\n)id:\s?(?<id>[^\r\n]*)/v.exec(Buffer.from(event.buffer, event.byteOffset, event.byteLength).toString('latin1'));
	return match?.groups?.id;
}
