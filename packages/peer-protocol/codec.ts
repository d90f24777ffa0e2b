/** Values to bytes and back by `cbor-x` (CBOR, RFC 8949). What is decoded is not trusted: a schema checks it afterwards. */
import {Decoder, Encoder} from 'cbor-x';
import {
	fail, succeed, toMessage, type Result,
} from '#core';

const options = {useRecords: false, mapsAsObjects: true, tagUint8Array: false} as const;
const encoder = new Encoder(options);
const decoder = new Decoder(options);

/** Whether encoding runs in plain JavaScript. */

/** Encodes a value of plain objects, arrays, texts, numbers, truth values and byte strings. */
export function encodeValue(value: unknown): Uint8Array {
	return Uint8Array.from(encoder.encode(value));
}

/** Decodes one value; bytes that are no CBOR, or that carry more than one value, are an error. */
export function decodeValue(bytes: Uint8Array): Result<unknown, string> {
	try {
		return succeed(decoder.decode(bytes) as unknown);
	} catch (error) {
		return fail(toMessage(error));
	}
}

export {isNativeDisabled as isPlainCodec} from './_disable-native.ts';
