/**
 * Holds received bytes at a cost that goes by the number of bytes, however small
 * the parts are in which they arrive. A part that was received costs an object of
 * about 100 bytes or more, and keeps the whole buffer in which it was read, so
 * small parts are copied into blocks.
 */
import {Buffer} from 'node:buffer';

/** Bounds of the size of a block, in bytes. Between them, a block is as large as what is held, so that at most half of the blocks is unused. */
const minBlockBytes = 1024;
const maxBlockBytes = 65_536;

/** Size from which a part is held as it is if it fills at least half of its buffer, in bytes. */
const minKeptBytes = 4096;

/** A queue of bytes. */
export class ByteBlocks {
	/** Filled blocks and parts that are held as they are. */
	#blocks: Uint8Array[] = [];
	/** The block that is being filled, if it is not full. */
	#open: Uint8Array | undefined;
	#openLength = 0;
	#length = 0;
	#reservedBytes = 0;

	/** Number of bytes that are held. */
	get length(): number {
		return this.#length;
	}

	/** Memory that holds them, in bytes. */
	get reservedBytes(): number {
		return this.#reservedBytes;
	}

	/** Adds the bytes of a part at the end. */
	add(part: Uint8Array): void {
		if (part.length === 0) {
			return;
		}

		if (this.#length === 0 || (part.length >= minKeptBytes && part.length * 2 >= part.buffer.byteLength)) {
			this.#closeBlock();
			this.#reservedBytes += part.buffer.byteLength;
			this.#blocks.push(part);
			this.#length += part.length;
			return;
		}

		for (let start = 0; start < part.length;) {
			this.#open ??= this.#createBlock();
			const copied = part.subarray(start, start + this.#open.length - this.#openLength);
			this.#open.set(copied, this.#openLength);
			this.#openLength += copied.length;
			this.#length += copied.length;
			start += copied.length;
			if (this.#openLength === this.#open.length) {
				this.#closeBlock();
			}
		}
	}

	/** Removes the first bytes, as many as are held in one piece; `undefined` if there are none. */
	shift(): Uint8Array | undefined {
		if (this.#blocks.length === 0) {
			this.#closeBlock();
		}

		const block = this.#blocks.shift();
		if (block) {
			this.#length -= block.length;
			this.#reservedBytes -= block.buffer.byteLength;
		}

		return block;
	}

	/** Returns all bytes in one piece, and removes them. */
	takeAll(): Uint8Array {
		this.#closeBlock();
		const bytes = this.#blocks.length === 1 ? this.#blocks[0]! : Buffer.concat(this.#blocks, this.#length);
		this.#blocks = [];
		this.#length = 0;
		this.#reservedBytes = 0;
		return bytes;
	}

	#createBlock(): Uint8Array {
		const size = Math.min(maxBlockBytes, Math.max(minBlockBytes, this.#length));
		this.#reservedBytes += size;
		this.#openLength = 0;
		return Buffer.allocUnsafeSlow(size);
	}

	#closeBlock(): void {
		if (this.#open) {
			this.#blocks.push(this.#open.subarray(0, this.#openLength));
			this.#open = undefined;
		}
	}
}
