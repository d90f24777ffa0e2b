/**
 * Joins the data frames of successive attempts into one text without gaps or
 * overlaps. Only whole UTF-8 characters are delivered: the bytes of an
 * incomplete last character are held back until the rest arrives, so that
 * another target can continue from the delivered text alone.
 */
import {Buffer} from 'node:buffer';
import type {TargetFrame} from '#core';

type DataFrame = Extract<TargetFrame, {kind: 'data'}>;

/** Joins the data frames of one answer and keeps its delivered text. */
export class StreamSplicer {
	/** Holds the delivered text in its first `#length` bytes. */
	#delivered = Buffer.alloc(0);
	#length = 0;
	#heldBytes: Uint8Array = new Uint8Array();

	/** Number of bytes delivered so far; always at a character boundary until {@link StreamSplicer.flush}. */
	get offset(): number {
		return this.#length;
	}

	/** Discards held-back bytes, which the next attempt sends again. */
	clearHeldBytes(): void {
		this.#heldBytes = new Uint8Array();
	}

	/**
	 * Adds a data frame.
	 *
	 * @returns the bytes to deliver now, or `undefined` if the frame leaves a gap or contradicts received text
	 */
	addData(frame: DataFrame): Uint8Array | undefined {
		const receivedLength = this.#length + this.#heldBytes.length;
		if (frame.offset > receivedLength || frame.offset < 0) {
			return undefined;
		}

		const overlap = Math.min(frame.bytes.length, receivedLength - frame.offset);
		if (!this.#isOverlapEqual(frame, overlap)) {
			return undefined;
		}

		const bytes = Buffer.concat([this.#heldBytes, frame.bytes.subarray(overlap)]);
		const wholeLength = bytes.length - countIncompleteBytes(bytes);
		this.#heldBytes = bytes.subarray(wholeLength);
		return this.#deliver(bytes.subarray(0, wholeLength));
	}

	/** Delivers the held-back bytes of an answer that ends inside a character. */
	flush(): Uint8Array {
		const bytes = this.#heldBytes;
		this.clearHeldBytes();
		return this.#deliver(bytes);
	}

	/** Returns the text delivered so far. */
	getText(): string {
		return this.#delivered.toString('utf8', 0, this.#length);
	}

	#deliver(bytes: Uint8Array): Uint8Array {
		const length = this.#length + bytes.length;
		if (length > this.#delivered.length) {
			const grown = Buffer.alloc(Math.max(1024, length * 2));
			this.#delivered.copy(grown, 0, 0, this.#length);
			this.#delivered = grown;
		}

		this.#delivered.set(bytes, this.#length);
		this.#length = length;
		return bytes;
	}

	/** Compares the first `overlap` bytes of a frame with the received text, which is the delivered text followed by the held-back bytes. */
	#isOverlapEqual({offset, bytes}: DataFrame, overlap: number): boolean {
		const deliveredOverlap = Math.max(0, Math.min(overlap, this.#length - offset));
		const isDeliveredEqual = deliveredOverlap === 0 || this.#delivered.compare(bytes, 0, deliveredOverlap, offset, offset + deliveredOverlap) === 0;
		return isDeliveredEqual && Buffer.compare(bytes.subarray(deliveredOverlap, overlap), this.#heldBytes.subarray(offset + deliveredOverlap - this.#length, offset + overlap - this.#length)) === 0;
	}
}

const maxIncompleteBytes = 3;

/** Counts the bytes of an incomplete UTF-8 character at the end of `bytes` (RFC 3629, section 3). */
function countIncompleteBytes(bytes: Uint8Array): number {
	for (let tailLength = 1; tailLength <= Math.min(maxIncompleteBytes, bytes.length); tailLength++) {
		const byte = bytes[bytes.length - tailLength]!;
		const isContinuation = byte >= 0x80 && byte < 0xC0;
		if (!isContinuation) {
			return tailLength < countCharacterBytes(byte) ? tailLength : 0;
		}
	}

	return 0;
}

/** Returns the length of the UTF-8 character that begins with `lead`; 1 for an invalid lead byte. */
function countCharacterBytes(lead: number): number {
	if (lead < 0xC2 || lead > 0xF4) {
		return 1;
	}

	return lead < 0xE0 ? 2 : (lead < 0xF0 ? 3 : 4);
}
