/** The interface to engines for whoever gives them orders; each wire format is one adapter. */
import type {RelayTarget} from '#core';

/** What an engine says of itself, some hundred milliseconds old. */
export type EngineReport = Readonly<{
	/** Version of the weights by model. */
	weights: ReadonlyMap<string, number>;
	/** Whether an order is being carried out. */
	isBusy: boolean;
	/** Orders accepted since the engine's start. */
	acceptedOrders: number;
	/** Requests that run. */
	running: number;
	/** Requests that wait. */
	waiting: number;
}>;

/** An order to load a version of a model's weights. */
export type WeightsOrder = Readonly<{
	model: string;
	version: number;
	/** Whether running requests go on under the new version; otherwise they finish first. */
	keepsRuns: boolean;
	/** Name of the instance that gives the order. */
	holder: string;
	/** Larger tokens supersede smaller ones. */
	fencing: number;
	/** Number of accepted orders at which alone the order holds, so that one which comes late does nothing. */
	ifAcceptedOrders: number;
}>;

/**
 * What became of an order:
 * - `accepted`: it is being carried out
 * - `holds`: there was nothing to do
 * - `conflict`: another order is in progress, or one was accepted meanwhile
 * - `fenced`: a newer holder has given orders
 * - `rejected`: the engine does not know the version yet, or does not take the order
 * - `replaced`: another process has the address
 * - `unreachable`: nothing listens there
 * - `unknown`: no answer came; the order may still be carried out
 */
export type OrderOutcome = 'accepted' | 'holds' | 'conflict' | 'fenced' | 'rejected' | 'replaced' | 'unreachable' | 'unknown';

/** Reads and orders engines. Every call ends within a bounded time. */
export type EngineControl = Readonly<{
	/** @returns nothing where the engine did not answer */
	readReport(target: RelayTarget): Promise<EngineReport | undefined>;
	sendOrder(target: RelayTarget, order: WeightsOrder): Promise<OrderOutcome>;
}>;
