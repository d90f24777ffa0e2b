/**
 * One keep-alive TCP connection to a target. It does not reconnect: once it
 * has closed, the next exchange needs another connection.
 */
import type {Socket} from 'node:net';
import {buildConnector, Client} from 'undici';
import {Exchange, type ExchangeRequest} from './exchange.ts';
import type {Clock} from '#clock';

/** Options of {@link TargetConnection}. */
export type ConnectionOptions = Readonly<{
	/** Timeout for establishing a connection, in milliseconds. */
	connectTimeoutMs: number;
	/** Idle timeout of a connection if the target states none, in milliseconds. */
	idleTimeoutMs: number;
	/** Opens the TCP connection. Default: the connector of undici, with the timeout. */
	connector?: buildConnector.connector | undefined;
}>;

/** Time by which a connection is closed before the idle timeout that the target states, in milliseconds. */
const idleMarginMs = 500;

const maxHeaderBytes = 65_536;

/** Interval at which an exchange is checked for bytes that are no part of an answer, in milliseconds. */
const framingCheckIntervalMs = 100;

/** A connection that carries one exchange at a time. */
export class TargetConnection {
	readonly #client: Client;
	readonly #clock: Clock;
	readonly #handleClose: () => void;
	#socket: Socket | undefined;
	#idleSinceMs: number;
	#isOpen = true;
	#hasBeenReset = false;

	/**
	 * @param address `host:port`
	 * @param handleClose called once, when the connection has closed or could not be established
	 */
	constructor(address: string, clock: Clock, handleClose: () => void, options: ConnectionOptions) {
		this.#clock = clock;
		this.#handleClose = handleClose;
		this.#idleSinceMs = clock.now();
		const connect = options.connector ?? buildConnector({timeout: options.connectTimeoutMs, keepAlive: false});
		this.#client = new Client(`http://${address}`, {
			pipelining: 1, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: options.idleTimeoutMs,
			keepAliveTimeoutThreshold: idleMarginMs, maxHeaderSize: maxHeaderBytes,
			connect: (target, callback) => {
				connect(target, (...result) => {
					if (result[0] === null) {
						this.#socket = result[1];
						this.#watchForReset(this.#socket);
					}

					callback(...result);
				});
			},
		});
		const close = () => {
			this.#close();
		};

		this.#client.on('disconnect', close);
		this.#client.on('connectionError', close);
	}

	/** Whether another exchange can start on the connection. */
	get isOpen(): boolean {
		// The close of a socket is reported only some turns of the event loop after undici has decided on it.
		return this.#isOpen && !this.#socket?.destroyed;
	}

	/** Time since the last exchange finished, in milliseconds. */
	get idleMs(): number {
		return this.#clock.now() - this.#idleSinceMs;
	}

	/**
	 * Sends a request.
	 *
	 * @param recordReceived called when a part of the answer arrives; returns the current time in milliseconds
	 * @param handleEnd called once, when the exchange has finished
	 */
	start(request: ExchangeRequest, recordReceived: () => number, handleEnd: (isReusable: boolean) => void): Exchange {
		let hasEnded = false;
		const exchange = new Exchange(request.method, {
			recordReceived,
			countReceivedBytes: () => this.#socket?.bytesRead ?? 0,
			hasBeenReset: () => this.#hasBeenReset,
			handleEnd: isReusable => {
				hasEnded = true;
				cancelCheck();
				this.#idleSinceMs = this.#clock.now();
				handleEnd(isReusable && this.#isOpen);
			},
		});
		const cancelCheck = this.#clock.subscribe(framingCheckIntervalMs, () => {
			exchange.checkFraming();
		});
		this.#client.dispatch({
			method: request.method, path: request.path, headers: [...request.headers], body: request.body ?? null,
		}, exchange);
		if (hasEnded && !exchange.hasBeenSent) {
			// The client refuses a request that cannot be sent at once, and then opens no connection whose end would be reported.
			this.#close();
		}

		return exchange;
	}

	/** Closes the connection; an exchange in progress fails. */
	close(): void {
		this.#close();
	}

	#watchForReset(socket: Socket): void {
		socket.on('error', () => {
			this.#hasBeenReset = true;
		});
		socket.on('end', () => {
			// A reset that arrives together with the last bytes is reported as a regular end, but then the socket has no remote address any more.
			this.#hasBeenReset ||= socket.remoteAddress === undefined;
		});
	}

	#close(): void {
		if (!this.#isOpen) {
			return;
		}

		this.#isOpen = false;
		this.#handleClose();
		// The client holds no other resources, and a failure to destroy it does not concern the caller.
		void this.#client.destroy();
	}
}
