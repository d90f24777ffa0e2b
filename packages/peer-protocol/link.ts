/**
 * A connection to one peer, run as one task: the handshake (hellos, then proofs),
 * followed by envelopes until the connection ends. Both ends send heartbeats. A
 * link that receives nothing for the silence time-out is closed, even if TCP
 * still considers the connection established.
 */
import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import type {Duplex} from 'node:stream';
import {decodeValue, encodeValue} from './codec.ts';
import {isUsualEnvelope} from './_quick-check.ts';
import {encodeEnvelope, encodeHeartbeat, type EncodedEnvelope} from './encode-envelope.ts';
import {envelopeSchema, type Envelope, type PeerStatus} from './envelope.ts';
import {encodeFrame, FrameReader} from './framing.ts';
import {
	computeFrameMac, computeProof, deriveSessionKey, frameMacBytes, isEqualInConstantTime, nonceBytes, parseHello, protocolExtensions, protocolVersions,
	type Hello, type LinkRole, type ProtocolExtension, type Transcript,
} from './handshake.ts';
import type {PeerIdentity} from './identity.ts';
import {SendQueue} from './send-queue.ts';
import type {Clock} from '#clock';
import {fail, succeed, type Result} from '#core';
import type {Telemetry} from '#telemetry';

/**
 * Why a link ended; also the `reason` label of `peer_links_closed_total`.
 * `duplicate`: another link to the same peer is used, or the peer is this
 * instance itself. `surplus`: the peer is no longer among the neighbours that
 * this instance connects to.
 */
export type LinkEndReason
	= | 'lost' | 'silent' | 'malformed' | 'oversized' | 'truncated' | 'unauthenticated' | 'incompatible'
		| 'queue_full' | 'handshake_timeout' | 'duplicate' | 'surplus' | 'stopped';

/** Intervals, time-outs and size limits of a link. */
export type LinkLimits = Readonly<{
	/** Time between heartbeats. Default: 1000. */
	heartbeatIntervalMs?: number;
	/** Maximum time without a received frame before the link is closed. Default: 3500. */
	silenceTimeoutMs?: number;
	/** Maximum duration of the handshake. Default: 2000. */
	handshakeTimeoutMs?: number;
	/** Maximum size of an encoded envelope. Default: 1 310 720. */
	maxFrameBytes?: number;
	/** Maximum number of bytes waiting to be sent. Default: 4 194 304. */
	maxQueueBytes?: number;
}>;

/** Dependencies of {@link PeerLink}. */
export type LinkDependencies = Readonly<{
	role: LinkRole;
	clock: Clock;
	telemetry: Telemetry;
	self: PeerIdentity;
	secret: string;
	/** Returns the state to send in the next heartbeat; an object that was returned before must be unchanged. */
	getStatus: () => PeerStatus;
	/** Called once, when the peer has been authenticated. */
	handleOpen: (link: PeerLink) => void;
	/** Called for each received envelope, heartbeats included. */
	handleEnvelope: (link: PeerLink, envelope: Envelope) => void;
	limits?: LinkLimits;
}>;

/** Maximum size of the payload of a hello or a proof. */
const maxHandshakeFrameBytes = 2048;
const finishTimeoutMs = 500;
const finishPollIntervalMs = 5;

/** A connection to one peer, which authenticates it and then exchanges envelopes with it. */
export class PeerLink {
	/** The peer's state from its latest heartbeat. */
	status: PeerStatus | undefined;
	readonly #stream: Duplex;
	readonly #dependencies: LinkDependencies;
	readonly #reader = new FrameReader();
	readonly #queue: SendQueue;
	readonly #limits: Required<LinkLimits>;
	#peer: PeerIdentity | undefined;
	#peerExtensions: ReadonlySet<string> = new Set();
	#endReason: LinkEndReason | undefined;
	#sendKey: Uint8Array | undefined;
	#sentFrames = 0;
	#lastReceivedMs: number;
	#isWriting = false;
	#isCollecting = false;

	constructor(stream: Duplex, dependencies: LinkDependencies) {
		this.#stream = stream;
		this.#dependencies = dependencies;
		this.#limits = {
			heartbeatIntervalMs: 1000, silenceTimeoutMs: 3500, handshakeTimeoutMs: 2000, maxFrameBytes: 1_310_720, maxQueueBytes: 4_194_304, ...dependencies.limits,
		};
		this.#queue = new SendQueue(this.#limits.maxQueueBytes);
		this.#lastReceivedMs = dependencies.clock.now();
	}

	/** The peer, once it has been authenticated. */
	get peer(): PeerIdentity | undefined {
		return this.#peer;
	}

	/** Whether this end opened or accepted the connection. */
	get role(): LinkRole {
		return this.#dependencies.role;
	}

	/** Whether the peer is authenticated and the link has not ended, so that envelopes can be sent. */
	get isOpen(): boolean {
		return this.#peer !== undefined && this.#endReason === undefined;
	}

	/** Time since the peer last sent anything, in milliseconds. */
	get silenceMs(): number {
		return this.#dependencies.clock.now() - this.#lastReceivedMs;
	}

	/** Whether the peer's program understands an extension of the protocol. */
	hasExtension(extension: ProtocolExtension): boolean {
		return this.#peerExtensions.has(extension);
	}

	/** Runs the handshake, then receives envelopes until the link ends. Returns why it ended. */
	async run(): Promise<LinkEndReason> {
		const {clock, telemetry} = this.#dependencies;
		const {handshakeTimeoutMs, heartbeatIntervalMs} = this.#limits;
		this.#stream.on('error', () => {
			this.close('lost');
		});
		const cancelHandshake = clock.setTimer(handshakeTimeoutMs, () => {
			this.close('handshake_timeout');
		});
		const frames = this.#readFrames();
		const receiveKey = await this.#authenticate(frames);
		cancelHandshake();
		if (receiveKey && this.#endReason === undefined) {
			const cancelHeartbeat = clock.subscribe(heartbeatIntervalMs, () => {
				this.#sendHeartbeat();
			});
			this.#sendHeartbeat();
			this.#dependencies.handleOpen(this);
			await this.#receiveEnvelopes(frames, receiveKey);
			cancelHeartbeat();
		}

		const endReason = this.#endReason ?? 'lost';
		this.close(endReason);
		telemetry.count('peer_links_closed_total', {reason: endReason});
		return endReason;
	}

	/**
	 * Queues an envelope for sending; does nothing if the link is not open.
	 *
	 * @param isPeriodic whether the sender repeats the envelope, so that it may be dropped when the queue is full
	 */
	send(envelope: Envelope, isPeriodic: boolean): void {
		if (this.isOpen) {
			this.sendEncoded(encodeEnvelope(envelope), isPeriodic);
		}
	}

	/** Queues an envelope that is encoded already, as it goes to several peers; see {@link PeerLink.send}. */
	sendEncoded(body: EncodedEnvelope, isPeriodic: boolean): void {
		if (!this.isOpen) {
			return;
		}

		const outcome = this.#queue.add({body, isPeriodic});
		if (outcome === 'dropped_oldest') {
			this.#dependencies.telemetry.count('peer_messages_dropped_total');
		}

		if (outcome === 'full') {
			this.close('queue_full');
			return;
		}

		void this.#writeQueuedFrames();
	}

	/** Closes the link at once. If it is called more than once, the first reason is kept. */
	close(reason: LinkEndReason): void {
		this.#endReason ??= reason;
		this.#stream.destroy();
	}

	/** Closes the link once the queued frames are written, or after `finishTimeoutMs` if the peer has not accepted them by then. */
	async finish(reason: LinkEndReason): Promise<void> {
		const {clock} = this.#dependencies;
		const deadlineMs = clock.now() + finishTimeoutMs;
		while (this.isOpen && (this.#isWriting || this.#stream.writableLength > 0) && clock.now() < deadlineMs) {
			await clock.sleep(finishPollIntervalMs);
		}

		this.close(reason);
	}

	/** Runs the handshake. Returns the key of received frames, or `undefined` if the handshake failed. */
	async #authenticate(frames: AsyncIterator<Uint8Array>): Promise<Uint8Array | undefined> {
		const {self, role, secret} = this.#dependencies;
		const hello: Hello = {
			protocol: 'apricotdoor', ...protocolVersions, peer: self, extensions: [...protocolExtensions], nonce: Uint8Array.from(randomBytes(nonceBytes)),
		};
		const ownHello = encodeValue(hello);
		this.#stream.write(encodeFrame(ownHello));
		const peerHello = await frames.next();
		if (peerHello.done) {
			return undefined;
		}

		const parsed = parseHello(peerHello.value);
		if (!parsed.ok) {
			this.close(parsed.error);
			return undefined;
		}

		const peerRole = role === 'opener' ? 'acceptor' : 'opener';
		const transcript: Transcript = role === 'opener' ? {opener: ownHello, acceptor: peerHello.value} : {opener: peerHello.value, acceptor: ownHello};
		this.#stream.write(encodeFrame(computeProof(secret, role, transcript)));
		const peerProof = await frames.next();
		if (peerProof.done) {
			return undefined;
		}

		if (!isEqualInConstantTime(peerProof.value, computeProof(secret, peerRole, transcript))) {
			this.close('unauthenticated');
			return undefined;
		}

		this.#sendKey = deriveSessionKey(secret, role, transcript);
		this.#peer = parsed.value.peer;
		this.#peerExtensions = new Set(parsed.value.extensions);
		return deriveSessionKey(secret, peerRole, transcript);
	}

	async #receiveEnvelopes(frames: AsyncIterable<Uint8Array>, key: Uint8Array): Promise<void> {
		let sequence = 0;
		for await (const payload of frames) {
			if (this.#endReason !== undefined) {
				return;
			}

			const envelope = decodeFrame(payload, key, sequence++);
			if (!envelope.ok) {
				this.close(envelope.error);
				return;
			}

			this.#lastReceivedMs = this.#dependencies.clock.now();
			if (envelope.value.type === 'heartbeat') {
				this.status = envelope.value.status;
			}

			this.#dependencies.handleEnvelope(this, envelope.value);
		}
	}

	async * #readFrames(): AsyncGenerator<Uint8Array, void, undefined> {
		try {
			for await (const chunk of this.#stream as AsyncIterable<Uint8Array>) {
				this.#dependencies.telemetry.count('peer_bytes_total', {direction: 'received'}, chunk.length);
				this.#reader.addChunk(chunk);
				for (let frame = this.#readNextFrame(); frame; frame = this.#readNextFrame()) {
					yield frame;
				}
			}
		} catch {
			this.close('lost');
			return;
		}

		this.close(this.#reader.isInsideFrame ? 'truncated' : 'lost');
	}

	#readNextFrame(): Uint8Array | undefined {
		const frame = this.#reader.readPayload(this.#peer ? this.#limits.maxFrameBytes + frameMacBytes : maxHandshakeFrameBytes);
		if (frame.ok) {
			return frame.value;
		}

		this.close('oversized');
		return undefined;
	}

	/** Sends a heartbeat, or closes the link if the peer has been silent for too long. */
	#sendHeartbeat(): void {
		if (this.#dependencies.clock.now() - this.#lastReceivedMs > this.#limits.silenceTimeoutMs) {
			this.close('silent');
			return;
		}

		this.sendEncoded(encodeHeartbeat(this.#dependencies.getStatus()), true);
	}

	/** Collects the frames of one turn of the event loop into one write to the socket. */
	#collectWrites(): void {
		if (this.#isCollecting) {
			return;
		}

		this.#isCollecting = true;
		this.#stream.cork();
		setImmediate(() => {
			this.#isCollecting = false;
			this.#stream.uncork();
		});
	}

	/** Writes the queued frames one at a time and respects the stream's back-pressure. */
	async #writeQueuedFrames(): Promise<void> {
		if (this.#isWriting) {
			return;
		}

		this.#isWriting = true;
		this.#collectWrites();
		for (let body = this.#queue.removeFirst(); body && this.isOpen; body = this.#queue.removeFirst()) {
			const mac = computeFrameMac(this.#sendKey!, this.#sentFrames++, body);
			const frame = encodeFrame(mac, body);
			this.#dependencies.telemetry.count('peer_bytes_total', {direction: 'sent'}, frame.length);
			if (!this.#stream.write(frame)) {
				await Promise.race([once(this.#stream, 'drain'), once(this.#stream, 'close')]).catch(() => undefined);
			}
		}

		this.#isWriting = false;
	}
}

/** Checks a frame's authentication code, then decodes and checks the envelope in it. */
function decodeFrame(payload: Uint8Array, key: Uint8Array, sequence: number): Result<Envelope, 'unauthenticated' | 'malformed'> {
	const body = payload.subarray(frameMacBytes);
	if (!isEqualInConstantTime(payload.subarray(0, frameMacBytes), computeFrameMac(key, sequence, body))) {
		return fail('unauthenticated');
	}

	const decoded = decodeValue(body);
	if (decoded.ok && isUsualEnvelope(decoded.value)) {
		return succeed(decoded.value as Envelope); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the schema accepts it, too
	}

	const parsed = decoded.ok ? envelopeSchema.safeParse(decoded.value) : undefined;
	return parsed?.success ? succeed(parsed.data) : fail('malformed');
}
