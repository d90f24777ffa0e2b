/** Byte streams between instances in memory, with latency, silent connections and refused ones. */
import {Buffer} from 'node:buffer';
import {Duplex} from 'node:stream';
import type {Clock} from '#clock';
import {fail, succeed} from '#core';
import type {PeerTransport} from '#peer-protocol';

type Listening = Readonly<{accept: (stream: Duplex) => void}>;
type End = {host: string; stream: Duplex; other: End | undefined};

/** Options of {@link PeerTransportStandin}. */
export type PeerTransportOptions = Readonly<{
	/** One-way delay, in milliseconds. Default: 1. */
	latencyMs?: number;
}>;

/** A network of hosts, each with one address. */
export class PeerTransportStandin {
	/** Bytes that each host sent. */
	readonly sentBytes = new Map<string, number>();
	readonly #clock: Clock;
	readonly #latencyMs: number;
	readonly #listeners = new Map<string, Listening>();
	readonly #cut = new Set<string>();
	#ends: End[] = [];

	constructor(clock: Clock, options: PeerTransportOptions = {}) {
		this.#clock = clock;
		this.#latencyMs = options.latencyMs ?? 1;
	}

	/** The transport of the host with this address. */
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
				if (!listener || this.isCut(host, address)) {
					await (listener && this.#clock.sleep(3_600_000, signal));
					return fail('refused');
				}

				const [near, far] = this.#connect(host, address);
				listener.accept(far);
				return succeed(near);
			},
		};
	}

	/** Drops what two hosts send each other, on present and later connections, or lets it pass again. */
	setCut(a: string, b: string, isCut: boolean): void {
		for (const key of [`${a} ${b}`, `${b} ${a}`]) {
			if (isCut) {
				this.#cut.add(key);
			} else {
				this.#cut.delete(key);
			}
		}
	}

	/** Whether two hosts cannot reach each other. */
	isCut(a: string, b: string): boolean {
		return this.#cut.has(`${a} ${b}`);
	}

	/** Makes the present connections of two hosts lose all that is sent on them, for good; new ones work. */
	silence(a: string, b: string): void {
		for (const end of this.#ends) {
			if (end.other && ((end.host === a && end.other.host === b) || (end.host === b && end.other.host === a))) {
				end.other = undefined;
			}
		}
	}

	/** Resets every connection of a host. */
	crash(host: string): void {
		for (const end of this.#ends) {
			if (end.host === host) {
				end.stream.destroy();
				end.other?.stream.destroy();
			}
		}
	}

	#connect(host: string, address: string): readonly [Duplex, Duplex] {
		const near: End = {host, stream: this.#createStream(() => near), other: undefined};
		const far: End = {host: address, stream: this.#createStream(() => far), other: near};
		near.other = far;
		this.#ends = [...this.#ends.filter(({stream}) => !stream.destroyed), near, far];
		return [near.stream, far.stream];
	}

	#createStream(getEnd: () => End): Duplex {
		return new Duplex({
			read() {
				// What arrives is pushed when it arrives.
			},
			write: (chunk: Uint8Array, _encoding, done) => {
				const {host, other} = getEnd();
				this.sentBytes.set(host, (this.sentBytes.get(host) ?? 0) + chunk.length);
				this.#clock.after(this.#latencyMs, () => {
					done();
					if (other && getEnd().other && !this.isCut(host, other.host) && !other.stream.destroyed) {
						other.stream.push(Buffer.from(chunk));
					}
				});
			},
			destroy: (error, done) => {
				const {host, other} = getEnd();
				done(error);
				this.#clock.after(this.#latencyMs, () => {
					if (other && getEnd().other && !this.isCut(host, other.host) && !other.stream.destroyed) {
						other.stream.push(null);
					}
				});
			},
		});
	}
}
