/**
 * A target that answers as a script says, down to the bytes: answers that are
 * cut, late, doubled, unframed or not HTTP at all.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** A request as the target read it. */
export type RawRequest = Readonly<{
	method: string;
	path: string;
	headers: IncomingMessage['headers'];
	/** Header names and values in turn. */
	lines: readonly string[];
	body: string;
	/** Number of its connection, counted from 0. */
	connection: number;
}>;

/** What a script may do with a request. */
export type RawReply = Readonly<{
	/** Writes bytes as they are. */
	write(text: string): void;
	/** Ends the connection after what was written. */
	close(): void;
	/** Resets the connection. */
	reset(): void;
}>;

/** Answers one request; the default of a target is to fall silent. */
export type RawScript = (request: RawRequest, reply: RawReply) => void;

/** A listening target. */
export type RawTarget = Readonly<{
	/** `host:port`. */
	address: string;
	/** Requests read so far. */
	requests: readonly RawRequest[];
	/** Connections accepted so far. */
	countConnections(): number;
	/** Replaces the script. */
	play(script: RawScript): void;
	close(): Promise<void>;
}>;

/** Starts a target on loopback. */
export async function startRawTarget(script: RawScript): Promise<RawTarget> {
	const requests: RawRequest[] = [];
	const numbers = new Map<Socket, number>();
	let current = script;
	const server = createServer({keepAliveTimeout: 0}, (req, _res) => {
		const {socket} = req;
		const chunks: Uint8Array[] = [];
		req.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		req.on('end', () => {
			const request: RawRequest = {
				method: req.method ?? '', path: req.url ?? '', headers: req.headers, lines: req.rawHeaders,
				body: Buffer.concat(chunks).toString(), connection: numbers.get(socket) ?? -1,
			};
			requests.push(request);
			current(request, {
				write(text) {
					socket.write(text);
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
		numbers.set(socket, numbers.size);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	if (bound === null || typeof bound === 'string') {
		throw new Error('the target has no port');
	}

	return {
		address: `127.0.0.1:${bound.port}`, requests,
		countConnections: () => numbers.size,
		play(next) {
			current = next;
		},
		async close() {
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		},
	};
}
