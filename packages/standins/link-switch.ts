/**
 * The links from one instance to its targets, which tests cut and restore. Each
 * connection runs through a proxy on the loopback interface, so that the faults
 * of one instance's links leave the other instances alone.
 */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import type {buildConnector} from 'undici';
import type {Clock} from '#clock';

/**
 * State of the links:
 *
 * - `none`: sound
 * - `reset`: open connections are reset, new ones are refused
 * - `refused`: open connections live on, new ones are refused
 * - `hung`: open connections carry nothing, new ones are not established
 */
export type LinkFault = 'none' | 'reset' | 'refused' | 'hung';

/** Time after which a connection that is not established fails, in milliseconds. */
const connectTimeoutMs = 300;

/** The two ends of a proxied connection: towards the instance, and towards the target. */
type Pipe = Readonly<{near: Socket; far: Socket}>;

export class LinkSwitch {
	/** Number of connections that the instance has tried to open. */
	attempts = 0;
	readonly #clock: Clock;
	readonly #server: Server;
	readonly #pipes = new Set<Pipe>();
	/** Accepted connections whose target is not known yet, and targets whose connection is not accepted yet, by the port of the instance's end. */
	readonly #accepted = new Map<number, Socket>();
	readonly #addresses = new Map<number, string>();
	#fault: LinkFault = 'none';

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#server = createServer(near => {
			this.#accepted.set(near.remotePort ?? 0, near);
			this.#join(near.remotePort ?? 0);
		});
	}

	async start(): Promise<void> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
	}

	/** Opens a connection to a target, as undici asks for it. */
	readonly connector: buildConnector.connector = ({hostname, port}, callback) => {
		this.attempts++;
		if (this.#fault === 'hung') {
			this.#clock.setTimer(connectTimeoutMs, () => {
				callback(new Error('connect ETIMEDOUT'), null);
			});
			return;
		}

		if (this.#fault !== 'none') {
			callback(new Error('connect ECONNREFUSED'), null);
			return;
		}

		const {port: proxyPort} = this.#server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the server listens on a TCP port
		const socket = connect(proxyPort, '127.0.0.1');
		socket.once('error', error => {
			callback(error, null);
		});
		socket.once('connect', () => {
			socket.removeAllListeners('error');
			this.#addresses.set(socket.localPort ?? 0, `${hostname}:${port}`);
			this.#join(socket.localPort ?? 0);
			callback(null, socket);
		});
	};

	/** Cuts or restores the links. */
	setFault(fault: LinkFault): void {
		this.#fault = fault;
		for (const {near, far} of this.#pipes) {
			if (fault === 'reset') {
				resetSocket(near);
				resetSocket(far);
			} else if (fault === 'hung') {
				near.pause();
				far.pause();
			} else {
				near.resume();
				far.resume();
			}
		}
	}

	async close(): Promise<void> {
		this.setFault('reset');
		for (const near of this.#accepted.values()) {
			near.destroy();
		}

		const closed = once(this.#server, 'close');
		this.#server.close();
		await closed;
	}

	/** Connects an accepted connection to its target once both are known. */
	#join(port: number): void {
		const near = this.#accepted.get(port);
		const address = this.#addresses.get(port);
		if (!near || address === undefined) {
			return;
		}

		this.#accepted.delete(port);
		this.#addresses.delete(port);
		const [host, farPort] = address.split(':');
		const far = connect(Number(farPort), host);
		const pipe: Pipe = {near, far};
		this.#pipes.add(pipe);
		this.#forward(near, far, pipe);
		this.#forward(far, near, pipe);
		if (this.#fault === 'hung') {
			near.pause();
			far.pause();
		}
	}

	#forward(from: Socket, to: Socket, pipe: Pipe): void {
		from.setNoDelay(true);
		from.on('data', bytes => {
			to.write(bytes);
		});
		from.on('end', () => {
			to.end();
		});
		from.on('error', () => {
			resetSocket(to);
		});
		from.on('close', () => {
			this.#pipes.delete(pipe);
			to.destroy();
		});
	}
}

/** Resets a connection. One whose end has been sent cannot be reset: Node.js would keep its descriptor open, and the process could not exit. */
function resetSocket(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
