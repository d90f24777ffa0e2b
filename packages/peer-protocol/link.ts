/**
 * One connection to a peer, as one task: hellos, proofs, then envelopes until
 * the connection ends. Heartbeats go both ways; a link that hears nothing for
 * the silence bound is closed, even when TCP still believes in it.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import type {Duplex} from 'node:stream';
import {decodeValue, encodeValue} from './codec.ts';
import {envelopeSchema, type Envelope, type PeerStatus} from './envelope.ts';
import {encodeFrame, FrameReader} from './framing.ts';
import {
	codeBytes, isSameCode, makeFrameCode, makeProof, makeSessionKey, nonceBytes, parseHello, protocolVersions,
	type Hello, type LinkRole, type Transcript,
} from './handshake.ts';
import type {PeerIdentity} from './identity.ts';
import {SendQueue} from './send-queue.ts';
import type {Clock} from '#clock';
import {fail, succeed, type Result} from '#core';
import type {Telemetry} from '#telemetry';

/** Why a link ended; the label of its counter. */
export type LinkEnd
	= | 'lost' | 'silent' | 'malformed' | 'oversized' | 'truncated' | 'unauthenticated' | 'incompatible'
		| 'queue_full' | 'handshake_timeout' | 'duplicate' | 'surplus' | 'stopped';

/** Bounds of a link. */
export type LinkLimits = Readonly<{
	/** Time between heartbeats, in milliseconds. Default: 1000. */
	heartbeatMs?: number;
	/** Longest time without a frame before the link is closed, in milliseconds. Default: 3500. */
	silenceMs?: number;
	/** Longest time for the handshake, in milliseconds. Default: 2000. */
	handshakeMs?: number;
	/** Largest payload of a frame, in bytes. Default: 1 310 720. */
	maxFrameBytes?: number;
	/** Most bytes that wait to be sent. Default: 4 194 304. */
	maxQueueBytes?: number;
}>;

/** What a link works with. */
export type LinkDeps = Readonly<{
	role: LinkRole;
	clock: Clock;
	telemetry: Telemetry;
	self: PeerIdentity;
	secret: string;
	/** State for the next heartbeat. */
	readStatus: () => PeerStatus;
	/** Called once, when the peer is authenticated. */
	opened: (link: PeerLink) => void;
	/** Called for each envelope. */
	received: (link: PeerLink, envelope: Envelope) => void;
	limits?: LinkLimits;
}>;

const maxHelloBytes = 2048;
const finishMs = 500;
const finishStepMs = 5;

/** An authenticated connection between two instances. */
export class PeerLink {
	/** State in the newest heartbeat. */
	status: PeerStatus | undefined;
	readonly #stream: Duplex;
	readonly #deps: LinkDeps;
	readonly #reader = new FrameReader();
	readonly #queue: SendQueue;
	readonly #limits: Required<LinkLimits>;
	#peer: PeerIdentity | undefined;
	#end: LinkEnd | undefined;
	#sendKey: Uint8Array | undefined;
	#sentFrames = 0;
	#heardMs: number;
	#isWriting = false;

	constructor(stream: Duplex, deps: LinkDeps) {
		this.#stream = stream;
		this.#deps = deps;
		this.#limits = {
			heartbeatMs: 1000, silenceMs: 3500, handshakeMs: 2000, maxFrameBytes: 1_310_720, maxQueueBytes: 4_194_304, ...deps.limits,
		};
		this.#queue = new SendQueue(this.#limits.maxQueueBytes);
		this.#heardMs = deps.clock.now();
	}

	/** The authenticated peer; none before `opened`. */
	get peer(): PeerIdentity | undefined {
		return this.#peer;
	}

	/** Which end opened the connection. */
	get role(): LinkRole {
		return this.#deps.role;
	}

	/** Whether envelopes can be sent. */
	get isOpen(): boolean {
		return this.#peer !== undefined && this.#end === undefined;
	}

	/** Runs the link to its end. The task of one peer. */
	async run(): Promise<LinkEnd> {
		const {clock, telemetry} = this.#deps;
		const {handshakeMs, heartbeatMs} = this.#limits;
		this.#stream.on('error', () => {
			this.close('lost');
		});
		const cancelHandshake = clock.after(handshakeMs, () => {
			this.close('handshake_timeout');
		});
		const frames = this.#readFrames();
		const receiveKey = await this.#open(frames);
		cancelHandshake();
		if (receiveKey && this.#end === undefined) {
			const cancelHeartbeat = clock.subscribe(heartbeatMs, () => {
				this.#beat();
			});
			this.#beat();
			this.#deps.opened(this);
			await this.#receiveAll(frames, receiveKey);
			cancelHeartbeat();
		}

		const end = this.#end ?? 'lost';
		this.close(end);
		telemetry.count('peer_links_closed_total', {reason: end});
		return end;
	}

	/**
	 * Queues an envelope.
	 *
	 * @param isPeriodic whether the sender repeats it, so that it may be dropped when the queue is full
	 */
	send(envelope: Envelope, isPeriodic: boolean): void {
		if (!this.isOpen) {
			return;
		}

		const outcome = this.#queue.add({body: encodeValue(envelope), isPeriodic});
		if (outcome === 'dropped_oldest') {
			this.#deps.telemetry.count('peer_messages_dropped_total');
		}

		if (outcome === 'full') {
			this.close('queue_full');
			return;
		}

		void this.#write();
	}

	/** Ends the link; the first reason counts. */
	close(reason: LinkEnd): void {
		this.#end ??= reason;
		this.#stream.destroy();
	}

	/** Sends what waits, then ends the link; the peer has a bounded time to take it. */
	async finish(reason: LinkEnd): Promise<void> {
		const {clock} = this.#deps;
		const endMs = clock.now() + finishMs;
		while (this.isOpen && (this.#isWriting || this.#stream.writableLength > 0) && clock.now() < endMs) {
			await clock.sleep(finishStepMs);
		}

		this.close(reason);
	}

	async #open(frames: AsyncIterator<Uint8Array>): Promise<Uint8Array | undefined> {
		const {self, role, secret} = this.#deps;
		const hello: Hello = {
			protocol: 'apricotdoor', ...protocolVersions, peer: self, nonce: Uint8Array.from(randomBytes(nonceBytes)),
		};
		const own = encodeValue(hello);
		this.#stream.write(encodeFrame(own));
		const first = await frames.next();
		if (first.done) {
			return undefined;
		}

		const parsed = parseHello(first.value);
		if (!parsed.ok) {
			this.close(parsed.error);
			return undefined;
		}

		const peerRole = role === 'opener' ? 'acceptor' : 'opener';
		const transcript: Transcript = role === 'opener' ? {opener: own, acceptor: first.value} : {opener: first.value, acceptor: own};
		this.#stream.write(encodeFrame(makeProof(secret, role, transcript)));
		const second = await frames.next();
		if (second.done) {
			return undefined;
		}

		if (!isSameCode(second.value, makeProof(secret, peerRole, transcript))) {
			this.close('unauthenticated');
			return undefined;
		}

		this.#sendKey = makeSessionKey(secret, role, transcript);
		this.#peer = parsed.value.peer;
		return makeSessionKey(secret, peerRole, transcript);
	}

	async #receiveAll(frames: AsyncIterable<Uint8Array>, key: Uint8Array): Promise<void> {
		let sequence = 0;
		for await (const payload of frames) {
			if (this.#end !== undefined) {
				return;
			}

			const envelope = openFrame(payload, key, sequence++);
			if (!envelope.ok) {
				this.close(envelope.error);
				return;
			}

			this.#heardMs = this.#deps.clock.now();
			if (envelope.value.type === 'heartbeat') {
				this.status = envelope.value.status;
			}

			this.#deps.received(this, envelope.value);
		}
	}

	async * #readFrames(): AsyncGenerator<Uint8Array, void, undefined> {
		try {
			for await (const chunk of this.#stream as AsyncIterable<Uint8Array>) {
				this.#deps.telemetry.count('peer_bytes_total', {direction: 'received'}, chunk.length);
				this.#reader.push(chunk);
				for (let frame = this.#takeFrame(); frame; frame = this.#takeFrame()) {
					yield frame;
				}
			}
		} catch {
			this.close('lost');
			return;
		}

		this.close(this.#reader.isInsideFrame ? 'truncated' : 'lost');
	}

	#takeFrame(): Uint8Array | undefined {
		const frame = this.#reader.take(this.#peer ? this.#limits.maxFrameBytes + codeBytes : maxHelloBytes);
		if (frame.ok) {
			return frame.value;
		}

		this.close('oversized');
		return undefined;
	}

	#beat(): void {
		if (this.#deps.clock.now() - this.#heardMs > this.#limits.silenceMs) {
			this.close('silent');
			return;
		}

		this.send({type: 'heartbeat', status: this.#deps.readStatus()}, true);
	}

	/** Writes what waits, one frame at a time, at the pace of the peer. */
	async #write(): Promise<void> {
		if (this.#isWriting) {
			return;
		}

		this.#isWriting = true;
		for (let body = this.#queue.take(); body && this.isOpen; body = this.#queue.take()) {
			const code = makeFrameCode(this.#sendKey!, this.#sentFrames++, body);
			const frame = encodeFrame(Buffer.concat([code, body]));
			this.#deps.telemetry.count('peer_bytes_total', {direction: 'sent'}, frame.length);
			if (!this.#stream.write(frame)) {
				await Promise.race([once(this.#stream, 'drain'), once(this.#stream, 'close')]).catch(() => undefined);
			}
		}

		this.#isWriting = false;
	}
}

function openFrame(payload: Uint8Array, key: Uint8Array, sequence: number): Result<Envelope, 'unauthenticated' | 'malformed'> {
	const body = payload.subarray(codeBytes);
	if (!isSameCode(payload.subarray(0, codeBytes), makeFrameCode(key, sequence, body))) {
		return fail('unauthenticated');
	}

	const decoded = decodeValue(body);
	const parsed = decoded.ok ? envelopeSchema.safeParse(decoded.value) : undefined;
	return parsed?.success ? succeed(parsed.data) : fail('malformed');
}
