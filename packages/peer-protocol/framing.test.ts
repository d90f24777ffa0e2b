import {Buffer} from 'node:buffer';
import process from 'node:process';
import fc from 'fast-check';
import t from 'tap';
import {decodeValue, encodeValue} from './codec.ts';
import {encodeFrame, FrameReader} from './framing.ts';
import {SendQueue} from './send-queue.ts';

function readAllPayloads(reader: FrameReader, maxBytes: number): readonly Uint8Array[] {
	const payloads: Uint8Array[] = [];
	for (;;) {
		const result = reader.readPayload(maxBytes);
		if (!result.ok || !result.value) {
			return payloads;
		}

		payloads.push(result.value);
	}
}

t.test('payloads are read back however the stream is split into chunks', t => {
	fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 40}), {maxLength: 8}), fc.array(fc.integer({min: 1, max: 9}), {minLength: 1, maxLength: 20}), (payloads, sizes) => {
		const stream = Buffer.concat(payloads.map(payload => encodeFrame(payload)));
		const reader = new FrameReader();
		const read: Uint8Array[] = [];
		for (let offset = 0, chunkIndex = 0; offset < stream.length; chunkIndex++) {
			const size = sizes[chunkIndex % sizes.length]!;
			reader.addChunk(stream.subarray(offset, offset + size));
			read.push(...readAllPayloads(reader, 40));
			offset += size;
		}

		t.same(read.map(payload => [...payload]), payloads.map(payload => [...payload]));
		t.notOk(reader.isInsideFrame);
	}), {seed: 21});
	t.end();
});

t.test('an oversized frame is refused as soon as its header arrives', t => {
	const reader = new FrameReader();
	reader.addChunk(encodeFrame(new Uint8Array(41)).subarray(0, 4));
	t.same(reader.readPayload(40), {ok: false, error: 'oversized'});
	t.end();
});

t.test('detects a stream that ends inside a frame', t => {
	const reader = new FrameReader();
	reader.addChunk(encodeFrame(new Uint8Array(8)).subarray(0, 7));
	t.same(reader.readPayload(40), {ok: true, value: undefined});
	t.ok(reader.isInsideFrame);
	t.end();
});

t.test('decoding returns the encoded value', t => {
	const names = fc.string({minLength: 1}).filter(key => key !== '__proto__');
	const values = fc.oneof(fc.string(), fc.integer(), fc.boolean(), fc.double({noNaN: true}), fc.array(fc.string()), fc.dictionary(names, fc.integer()));
	fc.assert(fc.property(values, value => {
		t.same(decodeValue(encodeValue({value})), {ok: true, value: {value}});
	}), {seed: 22});
	t.end();
});

t.test('the decoder never throws, whatever the bytes', t => {
	fc.assert(fc.property(fc.uint8Array({maxLength: 200}), bytes => {
		decodeValue(bytes);
	}), {seed: 23, numRuns: 2000});
	t.end();
});

t.test('a full queue drops only periodic frames', t => {
	const queue = new SendQueue(30);
	const createFrame = (size: number, isPeriodic: boolean) => ({body: new Uint8Array(size), isPeriodic});
	t.equal(queue.add(createFrame(10, true)), 'queued');
	t.equal(queue.add(createFrame(12, false)), 'queued');
	t.equal(queue.add(createFrame(13, false)), 'dropped_oldest');
	t.equal(queue.add(createFrame(9, true)), 'dropped_oldest');
	t.equal(queue.add(createFrame(9, false)), 'full');
	t.same([queue.removeFirst()?.length, queue.removeFirst()?.length, queue.removeFirst()], [12, 13, undefined]);
	t.end();
});

// Guards against a few bytes that take much memory or the whole stack.
t.test('nesting, sizes and numbers that are out of range give an error or a harmless value', t => {
	const deep = Buffer.alloc(200_001, 0x81);
	deep[200_000] = 0;
	t.match(decodeValue(deep), {ok: false});
	for (const bytes of [[0x9A, 0x06, 0, 0, 0], [0xBA, 0, 0xFF, 0xFF, 0xFF], [0x5A, 0x7F, 0xFF, 0xFF, 0xFF], [0x9B, 0, 0, 0, 1, 0, 0, 0, 0]]) {
		const before = process.memoryUsage().rss;
		t.match(decodeValue(Buffer.from(bytes)), {ok: false}, bytes.join(' '));
		t.ok(process.memoryUsage().rss - before < 100_000_000, `memory after ${bytes.join(' ')}`);
	}

	const named = decodeValue(Buffer.from([0xA1, 0x69, ...Buffer.from('__proto__'), 0xA1, 0x61, 0x78, 0x01]));
	t.equal(named.ok && (named.value as Readonly<{x?: number}>).x, undefined); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- any property may be read
	t.end();
});
