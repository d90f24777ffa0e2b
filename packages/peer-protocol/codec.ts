/** Encodes and decodes values as CBOR (RFC 8949) with `cbor-x`. Decoded values are untrusted until a schema has checked them. */
import {Decoder, Encoder} from 'cbor-x';
import {
	fail, succeed, getErrorMessage, type Result,
} from '#core';

const options = {useRecords: false, mapsAsObjects: true, tagUint8Array: false} as const;
const encoder = new Encoder(options);
const decoder = new Decoder(options);

/** Encodes a value made of plain objects, arrays, strings, numbers, booleans and byte arrays. */
export function encodeValue(value: unknown): Uint8Array {
	return Uint8Array.from(encoder.encode(value));
}

/** Decodes one value. Bytes that are not valid CBOR, or that contain more than one value, are an error. */
export function decodeValue(bytes: Uint8Array): Result<unknown, string> {
	try {
		return succeed(decoder.decode(bytes) as unknown);
	} catch (error) {
		return fail(getErrorMessage(error));
	}
}

/** Whether encoding runs in plain JavaScript. */
export {isNativeDisabled} from './_disable-native.ts';
