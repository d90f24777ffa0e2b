import t from 'tap';
import {HeldBodies} from './held-bodies.ts';
import {ManualClock} from '#clock';
import {createRandom} from '#core';
import {createTelemetry} from '#telemetry';

const megabyte = 1_000_000;
const leftMs = 60_000;

function start(maxBytes = 8 * megabyte) {
	const clock = new ManualClock();
	const bodies = new HeldBodies({clock, random: createRandom(1), telemetry: createTelemetry({level: 'silent'})}, {maxBytes});
	return {clock, bodies};
}

t.test('large bodies are refused before the room is used up, and small ones are not', t => {
	const {bodies} = start();
	const held = [2, 2, 2].map(size => {
		const body = bodies.create();
		t.equal(body.admit(size * megabyte, leftMs), undefined);
		return body;
	});
	t.ok(bodies.create().admit(megabyte, leftMs)! > 0, 'three quarters are used');
	t.equal(bodies.bytes, 6 * megabyte, 'a refused body holds nothing');
	for (let index = 0; index < 30; index++) {
		t.equal(bodies.create().admit(60_000, leftMs), undefined, 'a small body has room');
	}

	held[0]!.release();
	t.ok(bodies.create().admit(2 * megabyte, leftMs)! > 0, 'the small bodies count');
	t.equal(bodies.create().admit(100_000, leftMs), undefined);
	t.end();
});

t.test('small bodies do not exceed the room either', t => {
	const {bodies} = start(megabyte);
	const admitted = Array.from({length: 40}, () => bodies.create().admit(50_000, leftMs)).filter(retry => retry === undefined);
	t.equal(admitted.length, 20);
	t.equal(bodies.create().admit(0, leftMs), undefined, 'a request without a body needs no room');
	t.end();
});

t.test('a body that grows is refused when it no longer fits, and keeps what it has until it is released', t => {
	const {bodies} = start();
	const other = bodies.create();
	other.admit(5 * megabyte, leftMs);
	const body = bodies.create();
	t.equal(body.admit(400_000, leftMs), undefined);
	t.equal(body.admit(900_000, leftMs), undefined);
	t.equal(bodies.bytes, 5_900_000);
	t.ok(body.admit(1_100_000, leftMs)! > 0);
	t.equal(bodies.bytes, 5_900_000);
	body.release();
	body.release();
	t.equal(bodies.bytes, 5 * megabyte);
	t.equal(body.admit(1000, leftMs), undefined);
	t.equal(bodies.bytes, 5 * megabyte, 'a released body holds nothing');
	t.end();
});

// Guards against requests that no instance ever serves, as their bodies are longer than the room for bodies.
t.test('a body that is longer than the room is held if it is alone', t => {
	const {bodies} = start();
	const body = bodies.create();
	t.equal(body.admit(20 * megabyte, leftMs), undefined);
	t.ok(bodies.create().admit(20 * megabyte, leftMs)! > 0);
	t.end();
});

t.test('the retry time follows the time for which bodies are held, and what the caller can wait', async t => {
	/** Holds bodies for a time, one after the other, and then one more. */
	const holdFor = async (ms: number) => {
		const {clock, bodies} = start();
		for (let round = 0; round < 40; round++) {
			const body = bodies.create();
			body.admit(6 * megabyte, leftMs);
			await clock.advance(ms);
			body.release();
		}

		bodies.create().admit(6 * megabyte, leftMs);
		return (bytes: number, callerLeftMs = leftMs) => bodies.create().admit(bytes, callerLeftMs)!;
	};

	const estimateFast = await holdFor(200);
	const fastMs = estimateFast(6 * megabyte);
	t.ok(fastMs >= 75 && fastMs <= 300, String(fastMs));
	const estimateSlow = await holdFor(4000);
	t.ok(estimateSlow(600_000) < 1000, 'less room is free sooner');
	t.ok(estimateSlow(6 * megabyte) > 2500);
	t.equal(estimateSlow(6 * megabyte, 3000), 1000, 'a third of the time left');
});

// Guards against many refused callers that return together, long before there is room for all of them.
t.test('callers that are refused later return later, until those before them have had their turn', async t => {
	const {clock, bodies} = start();
	bodies.create().admit(6 * megabyte, leftMs);
	const estimates = Array.from({length: 20}, () => bodies.create().admit(megabyte, leftMs)!);
	t.ok(estimates[0]! < 400, String(estimates[0]));
	t.ok(estimates[9]! > 2 * estimates[0]!, String(estimates[9]));
	t.ok(estimates[19]! > 1.5 * estimates[9]!, String(estimates[19]));
	await clock.advance(10_000);
	t.ok(bodies.create().admit(megabyte, leftMs)! < 400);
});
