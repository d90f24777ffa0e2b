/**
 * One TCP connection to a target, kept between exchanges. It is never
 * replaced: when it closes, whoever wants to send takes another one.
 */
import type {Socket} from 'node:net';
import {buildConnector, Client} from 'undici';
import {Exchange, type ExchangeRequest} from './exchange.ts';
import type {Clock} from '#clock';

/** Options of {@link TargetConnection}. */
export type ConnectionOptions = Readonly<{
	/** Longest time to connect, in milliseconds. */
	connectMs: number;
	/** Time for which an idle connection is kept where the target states none, in milliseconds. */
	idleMs: number;
}>;

/** Time by which a connection is closed before the target's stated idle timeout, in milliseconds. */
const idleMarginMs = 500;

const maxHeaderBytes = 65_536;

/** A connection; it carries one exchange at a time. */
export class TargetConnection {
	readonly #client: Client;
	readonly #clock: Clock;
	readonly #onClose: () => void;
	#idleSinceMs: number;
	#isOpen = true;
	#wasReset = false;

	/**
	 * @param address `host:port`
	 * @param onClose called once, when the connection has closed or could not be made
	 */
	constructor(address: string, clock: Clock, onClose: () => void, options: ConnectionOptions) {
		this.#clock = clock;
		this.#onClose = onClose;
		this.#idleSinceMs = clock.now();
		const connect = buildConnector({timeout: options.connectMs, keepAlive: false});
		this.#client = new Client(`http://${address}`, {
			pipelining: 1, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: options.idleMs,
			keepAliveTimeoutThreshold: idleMarginMs, maxHeaderSize: maxHeaderBytes,
			connect: (target, callback) => {
				connect(target, (...result) => {
					if (result[0] === null) {
						this.#watch(result[1]);
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

	/** Whether a further exchange can be sent. */
	get isOpen(): boolean {
		return this.#isOpen;
	}

	/** Time since the last exchange ended, in milliseconds. */
	get idleMs(): number {
		return this.#clock.now() - this.#idleSinceMs;
	}

	/**
	 * Sends a request.
	 *
	 * @param heard called when something of the answer has arrived; gives the time, in milliseconds
	 * @param ended called when the exchange is over
	 */
	start(request: ExchangeRequest, heard: () => number, ended: (isReusable: boolean) => void): Exchange {
		const exchange = new Exchange({
			heard,
			hasBeenReset: () => this.#wasReset,
			ended: isReusable => {
				this.#idleSinceMs = this.#clock.now();
				ended(isReusable && this.#isOpen);
			},
		});
		this.#client.dispatch({
			method: request.method, path: request.path, headers: [...request.headers], body: request.body ?? null,
		}, exchange);
		return exchange;
	}

	/** Closes the connection; an exchange on it fails. */
	close(): void {
		this.#close();
	}

	#watch(socket: Socket): void {
		socket.on('error', () => {
			this.#wasReset = true;
		});
		socket.on('end', () => {
			// A reset that comes together with the last bytes is reported as a plain end; only then the socket has no peer any more.
			this.#wasReset ||= socket.remoteAddress === undefined;
		});
	}

	#close(): void {
		if (!this.#isOpen) {
			return;
		}

		this.#isOpen = false;
		this.#onClose();
		// The client holds nothing else; its own end cannot fail the caller.
		void this.#client.destroy();
	}
}
