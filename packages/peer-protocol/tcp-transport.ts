/** Peer transport over TCP. */
import {once} from 'node:events';
import {createConnection, createServer, type Socket} from 'node:net';
import type {PeerTransport} from './transport.ts';
import {
	fail, getErrorMessage, parseAddress, succeed,
} from '#core';

/** Creates a transport that uses `node:net`. */
export function createTcpTransport(): PeerTransport {
	return {
		async listen(address, accept) {
			const [host, port] = address.split(':');
			const sockets = new Set<Socket>();
			const server = createServer({noDelay: true}, socket => {
				sockets.add(socket);
				socket.on('close', () => {
					sockets.delete(socket);
				});
				accept(socket);
			});
			server.listen(Number(port), host);
			await once(server, 'listening');
			const boundAddress = server.address();
			if (boundAddress === null || typeof boundAddress === 'string') {
				throw new Error(`peer listener on ${address} is not bound to a TCP port`);
			}

			return {
				address: `${boundAddress.address}:${boundAddress.port}`,
				async close() {
					const closed = once(server, 'close');
					server.close();
					for (const socket of sockets) {
						socket.destroy();
					}

					await closed;
				},
			};
		},
		async connect(address, signal) {
			const checked = parseAddress(address);
			if (!checked) {
				return fail('not an address');
			}

			const socket = createConnection({...checked, noDelay: true});
			try {
				await once(socket, 'connect', {signal});
				return succeed(socket);
			} catch (error) {
				socket.on('error', () => {
					// The returned error reports the failure.
				});
				socket.destroy();
				return fail(getErrorMessage(error));
			}
		},
	};
}
