/**
 * One HTTP exchange with a target, read step by step: the head of the answer,
 * then its body chunk by chunk, then its end. Reading at the pace of the caller
 * pauses the connection.
 */
import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import {toMessage} from '#core';

/** Header names and values in turn, as they travel. */
export type HeaderLines = readonly string[];

/** What is sent to a target. */
export type ExchangeRequest = Readonly<{
	method: string;
	/** Path with the query. */
	path: string;
	headers: HeaderLines;
	body: Uint8Array | undefined;
}>;

/** The head of an answer. */
export type AnswerHead = Readonly<{status: number; headers: HeaderLines}>;

/** Why an exchange has no whole answer. */
export type ExchangeFault = Readonly<{
	/** Whether the request may have reached the target. */
	sent: boolean;
	/** Whether the connection was reset or closed by the other side, rather than given up here. */
	cut: boolean;
	detail: string;
}>;

/** The head, or why there is none. */
export type HeadRead = Readonly<{kind: 'head'; head: AnswerHead}> | Readonly<{kind: 'fault'; fault: ExchangeFault}>;

/** The next part of the body. */
export type BodyRead = Readonly<{kind: 'data'; bytes: Uint8Array}> | Readonly<{kind: 'end'}> | Readonly<{kind: 'fault'; fault: ExchangeFault}>;

/** What an exchange asks of its connection. */
export type ExchangeOwner = Readonly<{
	/** Called when something of the answer has arrived; gives the time, in milliseconds. */
	heard: () => number;
	/** Whether the connection was reset, which undici does not tell for answers that end with it. */
	hasBeenReset: () => boolean;
	/**
	 * Called once, when the exchange is over.
	 *
	 * @param isReusable whether the connection may carry another exchange
	 */
	ended: (isReusable: boolean) => void;
}>;

/** Bytes of an answer that may wait here for the caller before its connection is paused. */
const maxWaitingBytes = 65_536;

const noFault: ExchangeFault = {sent: false, cut: false, detail: ''};
const endRead: BodyRead = {kind: 'end'};

/** An exchange in progress; the handler of undici's dispatch. */
export class Exchange implements Dispatcher.DispatchHandler {
	/** Time at which something of the answer last arrived, in milliseconds; the past before that. */
	heardMs = Number.NEGATIVE_INFINITY;
	readonly #owner: ExchangeOwner;
	readonly #chunks: Uint8Array[] = [];
	#waitingBytes = 0;
	#controller: Dispatcher.DispatchController | undefined;
	#head: AnswerHead | undefined;
	#fault: ExchangeFault | undefined;
	#isStarted = false;
	#isAborted = false;
	#isEnded = false;
	#wake: (() => void) | undefined;

	constructor(owner: ExchangeOwner) {
		this.#owner = owner;
	}

	/** Whether the request may have reached the target. */
	get wasSent(): boolean {
		return this.#isStarted;
	}

	/** Waits for the head of the answer. */
	async readHead(): Promise<HeadRead> {
		while (!this.#head && !this.#fault) {
			await this.#wait();
		}

		return this.#head ? {kind: 'head', head: this.#head} : {kind: 'fault', fault: this.#fault ?? noFault};
	}

	/** Takes the next part of the body that has arrived; waits for one where none has. */
	async readBody(): Promise<BodyRead> {
		while (this.#chunks.length === 0 && !this.#isEnded) {
			// Data may arrive while the connection is being resumed.
			const woken = this.#wait();
			this.#controller?.resume();
			await woken;
		}

		const bytes = this.#chunks.shift();
		if (bytes) {
			this.#waitingBytes -= bytes.length;
			return {kind: 'data', bytes};
		}

		return this.#fault ? {kind: 'fault', fault: this.#fault} : endRead;
	}

	/** Gives the exchange up, which closes its connection. */
	abort(detail: string): void {
		if (this.#isEnded || this.#isAborted) {
			return;
		}

		this.#isAborted = true;
		this.#fail({sent: this.#isStarted, cut: false, detail});
		this.#controller?.abort(new Error(detail));
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isAborted) {
			controller.abort(new Error(this.#fault?.detail ?? 'aborted'));
			return;
		}

		this.#isStarted = true;
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
		if (status < 200 || this.#isAborted) {
			return;
		}

		this.heardMs = this.#owner.heard();
		this.#head = {status, headers: decodeLines(controller.rawHeaders)};
		this.#notify();
	}

	onResponseData(controller: Dispatcher.DispatchController, bytes: Uint8Array): void {
		this.heardMs = this.#owner.heard();
		this.#chunks.push(bytes);
		this.#waitingBytes += bytes.length;
		if (this.#waitingBytes > maxWaitingBytes) {
			controller.pause();
		}

		this.#notify();
	}

	onResponseEnd(): void {
		if (this.#owner.hasBeenReset()) {
			this.#fail({sent: true, cut: true, detail: 'the connection was reset inside the answer'});
			return;
		}

		this.#end();
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.#fail({sent: this.#isStarted, cut: true, detail: toMessage(error)});
	}

	#fail(fault: ExchangeFault): void {
		if (!this.#isEnded) {
			this.#fault = fault;
			this.#end();
		}
	}

	#end(): void {
		this.#isEnded = true;
		this.#owner.ended(!this.#fault && this.#head !== undefined && isKept(this.#head));
		this.#notify();
	}

	async #wait(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#wake = resolve;
		});
	}

	#notify(): void {
		this.#wake?.();
		this.#wake = undefined;
	}
}

/** Finds the value of a header by its name in lower case. */
export function findHeader(lines: HeaderLines, name: string): string | undefined {
	for (let index = 0; index < lines.length; index += 2) {
		const line = lines[index]!;
		if (line.length === name.length && line.toLowerCase() === name) {
			return lines[index + 1];
		}
	}

	return undefined;
}

/** Whether the connection outlives an answer (RFC 9112, sections 6.3 and 9.3). */
function isKept(head: AnswerHead): boolean {
	return hasLength(head) && findHeader(head.headers, 'connection')?.toLowerCase() !== 'close';
}

function hasLength({status, headers}: AnswerHead): boolean {
	return status === 204 || status === 304
		|| findHeader(headers, 'content-length') !== undefined || findHeader(headers, 'transfer-encoding') !== undefined;
}

/** Header lines travel in Latin-1 (RFC 9110, section 5.5). */
function decodeLines(raw: Dispatcher.DispatchController['rawHeaders']): HeaderLines {
	return Array.isArray(raw) ? raw.map(line => Buffer.isBuffer(line) ? line.toString('latin1') : line) : [];
}
