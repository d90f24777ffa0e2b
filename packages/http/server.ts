/** Starts and stops an HTTP server on a numeric address. */
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {Server as TcpServer} from 'node:net';
import {runInTurn} from './run-in-turn.ts';

/** Handles requests, such as an express application; its return value is ignored. */
export type HttpListener = (req: IncomingMessage, res: ServerResponse) => unknown;

/** A listening server. */
export type HttpServer = Readonly<{
	/** `host:port` that it is bound to. */
	address: string;
	/** Counts the requests whose head was read and whose response is not closed yet: its caller has neither read all of it nor left. */
	countOpenRequests(): number;
	/** Stops accepting connections, waits for the open requests, and then closes the connections. */
	close(): Promise<void>;
	/** Stops accepting connections, and closes the open ones at once; also while {@link HttpServer.close} waits. */
	destroy(): Promise<void>;
}>;

/** Maximum time for a caller to send its headers, in milliseconds. */
const headersTimeoutMs = 10_000;

/** Maximum time for a caller to send its whole request, in milliseconds. */
const requestTimeoutMs = 60_000;

/** Time after which an idle connection is closed, in milliseconds; longer than the idle time-out of usual load balancers. */
const keepAliveTimeoutMs = 75_000;

/** Idle time after which TCP keep-alive probes begin, in milliseconds; the operating system sets their number and interval. */
const keepAliveProbeDelayMs = 15_000;

/** Interval at which connections are checked for time-outs, in milliseconds. */
const timeoutCheckIntervalMs = 2000;
const maxHeaderBytes = 16_384;

/**
 * Binds a server. Connections that send too slowly, stay idle or do not answer
 * TCP keep-alive probes are closed.
 *
 * @param listener handles the requests
 * @param address `host:port`; port 0 chooses a free one
 * @throws {Error} when the address cannot be bound
 */
export async function startHttpServer(listener: HttpListener, address: string): Promise<HttpServer> {
	const [host, port] = address.split(':');
	const openResponses = new Set<ServerResponse>();
	let closed: Promise<unknown> | undefined;
	const server = createServer({
		headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs, keepAliveTimeout: keepAliveTimeoutMs,
		connectionsCheckingInterval: timeoutCheckIntervalMs, maxHeaderSize: maxHeaderBytes,
		keepAlive: true, keepAliveInitialDelay: keepAliveProbeDelayMs, noDelay: true,
	}, (req, res) => {
		runInTurn(res, () => {
			openResponses.add(res);
			res.once('close', () => {
				openResponses.delete(res);
			});
			if (closed) {
				res.shouldKeepAlive = false;
			}

			listener(req, res);
		});
	});
	server.listen(Number(port), host);
	await once(server, 'listening');
	const bound = server.address();
	if (bound === null || typeof bound === 'string') {
		throw new Error(`the server bound to ${address} has no TCP port`);
	}

	const stopListening = () => {
		closed ??= once(server, 'close');
		// The method of the HTTP server would also destroy connections whose answers are ended but not sent yet.
		TcpServer.prototype.close.call(server);
	};

	const closeConnections = async () => {
		// A connection without a whole request would otherwise stay open until its time-out.
		server.closeAllConnections();
		server.close();
		await closed;
	};

	return {
		address: `${bound.address}:${bound.port}`,
		countOpenRequests: () => openResponses.size,
		async close() {
			stopListening();
			for (const res of openResponses) {
				await waitForClose(res);
			}

			await closeConnections();
		},
		async destroy() {
			stopListening();
			await closeConnections();
		},
	};
}

async function waitForClose(res: ServerResponse): Promise<void> {
	await new Promise<void>(resolve => {
		res.once('close', resolve);
	});
}
