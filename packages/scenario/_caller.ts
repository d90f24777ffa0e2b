/** A caller of a scenario: sends one request and keeps what came back. */
import {Buffer} from 'node:buffer';
import type {RouterHost} from './_host.ts';
import type {Clock} from '#clock';
import type {AnswerEvent, Refusal, Work} from '#core';
import type {CallerRequest} from '#entry';

/** How a call stands. */
export type CallState = 'running' | 'answered' | 'refused' | 'cut' | 'left';

/** One call and its answer so far. */
export class CallerCall {
	readonly request: CallerRequest;
	readonly router: string;
	readonly startedMs: number;
	state: CallState = 'running';
	refusal: Refusal | undefined;
	firstByteMs: number | undefined;
	endedMs: number | undefined;
	target = '';
	replayed = false;
	cachedTokens = 0;
	readonly #clock: Clock;
	readonly #chunks: Uint8Array[] = [];
	readonly #left = new AbortController();

	constructor(clock: Clock, host: RouterHost, request: CallerRequest) {
		this.#clock = clock;
		this.request = request;
		this.router = host.name;
		this.startedMs = clock.now();
		host.lifeline.died.addEventListener('abort', () => {
			this.#end('cut');
		}, {once: true});
		void this.#read(host.router.handle(request, this.#left.signal));
	}

	get work(): Work {
		return this.request.work;
	}

	/** The answer's bytes so far. */
	get bytes(): Uint8Array {
		return Buffer.concat(this.#chunks);
	}

	/** The caller goes away. */
	leave(): void {
		this.#left.abort();
		this.#end('left');
	}

	async #read(events: AsyncIterable<AnswerEvent>): Promise<void> {
		for await (const event of events) {
			if (this.state !== 'running') {
				return;
			}

			this.#take(event);
		}

		this.#end('cut');
	}

	#take(event: AnswerEvent): void {
		switch (event.kind) {
			case 'head': {
				this.target = event.target;
				this.replayed = event.replayed;
				this.cachedTokens = event.cachedTokens;
				break;
			}

			case 'data': {
				this.firstByteMs ??= this.#clock.now();
				this.#chunks.push(event.bytes);
				break;
			}

			case 'end': {
				this.#end('answered');
				break;
			}

			case 'refused': {
				this.refusal = event.refusal;
				this.#end('refused');
				break;
			}

			case 'tool':
			case 'usage': {
				break;
			}
		}
	}

	#end(state: CallState): void {
		if (this.state !== 'running') {
			return;
		}

		this.state = state;
		this.endedMs = this.#clock.now();
	}
}
