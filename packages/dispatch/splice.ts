/**
 * Joins the data frames of successive attempts into one text without gaps or
 * overlaps. Only whole UTF-8 characters are delivered: bytes of an incomplete
 * last character are held back until the rest arrives, so that another target
 * can always continue from the delivered text alone.
 */
import {Buffer} from 'node:buffer';
import type {TargetFrame} from '#core';

type DataFrame = Extract<TargetFrame, {kind: 'data'}>;

/** Tracks how much of an answer's text was delivered. */
export class StreamSplicer {
	#delivered = Buffer.alloc(0);
	#length = 0;
	#held: Uint8Array = new Uint8Array();

	/** Bytes delivered so far; always the end of a character. */
	get offset(): number {
		return this.#length;
	}

	/** Forgets held bytes, which the next attempt sends again. */
	resetHeld(): void {
		this.#held = new Uint8Array();
	}

	/**
	 * Takes in a data frame.
	 *
	 * @returns the bytes to deliver now, or nothing where the frame leaves a gap or contradicts delivered text
	 */
	takeData(frame: DataFrame): Uint8Array | undefined {
		const received = this.#length + this.#held.length;
		if (frame.offset > received || frame.offset < 0) {
			return undefined;
		}

		const overlap = Math.min(frame.bytes.length, received - frame.offset);
		if (!this.#isSame(frame, overlap)) {
			return undefined;
		}

		const bytes = Buffer.concat([this.#held, frame.bytes.subarray(overlap)]);
		const whole = bytes.length - countIncompleteBytes(bytes);
		this.#held = bytes.subarray(whole);
		return this.#deliver(bytes.subarray(0, whole));
	}

	/** Delivers held bytes at the end of an answer that ends inside a character. */
	flush(): Uint8Array {
		const bytes = this.#held;
		this.resetHeld();
		return this.#deliver(bytes);
	}

	/** The text delivered so far. */
	readText(): string {
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

	#isSame({offset, bytes}: DataFrame, overlap: number): boolean {
		const known = Math.max(0, Math.min(overlap, this.#length - offset));
		const isDeliveredSame = known === 0 || this.#delivered.compare(bytes, 0, known, offset, offset + known) === 0;
		return isDeliveredSame && Buffer.compare(bytes.subarray(known, overlap), this.#held.subarray(offset + known - this.#length, offset + overlap - this.#length)) === 0;
	}
}

const maxTailBytes = 3;

/** Counts the bytes of an incomplete UTF-8 character at the end (RFC 3629, section 3). */
function countIncompleteBytes(bytes: Uint8Array): number {
	for (let back = 1; back <= Math.min(maxTailBytes, bytes.length); back++) {
		const byte = bytes[bytes.length - back]!;
		const isContinuation = byte >= 0x80 && byte < 0xC0;
		if (!isContinuation) {
			return back < countCharacterBytes(byte) ? back : 0;
		}
	}

	return 0;
}

/** Length of the character that a lead byte begins. */
function countCharacterBytes(lead: number): number {
	if (lead < 0xC2 || lead > 0xF4) {
		return 1;
	}

	return lead < 0xE0 ? 2 : (lead < 0xF0 ? 3 : 4);
}
