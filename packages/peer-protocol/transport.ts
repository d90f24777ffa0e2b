/** How instances reach each other's byte streams; over TCP in production, in memory in tests. */
import type {Duplex} from 'node:stream';
import type {Result} from '#core';

/** A bound listener. */
export type PeerListener = Readonly<{
	/** `host:port` that it is bound to. */
	address: string;
	close(): Promise<void>;
}>;

/** Opens and accepts byte streams by numeric address. */
export type PeerTransport = Readonly<{
	/** @throws {Error} when the address cannot be bound */
	listen(address: string, accept: (stream: Duplex) => void): Promise<PeerListener>;
	/** Connects; an error is the reason in words. */
	connect(address: string, signal: AbortSignal): Promise<Result<Duplex, string>>;
}>;
