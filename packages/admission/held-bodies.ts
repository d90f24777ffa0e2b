/**
 * Bounds the memory of what an instance holds for callers: request bodies that are
 * still arriving, those of requests in progress, as another attempt may need them,
 * and requests that wait on their connection for the responses before them.
 * A part of the room is kept for small bodies, which would otherwise be refused
 * whenever a few large ones are in progress.
 */
import type {Clock} from '#clock';
import type {Random} from '#core';
import type {Telemetry} from '#telemetry';

export type HeldBodiesDependencies = Readonly<{clock: Clock; random: Random; telemetry: Pick<Telemetry, 'set'>}>;

/** Options of {@link HeldBodies}. */
export type HeldBodiesOptions = Readonly<{
	/** Maximum number of bytes that are held, unless a single body is longer. */
	maxBytes: number;
}>;

/** The body of one request. */
export type HeldBody = Readonly<{
	/**
	 * Reserves room for a number of bytes, in place of what was reserved before.
	 *
	 * @param leftMs time for which the caller still waits, in milliseconds
	 * @returns the time after which the caller should retry, in milliseconds, if there is no room
	 */
	admit(bytes: number, leftMs: number): number | undefined;
	/** Frees the room; further calls have no effect. */
	release(): void;
}>;

/** Maximum size of a body that may use all of the room, in bytes. */
const maxSmallBytes = 65_536;

/** Fraction of the room that larger bodies may use. */
const largeShare = 0.75;

/** Fraction of the room that requests may use that wait on their connections. */
const waitingShare = 0.25;

/** Time for which a body is expected to be held before any was released, in milliseconds. */
const initialHoldMs = 1000;

/** Weight of the latest body in the average time for which bodies are held. */
const holdWeight = 0.25;

/** Bounds of the time after which a refused caller should retry, in milliseconds. */
const minRetryAfterMs = 100;
const maxRetryAfterMs = 5000;

/** Fraction of the time left that a caller spends on waiting for a retry at most. */
const maxWaitShare = 1 / 3;

export class HeldBodies {
	readonly #dependencies: HeldBodiesDependencies;
	readonly #maxBytes: number;
	#bytes = 0;
	/** Bytes of {@link HeldBodies.bytes} for requests that wait on their connections. */
	#waitingBytes = 0;
	/** Average time for which large bodies are held, in milliseconds. */
	#holdMs = initialHoldMs;

	/** Bytes of bodies that were refused lately and will come again; they decay with the time for which bodies are held. */
	#refusedBytes = 0;
	#refusedAtMs = 0;

	constructor(dependencies: HeldBodiesDependencies, {maxBytes}: HeldBodiesOptions) {
		this.#dependencies = dependencies;
		this.#maxBytes = maxBytes;
	}

	/** Number of bytes for which room is reserved. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Creates the record of a body for which no room is reserved yet. */
	create(): HeldBody {
		const {clock} = this.#dependencies;
		const startMs = clock.now();
		let held = 0;
		let isReleased = false;
		return {
			admit: (bytes, leftMs) => {
				const others = this.#bytes - held;
				const limit = bytes > maxSmallBytes ? this.#maxBytes * largeShare : this.#maxBytes;
				if (isReleased || bytes <= held) {
					return undefined;
				}

				// A body that is longer than the room must be served some time.
				if (others > 0 && others + bytes > limit) {
					return this.#estimateRetryAfterMs(others + bytes - limit, bytes, leftMs);
				}

				this.#add(bytes - held);
				held = bytes;
				return undefined;
			},
			release: () => {
				isReleased = true;
				if (held > maxSmallBytes) {
					this.#holdMs = Math.max(1, this.#holdMs + (holdWeight * (clock.now() - startMs - this.#holdMs)));
				}

				this.#add(-held);
				held = 0;
			},
		};
	}

	/**
	 * Reserves room for requests that wait on their connection for the responses before them.
	 *
	 * @returns whether there is room
	 */
	acquireWaiting(bytes: number): boolean {
		if (this.#waitingBytes > 0 && (this.#waitingBytes + bytes > this.#maxBytes * waitingShare || this.#bytes + bytes > this.#maxBytes)) {
			return false;
		}

		this.#waitingBytes += bytes;
		this.#add(bytes);
		return true;
	}

	/** Frees room that was reserved for waiting requests. */
	releaseWaiting(bytes: number): void {
		this.#waitingBytes -= bytes;
		this.#add(-bytes);
	}

	/** Estimates the time until a body has room, if bodies go on being held for as long as lately and those that were refused come first. */
	#estimateRetryAfterMs(excessBytes: number, bytes: number, leftMs: number): number {
		const nowMs = this.#dependencies.clock.now();
		this.#refusedBytes *= Math.exp((this.#refusedAtMs - nowMs) / this.#holdMs);
		this.#refusedAtMs = nowMs;
		const waitMs = this.#holdMs * (excessBytes + this.#refusedBytes) / this.#bytes;
		this.#refusedBytes += bytes;
		// A random factor spreads the retries of several callers.
		const spreadMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)) * (0.75 + (this.#dependencies.random.next() / 2));
		return Math.max(0, Math.min(spreadMs, leftMs * maxWaitShare));
	}

	#add(bytes: number): void {
		this.#bytes += bytes;
		this.#dependencies.telemetry.set('request_body_bytes', this.#bytes);
	}
}
