/** Length-prefixed framing of a byte stream: a four-byte big-endian length, then the payload. */
import {Buffer} from 'node:buffer';
import {fail, succeed, type Result} from '#core';

/** Length of the header that precedes each payload, in bytes. */
export const headerBytes = 4;

/** Why a byte stream cannot be read any further. */
export type FramingFault = 'oversized';

/** Returns the payload, which may be given in parts, with its length header in front. */
export function encodeFrame(...parts: readonly Uint8Array[]): Uint8Array {
	const length = parts.reduce((sum, part) => sum + part.length, 0);
	const frame = Buffer.allocUnsafe(headerBytes + length);
	frame.writeUInt32BE(length, 0);
	let offset = headerBytes;
	for (const part of parts) {
		frame.set(part, offset);
		offset += part.length;
	}

	return frame;
}

/** Splits a byte stream into payloads, independently of how the stream is divided into chunks. */
export class FrameReader {
	#chunks: Uint8Array[] = [];
	#bufferedBytes = 0;
	#neededBytes = headerBytes;

	/** Whether part of a frame is buffered, so that a stream ending now would be truncated. */
	get isInsideFrame(): boolean {
		return this.#bufferedBytes > 0;
	}

	addChunk(chunk: Uint8Array): void {
		this.#chunks.push(chunk);
		this.#bufferedBytes += chunk.length;
	}

	/**
	 * Reads the next payload and removes it from the buffer.
	 *
	 * @param maxBytes size of the largest payload accepted
	 * @returns the payload, `undefined` while it is incomplete, or `oversized` as soon as the header states more than `maxBytes`
	 */
	readPayload(maxBytes: number): Result<Uint8Array | undefined, FramingFault> {
		if (this.#bufferedBytes < this.#neededBytes) {
			return succeed(undefined);
		}

		const [first] = this.#chunks;
		const buffered = this.#chunks.length === 1 && Buffer.isBuffer(first) ? first : Buffer.concat(this.#chunks);
		this.#chunks = [buffered];
		const length = buffered.readUInt32BE(0);
		if (length > maxBytes) {
			return fail('oversized');
		}

		this.#neededBytes = headerBytes + length;
		if (buffered.length < this.#neededBytes) {
			return succeed(undefined);
		}

		const payload = buffered.subarray(headerBytes, this.#neededBytes);
		const rest = buffered.subarray(this.#neededBytes);
		this.#chunks = rest.length > 0 ? [rest] : [];
		this.#bufferedBytes = rest.length;
		this.#neededBytes = headerBytes;
		return succeed(payload);
	}
}
