/**
 * Odd bytes of peers against the decoders of hellos and envelopes.
 *
 *     APRICOTDOOR_FUZZ_RUNS=100000 APRICOTDOOR_FUZZ_SEED=7 npx tap --timeout=3600 packages/peer-protocol/frames.test.ts
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import fc from 'fast-check';
import t from 'tap';
import {decodeValue, encodeValue} from './codec.ts';
import {envelopeSchema, type Envelope} from './envelope.ts';
import {parseHello} from './handshake.ts';

const defaultRuns = 2000;
const defaultSeed = 1204;
const maxChanges = 4;

const numRuns = Number(process.env.APRICOTDOOR_FUZZ_RUNS ?? defaultRuns);
const seed = Number(process.env.APRICOTDOOR_FUZZ_SEED ?? defaultSeed);

/** Frames that have failed once, in hexadecimal. */
const corpus = JSON.parse(readFileSync(new URL('frames.corpus.json', import.meta.url), 'utf8')) as readonly string[]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the file stands beside this test

const peer = {
	name: 'a', zone: 'z', incarnation: 'i', address: '10.0.0.1:80',
};
const envelopes: readonly Envelope[] = [
	{
		type: 'heartbeat', status: {
			generation: 1, ready: true, running: 2, revisions: {servers: 3}, membersDigest: 'd', unreachablePools: ['p'],
		},
	},
	{
		type: 'message', message: {
			kind: 'sent', targets: [{
				target: 't', requests: 1, tokens: 2, byUrgency: [1, 2], limit: {perSecond: 1.5, isLeaving: true, ageMs: 4},
			}],
		},
	},
	{
		type: 'message', message: {
			kind: 'members', members: [{
				peer, version: 1, state: 'live', leaving: false,
			}],
		},
	},
	{
		type: 'relayed', id: 'r', origin: peer, hops: 1, message: {kind: 'evicted', incarnation: 'i', keys: ['k']},
	},
	{
		type: 'response', id: 4, response: {
			kind: 'changes', isWhole: true, changed: [{
				key: 'servers/a', value: '{}', version: 1, revision: 1,
			}], deleted: ['servers/b'], revision: 9,
		},
	},
];
const hello = {
	protocol: 'apricotdoor', least: 1, newest: 1, peer, extensions: ['channels'], nonce: new Uint8Array(32),
};
const examples = [...envelopes, hello].map(value => Buffer.from(encodeValue(value)));

/** Bytes that begin lists, objects, tags and numbers of CBOR, and those that state large sizes. */
const oddBytes = [0x1B, 0x3B, 0x5A, 0x5F, 0x7A, 0x7F, 0x81, 0x9A, 0x9B, 0x9F, 0xA1, 0xBA, 0xBF, 0xC1, 0xC2, 0xD8, 0xDF, 0xF7, 0xF9, 0xFB, 0xFF];

/** Whether all numbers in a checked value are finite; checked values are not nested deeply. */
function isFinite(value: unknown): boolean {
	if (typeof value === 'object' && value !== null) {
		return value instanceof Uint8Array || Object.values(value).every(part => isFinite(part));
	}

	return typeof value !== 'bigint' && (typeof value !== 'number' || Number.isFinite(value));
}

function checkFrame(bytes: Uint8Array): void {
	parseHello(bytes);
	const decoded = decodeValue(bytes);
	const parsed = decoded.ok ? envelopeSchema.safeParse(decoded.value) : undefined;
	if (parsed?.success) {
		assert.ok(isFinite(parsed.data));
		encodeValue(parsed.data);
	}
}

const changeArbitrary = fc.record({
	place: fc.nat(400), removed: fc.nat(3), inserted: fc.array(fc.oneof(fc.constantFrom(...oddBytes), fc.nat(255)), {maxLength: 6}), repeats: fc.constantFrom(1, 1, 1, 20_000),
});

t.comment(`seed ${seed}, ${numRuns} runs`);
t.test('odd frames end no link with an exception, and let no number through that is none', async t => {
	for (const text of corpus) {
		checkFrame(Buffer.from(text, 'hex'));
	}

	let inputs = 0;
	fc.assert(fc.property(fc.nat(examples.length - 1), fc.array(changeArbitrary, {minLength: 1, maxLength: maxChanges}), fc.uint8Array(), (index, changes, bytes) => {
		let frame: Uint8Array = examples[index]!;
		for (const {place, removed, inserted, repeats} of changes) {
			const start = place % (frame.length + 1);
			const added = Buffer.alloc(inserted.length * repeats, Buffer.from(inserted.length > 0 ? inserted : [0]));
			frame = Buffer.concat([frame.subarray(0, start), added, frame.subarray(start + removed)]);
		}

		inputs += 2;
		checkFrame(frame);
		checkFrame(bytes);
	}), {seed, numRuns});
	t.ok(inputs >= numRuns, `${inputs} inputs`);
});
