/** The interface between the relay and the connection of a caller. */
import type {HeaderLines} from './exchange.ts';
import type {Cancel} from '#clock';
import type {Refusal, RelayTarget} from '#core';

/** A caller's connection. The relay sends either a refusal, or the head and the body of an answer, which it then finishes or aborts. */
export type RelayCaller = Readonly<{
	/** Whether the caller has closed its connection. */
	hasLeft(): boolean;
	/** Calls `handler` once if the caller closes its connection before its answer is complete. */
	subscribeLeave(handler: () => void): Cancel;
	/** Called when an attempt on a target starts, and again if its request has provably not been sent. */
	recordAttempt?(target: RelayTarget, event: 'started' | 'not_sent'): void;
	/**
	 * Sends the head of a target's answer.
	 *
	 * @param bodyBytes length of the body; `undefined` if it is not known yet
	 */
	sendHead(status: number, headers: HeaderLines, bodyBytes: number | undefined): void;
	/**
	 * Sends a part of the body.
	 *
	 * @returns `false` if the buffer is full and {@link RelayCaller.waitForDrain} should be awaited
	 */
	write(bytes: Uint8Array): boolean;
	/** Waits until the written data has been flushed, or the caller has left. */
	waitForDrain(): Promise<void>;
	/** Finishes a complete answer. */
	finish(): void;
	/**
	 * Aborts an incomplete answer so that the caller cannot take it for a complete one.
	 *
	 * @param isStopping whether the reason is that this instance stops. Default: no.
	 */
	abort(isStopping?: boolean): void;
	/** Answers with a refusal by the router itself. */
	refuse(refusal: Refusal): void;
}>;
