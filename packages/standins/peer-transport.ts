/** An in-memory transport of byte streams between instances, with latency, partitions, and silenced or refused connections. */
import {Buffer} from 'node:buffer';
import {Duplex} from 'node:stream';
import type {Clock} from '#clock';
import {fail, succeed} from '#core';
import type {PeerTransport} from '#peer-protocol';

type Listener = Readonly<{accept: (stream: Duplex) => void}>;
/** One end of a connection. `peer` is the other end, or undefined once the connection is silenced. */
type StreamEnd = {host: string; stream: Duplex; peer: StreamEnd | undefined};

/** Options of {@link PeerTransportStandin}. */
export type PeerTransportOptions = Readonly<{
	/** One-way delay, in milliseconds. Default: 1. */
	latencyMs?: number;
}>;

/** A network of hosts, each with one address. */
export class PeerTransportStandin {
	/** Bytes sent by each host. */
	readonly sentBytesByHost = new Map<string, number>();
	readonly #clock: Clock;
	readonly #latencyMs: number;
	readonly #listeners = new Map<string, Listener>();
	readonly #partitioned = new Set<string>();
	#streamEnds: StreamEnd[] = [];

	constructor(clock: Clock, options: PeerTransportOptions = {}) {
		this.#clock = clock;
		this.#latencyMs = options.latencyMs ?? 1;
	}

	/** Opens the transport of the host with this address. */
	open(host: string): PeerTransport {
		return {
			listen: async (_address, accept) => {
				this.#listeners.set(host, {accept});
				return {
					address: host,
					close: async () => {
						this.#listeners.delete(host);
						this.crash(host);
					},
				};
			},
			connect: async (address, signal) => {
				await this.#clock.sleep(2 * this.#latencyMs, signal);
				const listener = this.#listeners.get(address);
				if (!listener || this.isPartitioned(host, address)) {
					// A host without a listener refuses at once; a partitioned one does not respond for an hour.
					await (listener && this.#clock.sleep(3_600_000, signal));
					return fail('refused');
				}

				const [local, remote] = this.#connect(host, address);
				listener.accept(remote);
				return succeed(local);
			},
		};
	}

	/** Drops the bytes that two hosts send each other, on current and new connections, or lets them pass again. */
	setPartitioned(a: string, b: string, isPartitioned: boolean): void {
		for (const key of [`${a} ${b}`, `${b} ${a}`]) {
			if (isPartitioned) {
				this.#partitioned.add(key);
			} else {
				this.#partitioned.delete(key);
			}
		}
	}

	/** Returns whether bytes between two hosts are dropped. */
	isPartitioned(a: string, b: string): boolean {
		return this.#partitioned.has(`${a} ${b}`);
	}

	/** Drops all bytes on the current connections between two hosts, permanently. New connections work. */
	silenceConnections(a: string, b: string): void {
		for (const end of this.#streamEnds) {
			if (end.peer && ((end.host === a && end.peer.host === b) || (end.host === b && end.peer.host === a))) {
				end.peer = undefined;
			}
		}
	}

	/** Resets every connection of a host. */
	crash(host: string): void {
		for (const end of this.#streamEnds) {
			if (end.host === host) {
				end.stream.destroy();
				end.peer?.stream.destroy();
			}
		}
	}

	#connect(host: string, address: string): readonly [Duplex, Duplex] {
		const local: StreamEnd = {host, stream: this.#createStream(() => local), peer: undefined};
		const remote: StreamEnd = {host: address, stream: this.#createStream(() => remote), peer: local};
		local.peer = remote;
		this.#streamEnds = [...this.#streamEnds.filter(({stream}) => !stream.destroyed), local, remote];
		return [local.stream, remote.stream];
	}

	#createStream(getEnd: () => StreamEnd): Duplex {
		return new Duplex({
			read() {
				// Received bytes are pushed on arrival.
			},
			write: (chunk: Uint8Array, _encoding, done) => {
				const {host, peer} = getEnd();
				this.sentBytesByHost.set(host, (this.sentBytesByHost.get(host) ?? 0) + chunk.length);
				this.#clock.setTimer(this.#latencyMs, () => {
					done();
					if (peer && getEnd().peer && !this.isPartitioned(host, peer.host) && !peer.stream.destroyed) {
						peer.stream.push(Buffer.from(chunk));
					}
				});
			},
			destroy: (error, done) => {
				const {host, peer} = getEnd();
				done(error);
				this.#clock.setTimer(this.#latencyMs, () => {
					if (peer && getEnd().peer && !this.isPartitioned(host, peer.host) && !peer.stream.destroyed) {
						peer.stream.push(null);
					}
				});
			},
		});
	}
}
