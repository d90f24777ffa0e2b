import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import t from 'tap';
import {StreamSplicer} from './stream-splicer.ts';

const propertyOptions = {seed: 11, numRuns: 300};

function createFrame(bytes: Uint8Array, start: number, end: number) {
	return {
		kind: 'data', attemptId: 'a', offset: start, bytes: bytes.subarray(start, end),
	} as const;
}

function isWholeText(bytes: Uint8Array): boolean {
	return Buffer.from(Buffer.from(bytes).toString('utf8'), 'utf8').equals(bytes);
}

t.test('joins two attempts for a cut at every offset', async t => {
	const text = Buffer.from('né ✓ 𝄞 måler');
	for (let cut = 0; cut <= text.length; cut++) {
		for (let step = 1; step <= 5; step++) {
			const splicer = new StreamSplicer();
			const first = splicer.addData(createFrame(text, 0, cut))!;
			t.ok(isWholeText(first), 'only whole characters are delivered');
			t.equal(Buffer.byteLength(splicer.getText()), splicer.offset);
			splicer.clearHeldBytes();
			const parts = [first];
			for (let start = splicer.offset; start < text.length; start += step) {
				parts.push(splicer.addData(createFrame(text, start, start + step))!);
			}

			t.same(Buffer.concat([...parts, splicer.flush()]), text);
		}
	}
});

t.test('delivers each byte once for any frames and resumptions', async t => {
	const stepLists = fc.array(fc.record({size: fc.nat(9), overlap: fc.nat(6), isNewAttempt: fc.boolean()}), {maxLength: 60});
	fc.assert(fc.property(fc.string({unit: 'binary', maxLength: 60}), stepLists, (text, steps) => {
		const bytes = Buffer.from(text);
		const splicer = new StreamSplicer();
		const parts: Uint8Array[] = [];
		let position = 0;
		for (const {size, overlap, isNewAttempt} of steps) {
			if (isNewAttempt) {
				splicer.clearHeldBytes();
				position = splicer.offset;
			}

			const start = Math.max(0, position - overlap);
			const end = Math.min(bytes.length, Math.max(position, start + size));
			parts.push(splicer.addData(createFrame(bytes, start, end))!);
			position = end;
		}

		parts.push(splicer.addData(createFrame(bytes, splicer.offset, bytes.length))!, splicer.flush());
		return bytes.equals(Buffer.concat(parts));
	}), propertyOptions);
});

t.test('rejects a frame that leaves a gap', async t => {
	const splicer = new StreamSplicer();
	const text = Buffer.from('abcdef');
	splicer.addData(createFrame(text, 0, 2));
	t.equal(splicer.addData(createFrame(text, 3, 4)), undefined);
});

t.test('rejects a frame that contradicts delivered text', async t => {
	const splicer = new StreamSplicer();
	splicer.addData(createFrame(Buffer.from('abc'), 0, 3));
	t.equal(splicer.addData(createFrame(Buffer.from('axcd'), 0, 4)), undefined);
});

t.test('delivers an answer that ends inside a character', async t => {
	const splicer = new StreamSplicer();
	const bytes = Buffer.from('é').subarray(0, 1);
	t.equal(splicer.addData(createFrame(bytes, 0, 1))?.length, 0);
	t.same(splicer.flush(), bytes);
});
