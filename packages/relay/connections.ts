/**
 * The pool of keep-alive connections to one target. A new connection costs the
 * target a handshake and possibly a slot, so the connection used last is reused
 * first; the others become idle and close.
 */
import {TargetConnection, type ConnectionOptions} from './connection.ts';
import type {Exchange, ExchangeRequest} from './exchange.ts';
import type {Clock} from '#clock';

/** Which idle connections an exchange may reuse. */
export type ConnectionCriteria = Readonly<{
	/** Maximum time for which the connection may have been idle, in milliseconds. */
	maxIdleMs: number;
}>;

/** An exchange, and whether a new connection was opened for it. */
export type StartedExchange = Readonly<{exchange: Exchange; isNewConnection: boolean}>;

/** Connection pool of one target. */
export class TargetConnections {
	readonly #address: string;
	readonly #clock: Clock;
	readonly #options: ConnectionOptions;
	readonly #recordReceived: () => number;
	/** Idle connections; the one used last is at the end. */
	readonly #idle: TargetConnection[] = [];
	readonly #open = new Set<TargetConnection>();

	/**
	 * @param address `host:port`
	 * @param recordReceived called when a part of an answer arrives; returns the current time in milliseconds
	 */
	constructor(address: string, clock: Clock, recordReceived: () => number, options: ConnectionOptions) {
		this.#recordReceived = recordReceived;
		this.#address = address;
		this.#clock = clock;
		this.#options = options;
	}

	/** Number of connections that are open or being established. */
	get size(): number {
		return this.#open.size;
	}

	/** Whether an exchange can start on an open connection. */
	get hasIdle(): boolean {
		this.#removeClosed();
		return this.#idle.length > 0;
	}

	/** Whether another exchange can start without more than `maxConnections` connections being open. */
	canStart(maxConnections: number): boolean {
		return this.hasIdle || this.#open.size < maxConnections;
	}

	/** Sends a request over an idle connection, or over a new one if none meets the criteria. */
	start(request: ExchangeRequest, criteria: ConnectionCriteria): StartedExchange {
		const reused = this.#takeIdle(criteria);
		const connection = reused ?? this.#create();
		const exchange = connection.start(request, this.#recordReceived, isReusable => {
			if (isReusable) {
				this.#idle.push(connection);
			}
		});
		return {exchange, isNewConnection: reused === undefined};
	}

	/** Closes idle connections, which may no longer reach the target; those with an exchange stay open. */
	closeIdle(): void {
		for (const connection of this.#idle.splice(0)) {
			connection.close();
		}
	}

	/** Closes all connections; the exchanges on them fail. */
	close(): void {
		for (const connection of this.#open) {
			connection.close();
		}
	}

	/** Takes the connection used last; if it has been idle for too long, so have all others. */
	#takeIdle({maxIdleMs}: ConnectionCriteria): TargetConnection | undefined {
		this.#removeClosed();
		const connection = this.#idle.at(-1);
		if (!connection || connection.idleMs > maxIdleMs) {
			return undefined;
		}

		return this.#idle.pop();
	}

	/** Removes idle connections that are about to close: their targets have announced it with their answers. */
	#removeClosed(): void {
		while (this.#idle.length > 0 && !this.#idle.at(-1)!.isOpen) {
			this.#idle.pop();
		}
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
