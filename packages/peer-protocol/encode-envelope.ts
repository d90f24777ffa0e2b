/** Encodes envelopes as the bodies of frames. */
import {encodeValue} from './codec.ts';
import type {Envelope, PeerStatus} from './envelope.ts';

/** An envelope as the body of a frame. */
export type EncodedEnvelope = Uint8Array;

/** Encodes an envelope once for several links. */
export function encodeEnvelope(envelope: Envelope): EncodedEnvelope {
	return encodeValue(envelope);
}

/** The heartbeat that was encoded last. The links of an instance send theirs together, mostly with one status. */
let lastHeartbeat: Readonly<{status: PeerStatus; body: EncodedEnvelope}> | undefined;

/** Encodes a heartbeat. */
export function encodeHeartbeat(status: PeerStatus): EncodedEnvelope {
	if (lastHeartbeat?.status !== status) {
		lastHeartbeat = {status, body: encodeEnvelope({type: 'heartbeat', status})};
	}

	return lastHeartbeat.body;
}
