/** Joins the frames of successive attempts into one answer without gaps or overlaps. */
import type {TargetFrame, ToolCall} from '#core';

type DataFrame = Extract<TargetFrame, {kind: 'data'}>;

/** Tracks how much of an answer was delivered. */
export class StreamSplicer {
	#offset = 0;
	readonly #chunks: Uint8Array[] = [];
	readonly #tools = new Set<number>();

	/** Bytes delivered so far. */
	get offset(): number {
		return this.#offset;
	}

	/**
	 * Takes in a data frame.
	 *
	 * @returns the bytes not delivered yet, or nothing where the frame leaves a gap
	 */
	takeData(frame: DataFrame): Uint8Array | undefined {
		if (frame.offset > this.#offset) {
			return undefined;
		}

		const bytes = frame.bytes.subarray(Math.min(frame.bytes.length, this.#offset - frame.offset));
		this.#offset += bytes.length;
		this.#chunks.push(bytes);
		return bytes;
	}

	/** @returns whether this tool call was not delivered before */
	takeTool(call: ToolCall): boolean {
		const isNew = !this.#tools.has(call.index);
		this.#tools.add(call.index);
		return isNew;
	}

	/** The text delivered so far, less an incomplete last character. */
	readText(): string {
		const decoder = new TextDecoder();
		return this.#chunks.map(chunk => decoder.decode(chunk, {stream: true})).join('');
	}
}
