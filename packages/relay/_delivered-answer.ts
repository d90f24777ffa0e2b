/**
 * The answer of one request as its caller receives it, over all attempts. An
 * answer that is no stream is collected whole first, as far as it is small, so
 * that one which breaks off can be replaced; a stream goes out as it comes.
 */
import {Buffer} from 'node:buffer';
import type {RelayCaller} from './caller.ts';
import type {TargetAnswer} from './dialect.ts';
import {EventSplitter} from './event-splitter.ts';
import type {Exchange} from './exchange.ts';
import type {Clock} from '#clock';
import type {RelayRequest} from '#core';

/** Largest answer that is collected whole, in bytes; longer ones go out as they come. */
const maxCollectedBytes = 262_144;

/** Delivers to one caller. */
export class DeliveredAnswer {
	/** Time at which the caller was sent the answer's head, in milliseconds; absent before that. */
	begunMs: number | undefined;
	/** Id of the last event that the caller was sent. */
	lastEventId: string | undefined;
	readonly #caller: RelayCaller;
	readonly #clock: Clock;
	readonly #isResumable: boolean;
	readonly #isStream: boolean;
	readonly #splitter = new EventSplitter();
	#failure: Readonly<{answer: TargetAnswer; body: Uint8Array}> | undefined;

	constructor({route}: RelayRequest, caller: RelayCaller, clock: Clock) {
		this.#caller = caller;
		this.#clock = clock;
		this.#isStream = route.isStream;
		this.#isResumable = route.isStream && route.repetition === 'resume';
	}

	/** Whether the caller was sent a part of the answer. */
	get hasBegun(): boolean {
		return this.begunMs !== undefined;
	}

	/** Keeps a target's failure, to be delivered where no other attempt gives an answer. */
	keepFailure(answer: TargetAnswer, body: Uint8Array): void {
		this.#failure = {answer, body};
	}

	/** Delivers a kept failure. */
	deliverFailure(): boolean {
		if (!this.#failure || this.hasBegun) {
			return false;
		}

		const {answer, body} = this.#failure;
		this.#begin(answer, body.length);
		this.#caller.write(body);
		this.#caller.end();
		return true;
	}

	/**
	 * Passes an answer on.
	 *
	 * @returns nothing once the caller has all of it, else why it broke off
	 */
	async deliver(answer: TargetAnswer, exchange: Exchange): Promise<string | undefined> {
		this.#splitter.reset();
		return this.#isStream && answer.status < 300 ? this.#passOn(answer, exchange) : this.#collect(answer, exchange);
	}

	async #passOn(answer: TargetAnswer, exchange: Exchange): Promise<string | undefined> {
		for (;;) {
			const read = await exchange.readBody();
			if (read.kind === 'fault') {
				return read.fault.detail;
			}

			if (read.kind === 'end') {
				if (this.#splitter.isInsideEvent) {
					return 'the stream ended inside an event';
				}

				this.#begin(answer, undefined);
				this.#caller.end();
				return undefined;
			}

			const bytes = this.#isResumable ? this.#takeEvents(read.bytes) : read.bytes;
			if (bytes.length > 0) {
				this.#begin(answer, undefined);
				await this.#write(bytes);
			}
		}
	}

	/** Whole events that the caller does not have yet. */
	#takeEvents(bytes: Uint8Array): Uint8Array {
		const fresh: Uint8Array[] = [];
		for (const event of this.#splitter.push(bytes)) {
			if (event.id === undefined || isLater(event.id, this.lastEventId)) {
				this.lastEventId = event.id ?? this.lastEventId;
				fresh.push(event.bytes);
			}
		}

		return fresh.length === 1 ? fresh[0]! : Buffer.concat(fresh);
	}

	async #collect(answer: TargetAnswer, exchange: Exchange): Promise<string | undefined> {
		const chunks: Uint8Array[] = [];
		let length = 0;
		for (;;) {
			const read = await exchange.readBody();
			if (read.kind === 'fault') {
				return read.fault.detail;
			}

			if (read.kind === 'end') {
				break;
			}

			chunks.push(read.bytes);
			length += read.bytes.length;
			if (length > maxCollectedBytes) {
				this.#begin(answer, undefined);
				await this.#write(Buffer.concat(chunks.splice(0)));
			}
		}

		this.#begin(answer, length);
		await this.#write(Buffer.concat(chunks));
		this.#caller.end();
		return undefined;
	}

	#begin(answer: TargetAnswer, bodyBytes: number | undefined): void {
		if (!this.hasBegun) {
			this.begunMs = this.#clock.now();
			this.#caller.begin(answer.status, answer.headers, bodyBytes);
		}
	}

	async #write(bytes: Uint8Array): Promise<void> {
		if (bytes.length > 0 && !this.#caller.write(bytes)) {
			await this.#caller.waitForRoom();
		}
	}
}

/** Event ids rise; ids that are no numbers are taken as they come. */
function isLater(id: string, last: string | undefined): boolean {
	return last === undefined || !(Number(id) <= Number(last));
}
