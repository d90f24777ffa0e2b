/**
 * The kept connections to one target. New ones cost the target a handshake and
 * perhaps a slot, so the one used last is used next; the others fall idle and
 * close.
 */
import {TargetConnection, type ConnectionOptions} from './connection.ts';
import type {Exchange, ExchangeRequest} from './exchange.ts';
import type {Clock} from '#clock';

/** How a connection is chosen. */
export type ConnectionChoice = Readonly<{
	/** Longest time that a kept connection may have been idle, in milliseconds; longer ones are passed over. */
	maxIdleMs: number;
}>;

/** An exchange and how its connection came about. */
export type StartedExchange = Readonly<{exchange: Exchange; isNewConnection: boolean}>;

/** Connections to one target. */
export class TargetConnections {
	readonly #address: string;
	readonly #clock: Clock;
	readonly #options: ConnectionOptions;
	readonly #heard: () => number;
	/** Idle connections, the one used last at the end. */
	readonly #idle: TargetConnection[] = [];
	readonly #open = new Set<TargetConnection>();

	/**
	 * @param address `host:port`
	 * @param heard called when something of an answer has arrived; gives the time, in milliseconds
	 */
	constructor(address: string, clock: Clock, heard: () => number, options: ConnectionOptions) {
		this.#heard = heard;
		this.#address = address;
		this.#clock = clock;
		this.#options = options;
	}

	/** Connections that are open or being made. */
	get size(): number {
		return this.#open.size;
	}

	/** Whether a further exchange can begin while no more than `most` connections are open. */
	canStart(most: number): boolean {
		return this.#idle.length > 0 || this.#open.size < most;
	}

	/** Sends a request over a kept connection, or over a new one where none fits. */
	start(request: ExchangeRequest, choice: ConnectionChoice): StartedExchange {
		const kept = this.#takeIdle(choice);
		const connection = kept ?? this.#create();
		const exchange = connection.start(request, this.#heard, isReusable => {
			if (isReusable) {
				this.#idle.push(connection);
			}
		});
		return {exchange, isNewConnection: kept === undefined};
	}

	/** Closes idle connections, which may have gone silent; those with an exchange stay. */
	closeIdle(): void {
		for (const connection of this.#idle.splice(0)) {
			connection.close();
		}
	}

	/** Closes all connections. */
	close(): void {
		for (const connection of this.#open) {
			connection.close();
		}
	}

	#takeIdle({maxIdleMs}: ConnectionChoice): TargetConnection | undefined {
		const connection = this.#idle.at(-1);
		if (!connection || connection.idleMs > maxIdleMs) {
			return undefined;
		}

		return this.#idle.pop();
	}

	#create(): TargetConnection {
		const connection: TargetConnection = new TargetConnection(this.#address, this.#clock, () => {
			this.#open.delete(connection);
			const index = this.#idle.indexOf(connection);
			if (index !== -1) {
				this.#idle.splice(index, 1);
			}
		}, this.#options);
		this.#open.add(connection);
		return connection;
	}
}
