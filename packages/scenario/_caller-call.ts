/** A simulated caller: sends one request to a router and records the answer. */
import {Buffer} from 'node:buffer';
import type {RouterHost} from './_router-host.ts';
import type {Clock} from '#clock';
import type {AnswerEvent, Refusal, Work} from '#core';
import type {CallerRequest} from '#entry';

/** State of a call. `cut`: the answer stopped before its end event; `left`: the caller disconnected. */
export type CallState = 'running' | 'answered' | 'refused' | 'cut' | 'left';

/** One call and the part of its answer that has arrived. */
export class CallerCall {
	readonly request: CallerRequest;
	readonly router: string;
	readonly startedMs: number;
	state: CallState = 'running';
	refusal: Refusal | undefined;
	firstByteMs: number | undefined;
	finishedMs: number | undefined;
	target = '';
	isReplayed = false;
	cachedTokens = 0;
	readonly #clock: Clock;
	readonly #chunks: Uint8Array[] = [];
	readonly #abortController = new AbortController();

	constructor(clock: Clock, host: RouterHost, request: CallerRequest) {
		this.#clock = clock;
		this.request = request;
		this.router = host.name;
		this.startedMs = clock.now();
		host.routerProcess.killedSignal.addEventListener('abort', () => {
			this.#finish('cut');
		}, {once: true});
		void this.#readEvents(host.router.handle(request, this.#abortController.signal));
	}

	get work(): Work {
		return this.request.work;
	}

	/** Bytes of the answer that have arrived. */
	get bytes(): Uint8Array {
		return Buffer.concat(this.#chunks);
	}

	/** Disconnects the caller. */
	leave(): void {
		this.#abortController.abort();
		this.#finish('left');
	}

	async #readEvents(events: AsyncIterable<AnswerEvent>): Promise<void> {
		for await (const event of events) {
			if (this.state !== 'running') {
				return;
			}

			this.#handleEvent(event);
		}

		this.#finish('cut');
	}

	#handleEvent(event: AnswerEvent): void {
		switch (event.kind) {
			case 'head': {
				this.target = event.target;
				this.isReplayed = event.isReplayed;
				this.cachedTokens = event.cachedTokens;
				break;
			}

			case 'data': {
				this.firstByteMs ??= this.#clock.now();
				this.#chunks.push(event.bytes);
				break;
			}

			case 'end': {
				this.#finish('answered');
				break;
			}

			case 'refused': {
				this.refusal = event.refusal;
				this.#finish('refused');
				break;
			}

			case 'tool':
			case 'usage': {
				break;
			}
		}
	}

	#finish(state: CallState): void {
		if (this.state !== 'running') {
			return;
		}

		this.state = state;
		this.finishedMs = this.#clock.now();
	}
}
