/**
 * One HTTP exchange with a target. The answer is read in steps: its head, its
 * body chunk by chunk, then its end. The connection is paused while the caller
 * reads more slowly than the target sends.
 */
import type {Dispatcher} from 'undici';
import {getErrorMessage} from '#core';
import {ByteBlocks, decodeHeaderLines, explainHeadFault} from '#http';

/** Alternating header names and values, as sent or received. */
export type HeaderLines = readonly string[];

/** A request to a target. */
export type ExchangeRequest = Readonly<{
	method: string;
	/** Path, including the query. */
	path: string;
	headers: HeaderLines;
	body: Uint8Array | undefined;
}>;

/** Status and header lines of an answer. */
export type AnswerHead = Readonly<{status: number; headers: HeaderLines}>;

/** Why an exchange has no complete answer. */
export type ExchangeFault = Readonly<{
	/** Whether the request may have reached the target. */
	hasBeenSent: boolean;
	/** Whether the connection failed or was closed by the target, rather than aborted by this instance. */
	hasConnectionFailed: boolean;
	detail: string;
}>;

/** The head of the answer, or why there is none. */
export type HeadRead = Readonly<{kind: 'head'; head: AnswerHead}> | Readonly<{kind: 'fault'; fault: ExchangeFault}>;

/** The next chunk of the body, its end, or why it is incomplete. */
export type BodyRead = Readonly<{kind: 'data'; bytes: Uint8Array}> | Readonly<{kind: 'end'}> | Readonly<{kind: 'fault'; fault: ExchangeFault}>;

/**
 * How the end of a body is marked (RFC 9112, section 6.3): by its stated length, by
 * the last chunk, only by the end of the connection, or not at all as there is no body.
 */
export type BodyFraming = 'length' | 'chunked' | 'connection' | 'none';

/** Callbacks from an exchange to its connection. */
export type ExchangeCallbacks = Readonly<{
	/** Called when a part of the answer arrives; returns the current time in milliseconds. */
	recordReceived: () => number;
	/** Returns the number of bytes that the connection has received in all. */
	countReceivedBytes: () => number;
	/** Whether the connection was reset; undici does not report this for an answer that ends with its connection. */
	hasBeenReset: () => boolean;
	/**
	 * Called once, when the exchange has finished.
	 *
	 * @param isReusable whether the connection may carry another exchange
	 */
	handleEnd: (isReusable: boolean) => void;
}>;

/** Maximum number of bytes received in a row that are neither a head nor a part of a body: interim answers, chunk headers, trailers and a head that does not end. Larger than the largest head and what the socket buffers. */
const maxFramingBytes = 262_144;

/** Maximum number of interim answers (RFC 9110, section 15.2) before the final one. */
const maxInterimAnswers = 16;

/** Bounds of a status (RFC 9110, section 15). */
const minStatus = 100;
const maxStatus = 599;

/** Maximum number of bytes buffered for the caller before the connection is paused. */
const maxBufferedBytes = 65_536;

const unknownFault: ExchangeFault = {hasBeenSent: false, hasConnectionFailed: false, detail: 'the exchange finished without a head or a fault'};
const endRead: BodyRead = {kind: 'end'};

/** An exchange in progress; receives the events of undici's dispatcher. */
export class Exchange implements Dispatcher.DispatchHandler {
	/** Time at which a part of the answer last arrived, in milliseconds; negative infinity before that. */
	lastReceivedMs = Number.NEGATIVE_INFINITY;
	readonly #method: string;
	readonly #callbacks: ExchangeCallbacks;
	readonly #chunks = new ByteBlocks();
	/** Bytes that the connection had received at the last head or part of a body. */
	#progressBytes = 0;
	#interimAnswers = 0;
	#controller: Dispatcher.DispatchController | undefined;
	#head: AnswerHead | undefined;
	#fault: ExchangeFault | undefined;
	#isStarted = false;
	#isAborted = false;
	#isFinished = false;
	/** Whether the parser cannot tell where the next answer on the connection begins. */
	#isUnreadable = false;
	#wake: (() => void) | undefined;

	/** @param method method of the request */
	constructor(method: string, callbacks: ExchangeCallbacks) {
		this.#method = method;
		this.#callbacks = callbacks;
	}

	/** Whether the request may have reached the target. */
	get hasBeenSent(): boolean {
		return this.#isStarted;
	}

	/** Framing of the answer's body; `none` before the head has arrived. */
	get framing(): BodyFraming {
		return this.#head ? getFraming(this.#method, this.#head) : 'none';
	}

	/** Waits for the head of the answer. */
	async readHead(): Promise<HeadRead> {
		while (!this.#head && !this.#fault) {
			await this.#wait();
		}

		return this.#head ? {kind: 'head', head: this.#head} : {kind: 'fault', fault: this.#fault ?? unknownFault};
	}

	/** Returns the next chunk of the body; waits if none has arrived yet. */
	async readBody(): Promise<BodyRead> {
		while (this.#chunks.length === 0 && !this.#isFinished) {
			// The wait starts before resume(), as data may arrive during that call.
			const woken = this.#wait();
			this.#controller?.resume();
			await woken;
		}

		const bytes = this.#chunks.shift();
		if (bytes) {
			return {kind: 'data', bytes};
		}

		return this.#fault ? {kind: 'fault', fault: this.#fault} : endRead;
	}

	/** Aborts the exchange and closes its connection; `detail` becomes the detail of the fault. */
	abort(detail: string): void {
		if (this.#isFinished || this.#isAborted) {
			return;
		}

		this.#isAborted = true;
		this.#fail({hasBeenSent: this.#isStarted, hasConnectionFailed: false, detail});
		this.#controller?.abort(new Error(detail));
	}

	/** Aborts the exchange if the target keeps sending bytes that are no part of an answer. */
	checkFraming(): void {
		if (this.#isStarted && this.#callbacks.countReceivedBytes() - this.#progressBytes > maxFramingBytes) {
			this.abort(`the target sent more than ${maxFramingBytes} bytes without a head or a part of a body`);
		}
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		this.#progressBytes = this.#callbacks.countReceivedBytes();
		if (this.#isAborted) {
			controller.abort(new Error(this.#fault?.detail ?? 'aborted'));
			return;
		}

		this.#isStarted = true;
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, _headers: unknown, reason = ''): void {
		if (this.#isAborted) {
			return;
		}

		const headers = decodeHeaderLines(controller.rawHeaders);
		const headFault = status < minStatus || status > maxStatus ? `the answer has the status ${status}, which HTTP does not define` : explainHeadFault(reason, headers);
		if (headFault !== undefined) {
			this.abort(headFault);
			return;
		}

		if (status < 200) {
			this.#interimAnswers++;
			if (this.#interimAnswers > maxInterimAnswers) {
				this.abort(`the target sent more than ${maxInterimAnswers} interim answers`);
			}

			return;
		}

		this.lastReceivedMs = this.#callbacks.recordReceived();
		this.#progressBytes = this.#callbacks.countReceivedBytes();
		this.#head = {status, headers};
		if (this.framing === 'none' && this.#method !== 'HEAD' && Number(findHeader(headers, 'content-length') ?? 0) !== 0) {
			// The parser would wait for a body of that length, which an answer with this status does not have (RFC 9112, section 6.3).
			this.#isUnreadable = true;
			this.#finish();
			controller.abort(new Error('the answer has no body'));
			return;
		}

		this.#notify();
	}

	onResponseData(controller: Dispatcher.DispatchController, bytes: Uint8Array): void {
		if (this.#isFinished) {
			return;
		}

		this.lastReceivedMs = this.#callbacks.recordReceived();
		this.#progressBytes = this.#callbacks.countReceivedBytes();
		this.#chunks.add(bytes);
		if (this.#chunks.length > maxBufferedBytes) {
			controller.pause();
		}

		this.#notify();
	}

	onResponseEnd(): void {
		if (this.#callbacks.hasBeenReset()) {
			this.#fail({hasBeenSent: true, hasConnectionFailed: true, detail: 'the connection was reset before the answer was complete'});
			return;
		}

		this.#finish();
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.#fail({hasBeenSent: this.#isStarted, hasConnectionFailed: true, detail: getErrorMessage(error)});
	}

	#fail(fault: ExchangeFault): void {
		if (!this.#isFinished) {
			this.#fault = fault;
			this.#finish();
		}
	}

	#finish(): void {
		this.#isFinished = true;
		this.#callbacks.handleEnd(!this.#fault && !this.#isUnreadable && this.#head !== undefined && isReusable(this.framing, this.#head));
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

/** Finds the value of a header. `name` must be in lower case. */
export function findHeader(lines: HeaderLines, name: string): string | undefined {
	for (let index = 0; index < lines.length; index += 2) {
		const line = lines[index]!;
		if (line.length === name.length && line.toLowerCase() === name) {
			return lines[index + 1];
		}
	}

	return undefined;
}

/** Whether the connection can be reused after an answer (RFC 9112, sections 6.3 and 9.3). */
function isReusable(framing: BodyFraming, {headers}: AnswerHead): boolean {
	return framing !== 'connection' && findHeader(headers, 'connection')?.toLowerCase() !== 'close';
}

function getFraming(method: string, {status, headers}: AnswerHead): BodyFraming {
	if (method === 'HEAD' || status === 204 || status === 304) {
		return 'none';
	}

	if (findHeader(headers, 'transfer-encoding') !== undefined) {
		return 'chunked';
	}

	return findHeader(headers, 'content-length') === undefined ? 'connection' : 'length';
}
