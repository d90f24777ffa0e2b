/** The interface between the relay and the connection of a caller. */
import type {HeaderLines} from './exchange.ts';
import type {Cancel} from '#clock';
import type {Refusal} from '#core';

/** Where an answer goes. Either a refusal, or a head, data and then an end or a cut. */
export type RelayCaller = Readonly<{
	/** Whether the caller has closed its connection. */
	hasLeft(): boolean;
	/** Calls `handler` once if the caller closes its connection before its answer has ended. */
	listenLeave(handler: () => void): Cancel;
	/** Sends the head of a target's answer. */
	begin(status: number, headers: HeaderLines, bodyBytes: number | undefined): void;
	/**
	 * Sends a part of the body.
	 *
	 * @returns `false` when the caller should be waited for by {@link RelayCaller.waitForRoom}
	 */
	write(bytes: Uint8Array): boolean;
	/** Waits until the caller has taken what was written, or has left. */
	waitForRoom(): Promise<void>;
	/** Ends a complete answer. */
	end(): void;
	/** Ends an incomplete answer in a way that cannot be taken for a complete one. */
	cut(): void;
	/** Answers with a refusal of the router's own. */
	refuse(refusal: Refusal): void;
}>;
