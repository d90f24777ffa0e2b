/** Interface for reading the reports of engines and sending orders to them. Each wire format has one adapter that implements it. */
import type {RelayTarget} from '#core';

/** Status that an engine reports. It may be some hundred milliseconds old. */
export type EngineReport = Readonly<{
	/** Version of the loaded weights, by model. */
	weights: ReadonlyMap<string, number>;
	/** Whether the engine is executing an order. */
	isBusy: boolean;
	/** Number of orders accepted since the engine started. */
	acceptedOrders: number;
	/** Number of running requests. */
	running: number;
	/** Number of waiting requests. */
	waiting: number;
}>;

/** An order to load a version of a model's weights. */
export type WeightsOrder = Readonly<{
	model: string;
	version: number;
	/** Whether running requests continue under the new version. Otherwise they finish first. */
	shouldRetainRequests: boolean;
	/** Name of the instance that sends the order, which holds the lease. */
	holder: string;
	/** Fencing token of the lease; larger tokens supersede smaller ones. */
	fencing: number;
	/** The order applies only if the engine has accepted exactly this number of orders. A delayed order therefore has no effect. */
	expectedAcceptedOrders: number;
}>;

/**
 * Outcome of an order:
 * - `accepted`: the engine executes it
 * - `holds`: the engine already has the version, so there is nothing to do
 * - `conflict`: another order is in progress, or was accepted since the report
 * - `fenced`: a newer holder of the lease has sent orders
 * - `rejected`: the engine does not know the version yet, or does not accept the order
 * - `replaced`: another process has taken the address
 * - `unreachable`: the order could not be sent
 * - `unknown`: no answer arrived; the engine may still execute the order
 */
export type OrderOutcome = 'accepted' | 'holds' | 'conflict' | 'fenced' | 'rejected' | 'replaced' | 'unreachable' | 'unknown';

/** Calls to engines. Every call ends within a bounded time. */
export type EngineControl = Readonly<{
	/** @returns `undefined` if the engine did not answer */
	readReport(target: RelayTarget): Promise<EngineReport | undefined>;
	sendOrder(target: RelayTarget, order: WeightsOrder): Promise<OrderOutcome>;
}>;
