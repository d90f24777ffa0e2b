/**
 * A target that sends exactly the bytes that a script writes, for responses that
 * are truncated, late, duplicated, without framing or not HTTP at all.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** A request that the target received. */
export type RawRequest = Readonly<{
	method: string;
	path: string;
	headers: IncomingMessage['headers'];
	/** Header names and values, alternating, as received. */
	rawHeaders: readonly string[];
	body: string;
	/** Number of the connection, counted from 0 in order of acceptance. */
	connectionNumber: number;
}>;

/** Operations of a script on the connection of a request. */
export type RawReply = Readonly<{
	/** Writes text to the connection unchanged. */
	write(text: string): void;
	/** Writes text again and again, as fast as the connection takes it, until the router closes it. */
	writeEndlessly(text: string): void;
	/** Closes the connection after the written bytes are sent. */
	close(): void;
	/** Resets the connection. */
	reset(): void;
}>;

/** Answers one request. A script that writes nothing leaves the connection open and silent. */
export type RawScript = (request: RawRequest, reply: RawReply) => void;

/** A listening target. */
export type RawTarget = Readonly<{
	/** `host:port`. */
	address: string;
	/** Requests received so far. */
	requests: readonly RawRequest[];
	/** Counts the connections accepted so far. */
	countConnections(): number;
	/** Replaces the script. */
	setScript(script: RawScript): void;
	close(): Promise<void>;
}>;

/** Starts a target on the loopback interface. */
export async function startRawTarget(script: RawScript): Promise<RawTarget> {
	const requests: RawRequest[] = [];
	const connectionNumbers = new Map<Socket, number>();
	let currentScript = script;
	// A keep-alive timeout of 0 keeps idle connections open.
	const server = createServer({keepAliveTimeout: 0}, (req, _res) => {
		const {socket} = req;
		const chunks: Uint8Array[] = [];
		req.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		req.on('end', () => {
			const request: RawRequest = {
				method: req.method ?? '', path: req.url ?? '', headers: req.headers, rawHeaders: req.rawHeaders,
				body: Buffer.concat(chunks).toString(), connectionNumber: connectionNumbers.get(socket) ?? -1,
			};
			requests.push(request);
			currentScript(request, {
				write(text) {
					socket.write(text);
				},
				writeEndlessly(text) {
					writeUntilClosed(socket, text);
				},
				close() {
					socket.end();
				},
				reset() {
					socket.resetAndDestroy();
				},
			});
		});
	});
	server.on('connection', socket => {
		connectionNumbers.set(socket, connectionNumbers.size);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const boundAddress = server.address();
	if (boundAddress === null || typeof boundAddress === 'string') {
		throw new Error('raw target is listening without a TCP port');
	}

	return {
		address: `127.0.0.1:${boundAddress.port}`, requests,
		countConnections: () => connectionNumbers.size,
		setScript(next) {
			currentScript = next;
		},
		async close() {
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		},
	};
}

function writeUntilClosed(socket: Socket, text: string): void {
	while (socket.writable && socket.write(text)) {
		// The socket takes more.
	}

	if (socket.writable) {
		socket.once('drain', () => {
			writeUntilClosed(socket, text);
		});
	}
}
