/** Length-prefixed frames on a byte stream: four bytes of length, most significant first, then the payload. */
import {Buffer} from 'node:buffer';
import {fail, succeed, type Result} from '#core';

/** Bytes before each payload. */
export const headerBytes = 4;

/** Why a byte stream cannot be read further. */
export type FramingFault = 'oversized';

/** Puts the length before a payload. */
export function encodeFrame(payload: Uint8Array): Uint8Array {
	const frame = Buffer.allocUnsafe(headerBytes + payload.length);
	frame.writeUInt32BE(payload.length, 0);
	frame.set(payload, headerBytes);
	return frame;
}

/** Cuts a byte stream into payloads, however the stream is split into chunks. */
export class FrameReader {
	#chunks: Uint8Array[] = [];
	#bytes = 0;
	#neededBytes = headerBytes;

	/** Whether the stream would be cut inside a frame if it ended now. */
	get isInsideFrame(): boolean {
		return this.#bytes > 0;
	}

	/** Takes in a chunk. */
	push(chunk: Uint8Array): void {
		this.#chunks.push(chunk);
		this.#bytes += chunk.length;
	}

	/**
	 * Takes the next payload.
	 *
	 * @param maxBytes largest payload accepted
	 * @returns the payload, nothing while it is not whole, or `oversized` as soon as its header announces more
	 */
	take(maxBytes: number): Result<Uint8Array | undefined, FramingFault> {
		if (this.#bytes < this.#neededBytes) {
			return succeed(undefined);
		}

		const [first] = this.#chunks;
		const all = this.#chunks.length === 1 && Buffer.isBuffer(first) ? first : Buffer.concat(this.#chunks);
		this.#chunks = [all];
		const length = all.readUInt32BE(0);
		if (length > maxBytes) {
			return fail('oversized');
		}

		this.#neededBytes = headerBytes + length;
		if (all.length < this.#neededBytes) {
			return succeed(undefined);
		}

		const payload = all.subarray(headerBytes, this.#neededBytes);
		const rest = all.subarray(this.#neededBytes);
		this.#chunks = rest.length > 0 ? [rest] : [];
		this.#bytes = rest.length;
		this.#neededBytes = headerBytes;
		return succeed(payload);
	}
}
