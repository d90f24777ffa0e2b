import {Buffer} from 'node:buffer';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import process from 'node:process';
import t from 'tap';
import {ByteBlocks} from './byte-blocks.ts';
import {createRandom} from '#core';

t.test('the bytes come out in the order in which they were added', t => {
	const random = createRandom(1);
	const blocks = new ByteBlocks();
	const added: number[] = [];
	const taken: number[] = [];
	for (let round = 0; round < 3000; round++) {
		const part = Buffer.from(Array.from({length: Math.floor((random.next() ** 4) * 6000)}, () => Math.floor(random.next() * 256)));
		blocks.add(part);
		added.push(...part);
		while (blocks.length > 100_000) {
			taken.push(...blocks.shift()!);
		}

		t.ok(blocks.length === added.length - taken.length && blocks.reservedBytes >= blocks.length);
	}

	taken.push(...blocks.takeAll());
	t.equal(Buffer.compare(Buffer.from(added), Buffer.from(taken)), 0);
	t.strictSame([blocks.length, blocks.reservedBytes, blocks.shift()], [0, 0, undefined]);
	t.end();
});

t.test('empty parts are no bytes', t => {
	const blocks = new ByteBlocks();
	blocks.add(new Uint8Array());
	t.strictSame([blocks.length, blocks.reservedBytes], [0, 0]);
	blocks.add(Buffer.from('a'));
	blocks.add(new Uint8Array());
	t.equal(String(blocks.shift()), 'a');
	t.equal(blocks.shift(), undefined);
	t.end();
});

// Guards against memory that goes by the number of parts, or by the buffers in which they were read.
t.test('parts of one byte take little more memory than their bytes', t => {
	setFlagsFromString('--expose-gc');
	const collectGarbage = runInNewContext('gc') as () => void; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the flag exposes this function
	const measure = () => {
		collectGarbage();
		// Array buffers are freed on another thread; the second collection waits for those of the first.
		collectGarbage();
		const {heapUsed, arrayBuffers} = process.memoryUsage();
		return heapUsed + arrayBuffers;
	};

	const count = 1_000_000;
	const before = measure();
	const blocks = new ByteBlocks();
	for (let read = 0; read < count / 100; read++) {
		const buffer = Buffer.alloc(65_536);
		for (let index = 0; index < 100; index++) {
			blocks.add(buffer.subarray(index, index + 1));
		}
	}

	const held = measure() - before;
	t.ok(blocks.reservedBytes < 1.2 * count, `${blocks.reservedBytes} bytes are reserved`);
	t.ok(held < 2 * count, `${held} bytes are held for ${count} bytes`);
	t.equal(blocks.takeAll().length, count);
	t.end();
});
