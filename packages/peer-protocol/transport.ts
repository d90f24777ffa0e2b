/** The interface for byte streams between instances: TCP in production, in memory in tests. */
import type {Duplex} from 'node:stream';
import type {Result} from '#core';

/** A bound listener. */
export type PeerListener = Readonly<{
	/** The bound `host:port`. */
	address: string;
	close(): Promise<void>;
}>;

/** Opens and accepts byte streams by numeric address. */
export type PeerTransport = Readonly<{
	/** @throws {Error} if the address cannot be bound */
	listen(address: string, accept: (stream: Duplex) => void): Promise<PeerListener>;
	/** Opens a stream to an address. The error of the result is a message for operators. */
	connect(address: string, signal: AbortSignal): Promise<Result<Duplex, string>>;
}>;
